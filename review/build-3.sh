#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3 ./review/lab-3
