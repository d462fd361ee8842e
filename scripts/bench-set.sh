#!/usr/bin/env bash
# Plays days of a deployment with several seeds on the users' bench, without processor time, and writes a table with a row a
# day and seed. Tables of two commits are compared with bench-compare.sh.
#
#   FLEETBENCH=path/of/fleetbench scripts/bench-set.sh OUT SITE "DAY..." "SEED..." WHY [JOBS]
#
# OUT is a directory for the bench's own reports and the table, which is also printed.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1 site=$2 days=$3 seeds=$4 why=$5 jobs=${6:-4}
mkdir -p "$out"
"$FLEETBENCH" build >"$out/build.txt"
for day in $days; do for seed in $seeds; do echo "$day $seed"; done; done |
	xargs -P "$jobs" -L 1 bash -c '"$FLEETBENCH" run "$1" "$3" --seed "$4" --no-cpu --jobs 1 --why "$2" >"$0/$3-$4.txt" 2>&1 || true' "$out" "$site" "$why"
for day in $days; do
	for seed in $seeds; do
		awk -v day="$day" -v seed="$seed" '
			$1 == day && $2 ~ "/" { worth = $4; served = $5; refused = $6; failed = $7 }
			/^worth .* = whole day/ { split($0, p, /, /); for (i in p) { if (p[i] ~ /worst windows/) { split(p[i], q, " "); window = q[3] } if (p[i] ~ /worst class/) { split(p[i], q, " "); class = q[3] } } }
			/GB between zones/ && $1 ~ /^-/ { bytes = -$1 }
			END { print day, seed, worth, served, refused, failed, window, class, bytes }' "$out/$day-$seed.txt"
	done
done >"$out/table.txt"
{ echo "day seed worth served refused failed windows class bytes"; cat "$out/table.txt"; } | column -t
