#!/usr/bin/env bash
# Runs a complete fleet on loopback with stand-ins: three nodes, three engines and one plain service, and sends it the requests of a few
# callers. Usage: demo.sh BUILD-FOLDER
set -euo pipefail
BUILD="$(cd "$1" && pwd)"
source "$(dirname "$0")/processes.sh"

echo "== stand-ins: weight store, three engines, a plain service, configuration, VM list"
start store "$BUILD/tests/standins/standin" store
STORE="http://127.0.0.1:$(value port)"
UPSTREAMS=""
for i in 1 2 3; do
    start "engine$i" "$BUILD/tests/standins/standin" engine --slots 2 --store "$STORE"
    UPSTREAMS+="[upstream engine$i]
address = 127.0.0.1:$(value port)
zone = zone$i
slots = 2
batch = 8
"
done
start payments "$BUILD/tests/standins/standin" service
PAYMENTS="$(value port)"
cat >"$WORK/catalog.ini" <<CATALOG
[adapters]
lessons@1 = shop=accra, track=stable
lessons@2 = shop=accra, track=canary
kitchen@1 = shop=kumasi, track=stable
$UPSTREAMS
[upstream payments1]
kind = service
address = 127.0.0.1:$PAYMENTS
zone = zone1
[service payments]
upstreams = payments1
CATALOG
"$BUILD/main/apricotstep" pack --in "$WORK/catalog.ini" --out "$WORK/values"
startPlatform

echo "== three nodes"
VMS=""
ALL_CALLERS=()
for i in 1 2 3; do
    startNode "node$i" "zone$i" $'[shutdown]\nlinger_ms = 100'
    CALLERS="$(value callers)"
    OPERATORS="${OPERATORS:-} $(value operators)"
    VMS+="${VMS:+,}$(vmEntry "node$i" "zone$i")"
    ALL_CALLERS+=("$CALLERS")
    echo "node$i serves callers on 127.0.0.1:$CALLERS"
done
echo "{\"vms\":[$VMS]}" >"$WORK/vms.json"
for port in $OPERATORS; do
    for _ in $(seq 150); do
        curl -sf "http://127.0.0.1:$port/readyz" >/dev/null && break
        sleep 0.1
    done
done
NODE="127.0.0.1:$CALLERS"
for _ in $(seq 100); do
    [ "$(curl -s "http://$NODE/v1/address?model=kitchen" | jq -r '.addresses | length' 2>/dev/null)" = 3 ] && break
    sleep 0.1
done

echo "== address lookup: which node serves the stable version of shop accra?"
ANSWER="$(curl -s "http://$NODE/v1/address?model=shop=accra,track=stable&once=1")"
jq -c . <<<"$ANSWER"
ADDRESS="$(jq -r '.addresses[0].address' <<<"$ANSWER")"
KEY="$(jq -r .idempotency_key <<<"$ANSWER")"

echo "== streamed chat through the selector"
STREAM="$(curl -sN "http://$ADDRESS/v1/chat/completions" -H 'X-Priority: urgent' \
    -d '{"model":"shop=accra,track=stable","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"how long does the broth simmer?"}]}')"
echo "$STREAM"
grep -q 'data: \[DONE\]' <<<"$STREAM"
grep -q 'lessons@1' <<<"$STREAM"

echo "== the same question at each node: the two that are not responsible forward it"
for CALLERS in "${ALL_CALLERS[@]}"; do
    curl -sf "http://127.0.0.1:$CALLERS/v1/chat/completions" \
        -d '{"model":"kitchen","max_tokens":3,"messages":[{"role":"user","content":"where is the ladle?"}]}' | jq -c .choices
done

echo "== a payment sent twice with one key, the second time to another node"
for KEY_ADDRESS in "$NODE" "127.0.0.1:${ALL_CALLERS[0]}"; do
    curl -s -D - "http://$KEY_ADDRESS/svc/payments/enrol" -H "Idempotency-Key: $KEY" -d '{"amount":120}' | grep -iE 'replayed|receipt'
    echo
done
RUNS="$(curl -s "http://127.0.0.1:$PAYMENTS/control/runs" | jq .total)"
echo "runs at the payment service: $RUNS"
[ "$RUNS" = 1 ]

echo "== the example scripts, each run as a caller would run it"
HERE="$(dirname "$0")"
"$HERE/chat.sh" "$NODE" "shop=kumasi,track=stable" "which knife for the spring onions?"
"$HERE/pay.sh" "$NODE" payments/enrol '{"amount":80}' "127.0.0.1:${ALL_CALLERS[0]}"
"$HERE/caller.py" "$NODE" lessons@2 "what is in lesson two?" payments/book '{"exam":7}'
RUNS="$(curl -s "http://127.0.0.1:$PAYMENTS/control/runs" | jq .total)"
[ "$RUNS" = 3 ]

echo "== graceful shutdown of node3, which ran the payment; a second SIGTERM interrupts nothing"
kill -TERM "${PIDS[-1]}"
kill -TERM "${PIDS[-1]}"
wait "${PIDS[-1]}"
unset 'PIDS[-1]'
echo "== the same payment at node1: the successor of node3 has the receipt"
for _ in $(seq 50); do
    REPEAT="$(curl -s -D - "http://127.0.0.1:${ALL_CALLERS[0]}/svc/payments/enrol" -H "Idempotency-Key: $KEY" -d '{"amount":120}')"
    grep -qi replayed <<<"$REPEAT" && break
    sleep 0.1
done
grep -iE 'replayed|receipt' <<<"$REPEAT"
[ "$(curl -s "http://127.0.0.1:$PAYMENTS/control/runs" | jq .total)" = 3 ]
echo "demo passed"
