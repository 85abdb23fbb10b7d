#!/usr/bin/env bash
# A streamed chat: ask any node for the address, then send there. Usage: chat.sh NODE SELECTOR QUESTION
# Running a chat twice does no harm, so whatever goes wrong, wait as told and ask again.
set -uo pipefail
node="$1" selector="$2" question="$3"
body="$(jq -n --arg m "$selector" --arg q "$question" '{model: $m, stream: true, messages: [{role: "user", content: $q}]}')"
for try in 1 2 3 4 5; do
    address="$(curl -s -G "http://$node/v1/address" --data-urlencode "model=$selector" | jq -r '.addresses[0].address // empty')"
    answer="$(curl -sN "http://${address:-$node}/v1/chat/completions" -H 'X-Priority: urgent' -d "$body")"
    # An answer is whole when it ends with [DONE]; one without it broke off.
    if grep -q '^data: \[DONE\]' <<<"$answer"; then
        grep '^data: {' <<<"$answer" | cut -c7- | jq -rj '.choices[0].delta.content'
        echo
        exit 0
    fi
    [ "$(jq -r '.error.retry // empty' <<<"$answer" 2>/dev/null)" = never ] && break
    sleep "$(jq -r '(.error.retry_after_ms // 500) / 1000' <<<"$answer" 2>/dev/null || echo 0.5)"
done
echo "no whole answer: $answer" >&2
exit 1
