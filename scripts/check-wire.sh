#!/usr/bin/env bash
# Fails if a name of the platform's wire stands in code outside platform/, which alone may know them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Deadline-Ms|Server-Stamp|Expect-Instance|Not-Executed|Caller-Service|Instance-Id|Server-Limit|Server-Leaving|Store-Era|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|Instances\.(Heartbeat|Deregister)|weighted_clusters|\b[Tt]enants?\b|api_keys|rate_per_s|revoke_strict|WIGEONCLEAT_NODE_FILE'
if git grep -nIE "$names" -- '*.go' ':!platform'; then
	echo "names of the wire outside platform/"
	exit 1
fi
