#!/usr/bin/env bash
# Checks that docs/LOGS.md documents each part and event that an entry node logs, because on-call engineers look them up there.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
while read -r part event; do
    if ! grep -E "^\| \`$part\` \|" docs/LOGS.md | grep -q "\`$event\`"; then
        echo "docs/LOGS.md does not document $part $event"
        status=1
    fi
done < <(cat main/entry/*.cpp | tr '\n' ' ' | grep -oE 'write\(\s*(EventLog::Severity::)?[A-Za-z:]+, "[a-z_]+", "[a-z_]+"' | grep -oE '"[a-z_]+", "[a-z_]+"' | tr -d '",' | sort -u)
exit $status
