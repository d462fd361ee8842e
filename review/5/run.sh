#!/usr/bin/env bash
# Runs the case "leave-before-loss": exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/wigeoncleat-sidecar ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review-standin --record "$here/record.txt" leave-before-loss
