# Sourced by scripts that start programs of a build folder: a work folder, programs that are ended at exit, and their ready lines.
WORK="$(mktemp -d)"
PIDS=()
finish() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap finish EXIT

# start NAME COMMAND...: starts a program, waits for its line "ready ...", and leaves that line in READY.
start() {
    local name="$1"
    shift
    "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PIDS+=($!)
    for _ in $(seq 200); do
        READY="$(grep -m1 '^ready' "$WORK/$name.out" || true)"
        [ -n "$READY" ] && return
        sleep 0.1
    done
    echo "$name did not start:"
    cat "$WORK/$name.log"
    exit 1
}
# value KEY: the number behind KEY= in READY.
value() { sed "s/.*$1=\([0-9]*\).*/\1/" <<<"$READY"; }
