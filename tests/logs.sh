#!/usr/bin/env bash
# Each part and event that an entry node logs stands in docs/LOGS.md. On-call engineers read the page, and a word that it does not know stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
while read -r part event; do
    if ! grep -E "^\| \`$part\` \|" docs/LOGS.md | grep -q "\`$event\`"; then
        echo "docs/LOGS.md does not tell of $part $event"
        status=1
    fi
done < <(cat main/entry/*.cpp | tr '\n' ' ' | grep -oE 'write\(\s*(EventLog::Weight::)?[A-Za-z:]+, "[a-z_]+", "[a-z_]+"' | grep -oE '"[a-z_]+", "[a-z_]+"' | tr -d '",' | sort -u)
exit $status
