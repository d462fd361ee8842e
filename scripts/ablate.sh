#!/usr/bin/env bash
# Measures what each mechanism is worth: switches it off by a patch of scripts/ablation on a scratch copy of HEAD, plays days
# as bench-set.sh does, and compares with the copy as it is. Fails where a patch no longer applies.
#
#   FLEETBENCH=path/of/fleetbench scripts/ablate.sh OUT SITE "DAY..." "SEED..." [PATCH...]
set -euo pipefail
cd "$(dirname "$0")/.."
top=$PWD out=$1 site=$2 days=$3 seeds=$4
shift 4
patches=${*:-$(cd scripts/ablation && ls ./*.patch | sed 's|^./||; s|\.patch$||')}
copy=$out/copy
mkdir -p "$out"
[ -d "$copy" ] || git worktree add -q --detach "$copy" HEAD
[ -f "$out/as-is/table.txt" ] || "$copy/scripts/bench-set.sh" "$out/as-is" "$site" "$days" "$seeds" "ablation: as it is" 5 >/dev/null
for p in $patches; do
	git -C "$copy" checkout -q .
	git -C "$copy" apply "$top/scripts/ablation/$p.patch"
	"$copy/scripts/bench-set.sh" "$out/$p" "$site" "$days" "$seeds" "ablation: without $p" 5 >/dev/null
	printf '%-20s %s\n' "$p" "$(scripts/bench-compare.sh "$out/as-is/table.txt" "$out/$p/table.txt" | sed -n 's/^all *//p')"
done
git -C "$copy" checkout -q .
