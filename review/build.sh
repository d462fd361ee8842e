#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program under test is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin ./review/standin
