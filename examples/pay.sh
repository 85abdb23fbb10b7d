#!/usr/bin/env bash
# A one-time request: gets an idempotency key, then sends the request and retries with the same key until the outcome is known.
# Usage: pay.sh NODE SERVICE/PATH BODY [OTHER-NODE...]
set -uo pipefail
node="$1" path="$2" body="$3"
shift 3
nodes=("$node" "$@")
key="$(curl -s -X POST "http://$node/v1/keys" | jq -r .idempotency_key)"
for try in 0 1 2 3 4 5 6 7; do
    # Any node works: it forwards the request to the node that may run the key.
    answer="$(curl -s -w '\n%{http_code}' "http://${nodes[try % ${#nodes[@]}]}/svc/$path" -H "Idempotency-Key: $key" -d "$body")"
    status="${answer##*$'\n'}"
    answer="${answer%$'\n'*}"
    if [ "$status" -ge 200 ] && [ "$status" -lt 300 ]; then
        echo "$answer"
        exit 0
    fi
    # If the error says that the request may have run, check with the service before paying again. Without a response, retrying with the same
    # key is safe.
    [ "$(jq -r '.error.not_run // empty' <<<"$answer" 2>/dev/null)" = false ] && break
    sleep 0.5
done
echo "the outcome is unknown; check with the service before paying again: $answer" >&2
exit 1
