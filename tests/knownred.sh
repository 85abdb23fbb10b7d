#!/usr/bin/env bash
# Runs CTest. The tests listed in KNOWN-RED.txt run and are printed, but do not fail the build.
# Usage: tests/knownred.sh BUILD-FOLDER [ctest options]
set -uo pipefail
build="$1"
shift
list="$(dirname "$0")/../KNOWN-RED.txt"
# Runs CTest, and names at the end the cases of test programs that failed: the summary of CTest has the programs only.
run() {
    ctest --test-dir "$build" --output-on-failure --no-tests=error "$@"
    local result=$?
    if [ "$result" != 0 ]; then
        echo "== failing cases:"
        grep -aohE '^\[(FAIL|CRASH|TIMEOUT)\].*|^FAILED .*' "$build/Testing/Temporary/LastTest.log" | sort -u | head -40
    fi
    return "$result"
}
names=""
[ -f "$list" ] && names="$(grep -v -e '^#' -e '^$' "$list" | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')"
if [ -z "$names" ]; then
    run "$@"
    exit
fi
echo "== known failing tests, printed but not counted (KNOWN-RED.txt):"
grep -v -e '^#' -e '^$' "$list"
for name in ${names//|/ }; do
    if ctest --test-dir "$build" -R "^$name\$" --no-tests=error >"$build/known-red.log" 2>&1; then
        echo "KNOWN-RED PASSED: $name; remove it from the list"
    else
        echo "KNOWN-RED FAILED: $name"
        tail -30 "$build/known-red.log"
    fi
done
run -E "^($names)\$" "$@"
