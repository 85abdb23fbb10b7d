#!/usr/bin/env bash
# A streamed chat: asks any node for the best address and sends the request there. Usage: chat.sh NODE SELECTOR QUESTION
# Running a chat twice is harmless, so it retries after the delay that the error gives, unless the error rules a retry out.
set -uo pipefail
node="$1" selector="$2" question="$3"
body="$(jq -n --arg m "$selector" --arg q "$question" '{model: $m, stream: true, messages: [{role: "user", content: $q}]}')"
for try in 1 2 3 4 5; do
    address="$(curl -s -G "http://$node/v1/address" --data-urlencode "model=$selector" | jq -r '.addresses[0].address // empty')"
    answer="$(curl -sN "http://${address:-$node}/v1/chat/completions" -H 'X-Priority: urgent' -d "$body")"
    # A complete answer ends with [DONE]; without it the stream was interrupted.
    if grep -q '^data: \[DONE\]' <<<"$answer"; then
        grep '^data: {' <<<"$answer" | cut -c7- | jq -rj '.choices[0].delta.content'
        echo
        exit 0
    fi
    [ "$(jq -r '.error.retry // empty' <<<"$answer" 2>/dev/null)" = never ] && break
    sleep "$(jq -r '(.error.retry_after_ms // 500) / 1000' <<<"$answer" 2>/dev/null || echo 0.5)"
done
echo "no complete answer: $answer" >&2
exit 1
