#!/usr/bin/env bash
# Runs clang-tidy on one source file, unless the same code has passed it before with the same checks.
# Usage: tests/lintfile.sh BUILD-FOLDER SOURCE-FILE
set -euo pipefail
build="$1"
source="$2"
root="$(cd "$(dirname "$0")/.." && pwd)"
cache="${XDG_CACHE_HOME:-$HOME/.cache}/apricotstep-lint"

command="$(jq -r --arg file "$root/$source" '.[] | select(.file == $file) | .command' "$build/compile_commands.json" | sed 's| -o [^ ]* -c | |')"
if [ -z "$command" ]; then
    echo "$source: not in $build/compile_commands.json" >&2
    exit 1
fi
# All that clang-tidy reads: the code with its headers and comments (some switch checks off), the flags, the checks and its own version. Paths
# of the checkout do not count.
key="$({
    clang-tidy --version
    cat "$root/.clang-tidy" "$0"
    echo "$command"
    (cd "$build" && eval "$command -E -C")
} | sed "s|$root|.|g" | sha256sum | cut -d' ' -f1)"
if [ -e "$cache/$key" ]; then
    exit 0
fi
clang-tidy --quiet -p "$build" --extra-arg=-Wthread-safety "$source" 2>/dev/null
mkdir -p "$cache"
touch "$cache/$key"
