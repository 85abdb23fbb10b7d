#!/usr/bin/env python3
"""A chat, an address lookup and a one-time payment with Python's standard library, with correct retries.

Usage: caller.py NODE SELECTOR QUESTION [SERVICE/PATH BODY]
"""
import json
import sys
import time
import urllib.error
import urllib.parse
import urllib.request

TRIES = 8


def call(url, body=None, headers=None):
    """Returns (status, text); the status is 0 if there was no response."""
    request = urllib.request.Request(url, data=body, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=60) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def error_of(text):
    try:
        return json.loads(text).get("error", {})
    except (ValueError, AttributeError):
        return {}


def address(node, selector):
    """Returns the best node for a selector. Callers may cache the response for keep_ms, which this example does not."""
    status, text = call(f"http://{node}/v1/address?model={urllib.parse.quote(selector)}")
    return json.loads(text)["addresses"][0]["address"] if status == 200 else node


def chat(node, selector, question):
    """Sends a chat. Running it twice is harmless, so it retries after the delay that the error gives, unless the error rules a retry out."""
    body = json.dumps({"model": selector, "messages": [{"role": "user", "content": question}]}).encode()
    for _ in range(TRIES):
        status, text = call(f"http://{address(node, selector)}/v1/chat/completions", body)
        if status == 200:
            return json.loads(text)["choices"][0]["message"]["content"]
        error = error_of(text)
        if error.get("retry") == "never" and error.get("not_run"):
            raise SystemExit(error.get("message"))
        time.sleep(error.get("retry_after_ms", 500) / 1000)
    raise SystemExit("no complete answer")


def pay(node, path, body):
    """Gets an idempotency key and retries with the same key until the outcome is known. Never retry a payment with a new key."""
    _, text = call(f"http://{node}/v1/keys", b"")
    key = json.loads(text)["idempotency_key"]
    for _ in range(TRIES):
        status, text = call(f"http://{node}/svc/{path}", body.encode(), {"Idempotency-Key": key})
        if 200 <= status < 300:
            return text
        if error_of(text).get("not_run") is False:
            raise SystemExit("the payment may have run; check with the service before paying again")
        time.sleep(0.5)
    raise SystemExit("the outcome is unknown; check with the service before paying again")


if __name__ == "__main__":
    print(chat(*sys.argv[1:4]))
    if len(sys.argv) == 6:
        print(pay(sys.argv[1], *sys.argv[4:6]))
