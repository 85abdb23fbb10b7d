#!/usr/bin/env bash
# An outage with real processes: two nodes and a plain service that is stopped. `apricotstep burn --all` must show the calculated burn rate
# within 1 %. Before that, `apricotstep address` must show the address that the node returns to a caller, and report an unknown selector.
# Usage: tests/operators/burn.sh BUILD
set -euo pipefail
BUILD="$(cd "$1" && pwd)"
source "$(dirname "$0")/../../examples/processes.sh"
burn() { "$BUILD/main/apricotstep" burn --node "$OPERATORS" --all "$@"; }

start store "$BUILD/tests/standins/standin" store
start engine1 "$BUILD/tests/standins/standin" engine --slots 2 --store "http://127.0.0.1:$(value port)"
ENGINE="$(value port)"
start lookups "$BUILD/tests/standins/standin" service
SERVICE_PID="${PIDS[-1]}"
cat >"$WORK/catalog.ini" <<CATALOG
[adapters]
kitchen@1 = shop=kumasi
[upstream engine1]
address = 127.0.0.1:$ENGINE
zone = zone1
slots = 2
batch = 8
[upstream lookups1]
kind = service
address = 127.0.0.1:$(value port)
zone = zone1
[service lookups]
upstreams = lookups1
CATALOG
"$BUILD/main/apricotstep" pack --in "$WORK/catalog.ini" --out "$WORK/values" >/dev/null
startPlatform
VMS=""
CALLERS=()
for i in 1 2; do
    startNode "node$i" "zone$i" $'[objectives]\nservice_target = 9900'
    CALLERS+=("127.0.0.1:$(value callers)")
    OPERATORS="127.0.0.1:$(value operators)"
    VMS+="${VMS:+,}$(vmEntry "node$i" "zone$i")"
done
echo "{\"vms\":[$VMS]}" >"$WORK/vms.json"
for _ in $(seq 200); do
    "$BUILD/main/apricotstep" status --node "$OPERATORS" --all --json >"$WORK/status.json" 2>/dev/null || true
    [ "$(jq '[.nodes[] | select(.config_version > 0)] | length' "$WORK/status.json" 2>/dev/null)" = 2 ] && break
    sleep 0.1
done

# call COUNT STATUS: makes COUNT calls alternating between both nodes; the status of each must match the pattern STATUS.
call() {
    for i in $(seq "$1"); do
        got="$(curl -s -o /dev/null -w '%{http_code}' "http://${CALLERS[$((i % 2))]}/svc/lookups/menu")"
        [[ "$got" =~ $2 ]] || { echo "a call returned $got, expected $2"; exit 1; }
    done
}
address() { "$BUILD/main/apricotstep" address --node "${CALLERS[0]}" "$@"; }
address --model shop=kumasi | tee "$WORK/address.txt"
RESPONSE="$(curl -s "http://${CALLERS[0]}/v1/address?model=shop=kumasi")"
grep -q 'resolves to kitchen@1' "$WORK/address.txt"
grep -q "^engine engine1 of node $(jq -r '.addresses[0].node' <<<"$RESPONSE")$" "$WORK/address.txt"
grep -q "^caller is told: .* at $(jq -r '.addresses[0].address' <<<"$RESPONSE")$" "$WORK/address.txt"
[ "$(jq 'has("candidates")' <<<"$RESPONSE")" = false ]
EXIT_CODE=0
address --model shop=nowhere 2>"$WORK/unknown.txt" || EXIT_CODE=$?
[ "$EXIT_CODE" = 1 ]
grep -q unknown_selector "$WORK/unknown.txt"
call 160 '^200$'
kill -TERM "$SERVICE_PID"
wait "$SERVICE_PID" || true
call 40 '^50.$'
burn
burn --html "$WORK/burn.html"
grep -q '<svg' "$WORK/burn.html"
# 40 of 200 calls failed at a target of 99 %: 20 % errors over a budget of 1 % is a burn rate of 20.
burn --json | jq -e '.missing == [] and (.nodes | length) == 2 and .classes.service.bad == 40 and .classes.service.good == 160
    and (.classes.service.burn_5m | . > 19.8 and . < 20.2) and .classes.service.alert == "page"' >/dev/null \
    || { echo "the burn rate differs from the calculated one"; burn --json | jq -c '.nodes, .missing, (.classes.service | del(.minutes))'; exit 1; }
echo "burn test passed"
