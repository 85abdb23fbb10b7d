#!/usr/bin/env python3
"""A crowd of clients that do not behave, against a node with INI settings, over plain HTTP and over TLS.

    tests/crowd/ini.py build short_of_end

The node reaches no platform, so it refuses ordinary requests; what counts is that it answers them, lives, and stays within its memory.
"""

import argparse
import asyncio
import os
import ssl
import subprocess
import sys
import tempfile
import time

BODY_BYTES = 4 << 20
CLIENTS = 60
CROWD_S = 8.0
# For connections and bodies, and for the whole process.
ACCOUNT_BYTES = 64 << 20
MEMORY_BYTES = 160_000_000
ATTEMPTS = 40
HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n%s\r\n\r\n"
LENGTH = HEAD % f"Content-Length: {BODY_BYTES}"
CHUNKED = HEAD % "Transfer-Encoding: chunked"


class Node:
    """A node process and the ports that it names when it is ready."""

    def __init__(self, build, folder, is_tls):
        self.ssl = None
        lines = ["[node]", "id = n1", "zone = a", "[operator]", "port = 0", "[platform]", "config_url = http://127.0.0.1:1",
                 "vm_list_url = http://127.0.0.1:1/vms", "[fleet]", "secret = only-for-tests-0123456", "[callers]", "port = 0",
                 f"max_body_bytes = {BODY_BYTES}", f"memory_bytes = {ACCOUNT_BYTES}"]
        if is_tls:
            key, certificate = os.path.join(folder, "key.pem"), os.path.join(folder, "cert.pem")
            subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2",
                            "-subj", "/CN=node", "-keyout", key, "-out", certificate], check=True, stderr=subprocess.DEVNULL)
            lines += [f"tls_certificate = {certificate}", f"tls_key = {key}"]
            self.ssl = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            self.ssl.check_hostname = False
            self.ssl.verify_mode = ssl.CERT_NONE
        path = os.path.join(folder, "node.ini")
        with open(path, "w", encoding="ascii") as file:
            file.write("\n".join(lines) + "\n")
        self.process = subprocess.Popen([os.path.join(build, "main", "apricotstep"), "node", "--settings", path], stdout=subprocess.PIPE,
                                        stderr=subprocess.DEVNULL, text=True)
        ready = next(line for line in self.process.stdout if line.startswith("ready"))
        self.port = int(ready.split("callers=")[1].split()[0])

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port, ssl=self.ssl)

    async def is_answered(self):
        """Whether an ordinary request gets a whole answer, whatever it is."""
        for _ in range(ATTEMPTS):
            try:
                reader, writer = await asyncio.wait_for(self.connect(), 1.0)
                writer.write(b"GET /v1/models HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(1 << 16), 2.0)
                writer.close()
                if answer.startswith(b"HTTP/1.1 "):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False

    def peak_bytes(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM"))


async def short_of_end(_reader, writer):
    writer.write(LENGTH.encode() + b"b" * (BODY_BYTES - 1))
    await writer.drain()


async def chunked(_reader, writer):
    writer.write(CHUNKED.encode())
    for _ in range(BODY_BYTES // (64 << 10) - 1):
        writer.write(b"10000\r\n" + b"b" * (64 << 10) + b"\r\n")
        await writer.drain()


async def sent_over(_reader, writer):
    writer.write(CHUNKED.encode())
    while not writer.transport.is_closing():
        writer.write(b"10000\r\n" + b"b" * (64 << 10) + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0)


CASES = {"short_of_end": short_of_end, "chunked": chunked, "sent_over": sent_over}


async def stay(node, act, until):
    """Lets one client do what it does until the crowd leaves; it comes again when its connection is closed."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.wait_for(node.connect(), max(until - time.monotonic(), 0.01))
            await asyncio.wait_for(act(reader, writer), max(until - time.monotonic(), 0.01))
            await asyncio.wait_for(reader.read(), max(until - time.monotonic(), 0.01))
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)


async def run(node, act):
    failures = []
    until = time.monotonic() + CROWD_S
    crowd = [asyncio.create_task(stay(node, act, until)) for _ in range(CLIENTS)]
    await asyncio.sleep(CROWD_S / 2)
    if not await node.is_answered():
        failures.append("ANSWERED: no ordinary request while the crowd was there")
    await asyncio.gather(*crowd)
    if not await node.is_answered():
        failures.append("ANSWERED: no ordinary request after the crowd had left")
    if node.process.poll() is not None:
        return failures + [f"EXIT: the node exited with status {node.process.returncode}"]
    peak = node.peak_bytes()
    print(f"peak {peak / 1e6:.0f} MB", flush=True)
    if peak > MEMORY_BYTES:
        failures.append(f"MEMORY: the node has held {peak / 1e6:.0f} MB, allowed are {MEMORY_BYTES / 1e6:.0f}")
    return failures


def main():
    parser = argparse.ArgumentParser(description="A crowd of clients that do not behave, against a node with INI settings")
    parser.add_argument("build", help="build folder that contains main/apricotstep")
    parser.add_argument("case", choices=list(CASES))
    parser.add_argument("--tls", action="store_true", help="clients and node speak TLS")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        node = Node(arguments.build, folder, arguments.tls)
        try:
            failures = asyncio.run(run(node, CASES[arguments.case]))
        finally:
            node.process.kill()
            node.process.wait()
    for failure in failures:
        print("FAILED " + failure)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
