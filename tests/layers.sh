#!/usr/bin/env bash
# Checks that names of the users' platform occur only in platform/, its tests and deploy/, and that only main/ uses platform/. Such a name
# elsewhere would make code depend on an interface that the product does not own and must work without.
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
    echo "only main/ may use platform/, but these files include it:"
    echo "$users"
    exit 1
fi
