#!/usr/bin/env bash
# Builds what the cases start besides the controllers: one program with all stand-ins and checks, and the
# project's command line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
go build -o target/drumpickctl ./cmd/drumpickctl
