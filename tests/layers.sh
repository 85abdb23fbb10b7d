#!/usr/bin/env bash
# Names of the users' platform stand only in platform/, its tests and deploy/, and only main/ uses platform/. A name of theirs elsewhere would
# spread a contract that is not the product's own through code that has to live without it.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Apricotstep-[A-Z]|apricotstep-(request|deadline|expect|not-run|server|model|kv|hold|pin)|/apricotstep/|kv-(range|watch|key|from|fetch)|storeRevision|pathPrefix"|APRICOTSTEP_BOOT'
found=$(git ls-files '*.cpp' '*.h' | grep -vE '^(platform|tests/platform|tests/main/(scriptedupstream|testrequestforwarder|testentrynode))' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
    echo "names of the platform outside platform/:"
    echo "$found"
    exit 1
fi
users=$(git ls-files '*.cpp' '*.h' | grep -vE '^(platform|main|tests)/' | xargs grep -ln '#include "platform/' || true)
if [ -n "$users" ]; then
    echo "platform/ is for main/ alone, but these include it:"
    echo "$users"
    exit 1
fi
