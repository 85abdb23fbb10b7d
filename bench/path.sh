#!/usr/bin/env bash
# Measures the latency that a node adds to a request, compared with direct calls to the same stand-in engine, alternating within one run.
# Usage: bench/path.sh BUILD-FOLDER [OPTIONS-OF-BENCH_PATH...]
set -euo pipefail
BUILD="$(cd "$1" && pwd)"
source "$(dirname "$0")/../examples/processes.sh"

# The engine generates tokens without delay, so that only the request path is measured.
start engine "$BUILD/tests/standins/standin" engine --slots 4 --batch 256 --token-ms 0
ENGINE="127.0.0.1:$(value port)"
printf '[adapters]\nlessons@1 = track=stable\n[upstream e1]\naddress = %s\nzone = a\nslots = 4\nbatch = 256\n' "$ENGINE" >"$WORK/catalog.ini"
"$BUILD/main/apricotstep" pack --in "$WORK/catalog.ini" --out "$WORK/values" >/dev/null
startPlatform
startNode n1 a $'threads = 4\n[log]\nlevel = warn'
NODE="127.0.0.1:$(value callers)"
NODE_PID="${PIDS[-1]}"
BODY='{"model":"lessons@1","max_tokens":1,"messages":[{"role":"user","content":"hi"}]}'
for _ in $(seq 300); do
    curl -s -o /dev/null -w '%{http_code}' "http://$NODE/v1/chat/completions" -d "$BODY" | grep -q 200 && break
    sleep 0.1
done
memory() { awk '/VmRSS/ {print $2}' "/proc/$NODE_PID/status"; }
BEFORE="$(memory)"
"$BUILD/bench/bench_path" --direct "$ENGINE" --node "$NODE" --model lessons@1 "${@:2}"
echo "node_memory_before_kb $BEFORE"
echo "node_memory_after_kb $(memory)"
