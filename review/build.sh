#!/usr/bin/env bash
# Builds what the cases start besides the controllers: one program with all stand-ins and checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
