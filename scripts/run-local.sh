#!/usr/bin/env bash
# Starts two small sites on free loopback ports, sends requests along their call chains, prints what each got, and stops
# everything gracefully. Every process is started here: no program of the project starts another.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=$PWD/.run
rm -rf "$run"
mkdir -p "$run"
pids=()

stop() {
	trap - EXIT INT TERM
	# Targets drain first, then their nodes, then the platforms: the reverse order of their start.
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
	done
	failed=0
	for pid in "${pids[@]}"; do
		wait "$pid" || failed=1
	done
	if [ "$failed" = 1 ]; then
		echo "a process did not stop cleanly; its log is in $run" >&2
		exit 1
	fi
	echo "all processes stopped cleanly"
}
trap stop EXIT INT TERM

# start NAME COMMAND... runs a command in the background with its output in a log file.
start() {
	local name=$1
	shift
	"$@" >"$run/$name.log" 2>&1 &
	pids+=($!)
}

# wait_ready URL waits until the URL answers 200.
wait_ready() {
	for _ in $(seq 100); do
		if [ "$(curl -s -o /dev/null -w '%{http_code}' "$1" || true)" = 200 ]; then
			return
		fi
		sleep 0.1
	done
	echo "$1 did not become ready" >&2
	exit 1
}

# site NAME SERVICE[=CALL]... starts a platform and, for each service, two nodes with a target each in different availability
# zones. Sets entry to the caller address of the first node and admin to its admin address.
site() {
	local site=$1 seeds="" entry_set="" adm admins=()
	shift
	mapfile -t ports < <("$bin/wigeon-standin" ports --count $((1 + 10 * $#)))
	local platform=127.0.0.1:${ports[0]} next=1
	start "$site-platform" "$bin/wigeon-standin" platform --address "$platform"
	for spec in "$@"; do
		local service=${spec%%=*} calls=() zone
		if [ "$spec" != "$service" ]; then
			calls=(--call "${spec#*=}")
		fi
		for zone in az1 az2; do
			local caller=127.0.0.1:${ports[next]} peer=127.0.0.1:${ports[next + 1]} own=127.0.0.1:${ports[next + 2]}
			adm=127.0.0.1:${ports[next + 3]}
			local target=127.0.0.1:${ports[next + 4]}
			next=$((next + 5))
			cat >"$run/$site-$service-$zone.ini" <<INI
[node]
site = $site
region = local
availability_zone = $zone
caller_address = $caller
peer_address = $peer
target_interface_address = $own
admin_address = $adm

[target]
service = $service
address = $target

$([ -z "$seeds" ] || printf '[peers]\nseeds = %s\n' "$seeds")

[platform]
table_url = http://$platform
objects_url = http://$platform
INI
			start "$site-$service-$zone-node" "$bin/wigeoncleat-node" --settings "$run/$site-$service-$zone.ini"
			start "$site-$service-$zone-target" "$bin/wigeon-standin" target --listen "$target" --service "$service" \
				--node "$own" --slots 10 --mean 10ms --spread 5ms "${calls[@]}"
			if [ -z "$entry_set" ]; then
				entry=$caller admin=$adm seeds=$peer entry_set=1
			fi
			wait_ready "http://$adm/health"
			admins+=("$adm")
		done
	done
	sleep 2 # gossip
	mkdir "$run/$site-policy"
	cp examples/base.ini "examples/$site.ini" "$run/$site-policy"
	"$bin/wigeonctl" submit --node "$admin" --against 0 --author make-run --comment "first version" \
		"$run/$site-policy/base.ini" "$run/$site-policy/$site.ini" 2>"$run/$site-submit.log"
	for adm in "${admins[@]}"; do
		wait_ready "http://$adm/ready"
	done
}

# request METHOD URL [HEADER] prints the outcome of one request.
request() {
	local header=()
	if [ $# -gt 2 ]; then
		header=(-H "$3")
	fi
	printf '%-4s %-60s ' "$1" "$2"
	curl -s -X "$1" "${header[@]}" -o "$run/body" -D "$run/head" "$2"
	printf '%s %s %s\n' "$(sed -n '1s/\r//p' "$run/head" | cut -d' ' -f2)" \
		"$(sed -n 's/^Wigeon-Outcome: *\([a-z-]*\).*/\1/ip' "$run/head")" "$(head -c 120 "$run/body" | tr -d '\n')"
}

# key URL prints an idempotency key.
key() { curl -s -X POST "$1/-/keys" | sed 's/.*"keys":\["\([^"]*\)".*/\1/'; }

echo "== site haetsal: menu-board -> supply-tracking -> royalty, stock-ordering -> supply-tracking"
site haetsal royalty supply-tracking=royalty/statements menu-board=supply-tracking/status stock-ordering=supply-tracking/status
haetsal=http://$entry haetsal_admin=http://$admin
echo "== site gnomon: catalogue -> order-tracking -> charts, commission -> order-tracking"
site gnomon charts order-tracking=charts/latitude catalogue=order-tracking/status commission=order-tracking/status
gnomon=http://$entry gnomon_admin=http://$admin

request GET "$haetsal/menu-board/boards/1"
request POST "$haetsal/stock-ordering/orders" "Idempotency-Key: $(key "$haetsal")"
request GET "$gnomon/catalogue/dials/7"
request POST "$gnomon/commission/commissions" "Idempotency-Key: $(key "$gnomon")"
echo "== load on site haetsal: 100 requests a second for 2 s, one in five an order"
"$bin/wigeon-load" --entry "${haetsal#http://}" --rate 100 --duration 2s \
	--mix "menu-board:GET:/boards/1:0.8,stock-ordering:POST:/orders:0.2"
for admin in "$haetsal_admin" "$gnomon_admin"; do
	echo "== status of node ${admin#http://}"
	"$bin/wigeonctl" status --node "${admin#http://}"
	"$bin/wigeonctl" audit --node "${admin#http://}" --limit 3
done
