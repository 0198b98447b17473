#!/usr/bin/env bash
# Builds the program that runs the cases of the second review (4 to 8), with the stand-ins that they start. Run it from
# anywhere after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/probe ./review/probe
