#!/usr/bin/env bash
# Compares two tables of bench-set.sh, paired by day and seed: the mean difference of each column with its standard error.
#
#   scripts/bench-compare.sh BEFORE/table.txt AFTER/table.txt
set -euo pipefail
awk 'BEGIN { split("worth served refused failed windows class bytes", name, " ") }
	NR == FNR { for (i = 3; i <= NF; i++) old[$1, $2, i] = $i; next }
	($1, $2, 3) in old { days[$1]; days["all"]
		for (i = 3; i <= NF; i++) { d = $i - old[$1, $2, i]
			for (day in days) if (day == $1 || day == "all") { n[day, i]++; a[day, i] += old[$1, $2, i]; s[day, i] += d; q[day, i] += d * d } } }
	END { for (day in days) { printf "%-12s", day
		for (i = 3; i <= 9; i++) { c = n[day, i]; m = s[day, i] / c; v = c > 1 ? sqrt(max0(q[day, i] / c - m * m) / (c - 1)) : 0
			printf "  %s %.3f -> %.3f (%+.3f se %.3f)", name[i - 2], a[day, i] / c, a[day, i] / c + m, m, v }
		print "" } }
	function max0(x) { return x > 0 ? x : 0 }' "$1" "$2" | sort
