# Sourced by scripts that start programs of a build folder. Creates a work folder, stops the programs at exit and reads their ready lines.
WORK="$(mktemp -d)"
PIDS=()
finish() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap finish EXIT

# start NAME COMMAND...: starts a program, waits for its line "ready ..." and stores that line in READY.
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
# value KEY: prints the number after KEY= in READY.
value() { sed "s/.*$1=\([0-9]*\).*/\1/" <<<"$READY"; }

# startPlatform: serves the packed values of $WORK/values and the VM list $WORK/vms.json, which is initially empty. Requires BUILD.
startPlatform() {
    echo '{"vms":[]}' >"$WORK/vms.json"
    start config "$BUILD/tests/standins/standin" config --dir "$WORK/values"
    CONFIG="$(value port)"
    start vmlist "$BUILD/tests/standins/standin" vmlist --file "$WORK/vms.json"
    VMLIST="$(value port)"
}

# startNode NAME ZONE [SETTINGS]: starts a node on ephemeral ports. SETTINGS are additional INI lines, appended to section [callers].
startNode() {
    cat >"$WORK/$1.ini" <<INI
[node]
id = $1
zone = $2
[operator]
port = 0
[platform]
config_url = http://127.0.0.1:$CONFIG
vm_list_url = http://127.0.0.1:$VMLIST/vms
[fleet]
secret = only-for-examples-0123
[callers]
port = 0
${3:-}
INI
    start "$1" "$BUILD/main/apricotstep" node --settings "$WORK/$1.ini"
}

# vmEntry NAME ZONE: prints the VM list entry of the node that was started last.
vmEntry() {
    echo "{\"id\":\"$1\",\"role\":\"entry\",\"zone\":\"$2\",\"caller_address\":\"127.0.0.1:$(value callers)\",\"rpc_address\":\"127.0.0.1:$(value rpc)\",\"membership_address\":\"127.0.0.1:$(value membership)\"}"
}
