#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build-2.sh build. TROUBLE=0 leaves out the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/wigeoncleat-sidecar ] && [ -x target/review-lab ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
LAB_NODE=target/wigeoncleat-sidecar exec target/review-lab departed-while-sending "$here"
