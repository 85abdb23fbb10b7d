#!/usr/bin/env python3
"""Crowds of clients that do not behave, against real entry nodes on loopback addresses.

    tests/crowd/crowd.py build short_of_end

Each case starts a store, upstreams and a node with the limits of a small VM, lets ordinary callers use them, and adds a crowd. It
checks what does not depend on the speed of the machine: the processes live and stop when they are told to, their memory and their
descriptors stay within the limits of their settings, no answer breaks an invariant of the soak, and an ordinary request is answered while
the crowd is there and after it has left. Each violation is printed on a line that begins with FAILED.
"""

import argparse
import asyncio
import base64
import json
import os
import shutil
import signal
import struct
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import http1  # noqa: E402
import soak  # noqa: E402
import standins  # noqa: E402

# The smallest VM: what a process may hold, with what has arrived for it and is not read, and its descriptors.
MEMORY_MB = 112
MAX_DESCRIPTORS = 1000
BODY_BYTES = 4 << 20
CLIENTS = 60
SILENT_CLIENTS = 1500
CROWD_S = 8.0
ORDINARY_CALLERS = 4
# An ordinary request is sent again until it is answered, as often as this.
ATTEMPTS = 40
HOLD_S = 3.0
DEADLINE_MS = 8000
SAMPLE_S = 0.02
PIECE_BYTES = 64 << 10
PORTS = {"callers": 8149, "peers": 8144, "readiness": 8141, "directory": 8143, "metrics": 9464}
TCP_LISTEN = "0A"


class SmallNode(soak.Node):
    """A node with the limits of a small VM."""

    def settings(self):
        return super().settings().replace("[limits]\n", f"[limits]\nmemoryMb = {MEMORY_MB}\n")


class QuickUpstream(standins.Upstream):
    """Answers every request whole."""

    delay_s = 0.0
    answer = b"whole"

    async def handle(self, request, writer):
        if self.is_misdirected(request):
            return self.reject(writer, request, 421)
        if request.method == "POST" and self.cluster.expected_length not in (None, len(request.body)):
            self.cluster.fail("UNASKED", f"{self.name} got a body of {len(request.body)} bytes")
        await asyncio.sleep(self.delay_s)
        http1.respond(writer, 200, self.answer, self.head(request))
        await writer.drain()
        return True


class HoldingUpstream(QuickUpstream):
    """Answers after some seconds."""

    delay_s = HOLD_S


class LongUpstream(QuickUpstream):
    """Answers with as much as a node delivers as a whole."""

    answer = b"w" * (4 << 20)


class CrowdCluster(soak.TestCluster):
    """The nodes, upstreams and store of one case, and what the nodes have held at most."""

    node_type = SmallNode

    def __init__(self, arguments):
        super().__init__(arguments)
        # The length of the bodies that upstreams must get; None for any.
        self.expected_length = None
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self.last_client = 0

    async def start(self):
        await super().start()
        for kind, service in ((QuickUpstream, "quick"), (HoldingUpstream, "hold"), (LongUpstream, "long")):
            await self.add_upstream(kind, service + "0", service, 64)

    def publish(self):
        super().publish()
        config = json.loads(base64.b64decode(self.store.items["op/config"]["value"]))
        route = {"host": soak.HOST, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 200, "priority": 1, "kind": "non_idempotent",
                 "maxAttempts": 1}
        for service in ("quick", "hold", "long"):
            config["routes"].append(dict(route, name=service, pathPrefix=f"/{service}/", service=service))
            config["services"].append({"name": service, "healthPath": "/health", "maxConns": 500})
        self.version += 1
        config["version"] = self.version
        self.store.put("op/config", config)

    # What a node holds.

    async def sample(self):
        while not self.is_finished:
            for node in self.nodes:
                if node.is_running():
                    self.sample_node(node)
            await asyncio.sleep(SAMPLE_S)

    def sample_node(self, node):
        pid = node.process.pid
        try:
            descriptors = os.listdir(f"/proc/{pid}/fd")
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
            unread = unread_bytes(node.ip, socket_inodes(pid, descriptors))
        except OSError:
            return
        self.peak_descriptors = max(self.peak_descriptors, len(descriptors))
        self.peak_bytes = max(self.peak_bytes, resident + unread)

    def check_held(self):
        for node in self.nodes:
            if node.is_running():
                with open(f"/proc/{node.process.pid}/status", encoding="ascii") as file:
                    self.peak_bytes = max([self.peak_bytes] + [int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM")])
        if self.peak_bytes > MEMORY_MB * 1_000_000:
            self.fail("MEMORY", f"a node has held {self.peak_bytes / 1e6:.0f} MB, allowed are {MEMORY_MB}")
        if self.peak_descriptors > MAX_DESCRIPTORS:
            self.fail("DESCRIPTORS", f"a node has used {self.peak_descriptors} descriptors, allowed are {MAX_DESCRIPTORS}")

    # Requests of the crowd.

    def head(self, path="/quick/x", fields=(), method="POST"):
        """The head of a request that is proper but for what follows it."""
        self.last_client += 1
        lines = [f"{method} {path} HTTP/1.1", f"Host: {soak.HOST}", f"Apricotstep-Request-Id: crowd-{self.last_client:06x}",
                 f"Authorization: Token {self.keys['free'][0]}", f"Apricotstep-Deadline-Ms: {DEADLINE_MS}", *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def is_ordinary_answered(self, node):
        """Whether one ordinary request is answered with 200, on one of several new connections."""
        for _ in range(ATTEMPTS):
            self.last_client += 1
            headers = {"Host": soak.HOST, "Apricotstep-Request-Id": f"ordinary-{self.last_client:06x}", "Connection": "close",
                       "Authorization": f"Token {self.keys['free'][0]}", "Apricotstep-Deadline-Ms": "1500"}
            connection = http1.Connection(node.address(8149))
            response = await connection.call("POST", "/quick/x", headers, b"ordinary", 2.0)
            connection.close()
            if response.status == 200 and response.is_complete:
                return True
            await asyncio.sleep(0.2)
        return False


def socket_inodes(pid, descriptors):
    inodes = set()
    for descriptor in descriptors:
        try:
            target = os.readlink(f"/proc/{pid}/fd/{descriptor}")
        except OSError:
            continue  # It was closed meanwhile.
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


def unread_bytes(ip, inodes):
    """What has arrived for the process and is not read, also on connections that it has not accepted."""
    local = "%08X" % struct.unpack("<I", socket.inet_aton(ip))[0]
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            is_waiting = fields[9] == "0" and fields[1].startswith(local)
            if fields[3] != TCP_LISTEN and (fields[9] in inodes or is_waiting):
                total += int(fields[4].split(":")[1], 16)
    return total


class Client:
    """One client of a crowd, on a connection that stays open until the crowd leaves or the node closes it."""

    def __init__(self, cluster, node, port="callers"):
        self.cluster = cluster
        self.node = node
        self.port = PORTS[port]
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, self.port, limit=8 << 20)

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def send_in_pieces(self, data, size=PIECE_BYTES):
        for begin in range(0, len(data), size):
            await self.send(data[begin:begin + size])
            await asyncio.sleep(0)

    async def until_closed(self):
        """Reads what the node sends until it closes the connection."""
        while await self.reader.read(1 << 16):
            pass

    def leave(self, is_reset=False):
        if self.writer is None:
            return
        if is_reset:
            option = struct.pack("ii", 1, 0)
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.writer.transport.abort() if is_reset else self.writer.close()
        self.writer = None


LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
ALL_BUT_ONE = b"b" * (BODY_BYTES - 1)


def chunks(body, size, extension=b""):
    """The body in chunks of this size, without the last chunk that ends it."""
    head = b"%x%s\r\n" % (size, extension)
    return b"".join(head + body[begin:begin + size] + b"\r\n" for begin in range(0, len(body), size))


# What each client of a crowd does.

async def short_of_end(client):
    """Bodies of legal size that lack their last byte."""
    await client.send(client.cluster.head(fields=(LENGTH,)))
    await client.send(ALL_BUT_ONE)
    await client.until_closed()


async def in_pieces(client):
    """The same, in small pieces."""
    await client.send(client.cluster.head(fields=(LENGTH,)))
    await client.send_in_pieces(ALL_BUT_ONE)
    await client.until_closed()


async def whole(client):
    """Whole bodies of legal size, answered at once."""
    await client.send(client.cluster.head(fields=(LENGTH,)) + ALL_BUT_ONE + b"b")
    await client.until_closed()


async def waiting(client):
    """Whole bodies of legal size, to an upstream that answers after seconds."""
    await client.send(client.cluster.head("/hold/x", fields=(LENGTH,)) + ALL_BUT_ONE + b"b")
    await client.until_closed()


async def relayed(client):
    """Whole bodies from a node that does not reach the upstreams, to one that answers after seconds."""
    fields = (LENGTH, f"relay-config-version: {client.cluster.version}", "relay-waited-ms: 0", "relay-team: free")
    await client.send(client.cluster.head("/hold/x", fields=fields) + ALL_BUT_ONE + b"b")
    await client.until_closed()


async def reset(client):
    """Bodies short of their end, then a reset, over and over."""
    await client.send(client.cluster.head(fields=(LENGTH,)))
    await client.send_in_pieces(ALL_BUT_ONE)
    client.leave(is_reset=True)


async def chunked_large(client):
    """Bodies in large chunks that lack the last chunk."""
    await client.send(client.cluster.head(fields=(CHUNKED,)))
    await client.send(chunks(ALL_BUT_ONE, PIECE_BYTES))
    await client.until_closed()


async def chunked_small(client):
    """Bodies in chunks of one byte that lack the last chunk."""
    await client.send(client.cluster.head(fields=(CHUNKED,)))
    piece = chunks(b"b" * 4096, 1)
    for _ in range(BODY_BYTES // 4096 - 1):
        await client.send(piece)
    await client.until_closed()


async def chunked_extended(client):
    """Bodies in chunks of one byte with long extensions."""
    await client.send(client.cluster.head(fields=(CHUNKED,)))
    piece = chunks(b"b" * 256, 1, b";e=" + b"x" * 200)
    while True:
        await client.send(piece)
        await asyncio.sleep(0)


async def announced_over(client):
    """Bodies announced far over the limit, which are sent."""
    await client.send(client.cluster.head(fields=("Content-Length: 100000000000",)))
    while True:
        await client.send_in_pieces(ALL_BUT_ONE)


async def sent_over(client):
    """Chunked bodies without end."""
    await client.send(client.cluster.head(fields=(CHUNKED,)))
    piece = chunks(b"b" * PIECE_BYTES, PIECE_BYTES)
    while True:
        await client.send(piece)
        await asyncio.sleep(0)


async def expecting(client):
    """Bodies after Expect: 100-continue that lack their last byte."""
    await client.send(client.cluster.head(fields=(LENGTH, "Expect: 100-continue")))
    if (await client.reader.readline()).split(b" ")[1] == b"100":
        await client.send(ALL_BUT_ONE)
    await client.until_closed()


async def wrong_key(client):
    """Bodies of legal size with a key that nobody has."""
    head = client.cluster.head(fields=(LENGTH,)).replace(b"Token ", b"Token un")
    await client.send(head + ALL_BUT_ONE)
    await client.until_closed()


async def unread_answers(client):
    """Requests whose long answers nobody reads."""
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.writer.transport.pause_reading()
    await client.send(client.cluster.head("/long/x", fields=("Content-Length: 4",)) + b"body")
    await asyncio.sleep(CROWD_S * 4)


async def pipelined(client):
    """More bytes behind a request that waits, which nobody reads before its answer."""
    await client.send(client.cluster.head("/hold/x", fields=("Content-Length: 4",)) + b"body")
    while True:
        await client.send_in_pieces(client.cluster.head(fields=(LENGTH,)) + ALL_BUT_ONE)


async def endless_head(client):
    """Heads without end."""
    await client.send(client.cluster.head()[:-2])
    while True:
        await client.send(b"X-Field: " + b"v" * 4000 + b"\r\n")
        await asyncio.sleep(0)


async def endless_trailers(client):
    """Trailers without end behind a chunked body."""
    await client.send(client.cluster.head(fields=(CHUNKED,)) + b"1\r\nb\r\n0\r\n")
    while True:
        await client.send(b"X-Field: " + b"v" * 4000 + b"\r\n")
        await asyncio.sleep(0)


async def silent(client):
    """Connections that send nothing."""
    await client.until_closed()


async def unfinished_head(client):
    """Heads that are never finished, close to the limit on heads."""
    await client.send(client.cluster.head()[:-2] + b"X-Field: " + b"v" * 15000 + b"\r\n")
    await client.until_closed()


# By case: what a client does, how many there are, whether one that is closed comes again, and the listeners that it uses.
CASES = {
    "short_of_end": (short_of_end, CLIENTS, False, ("callers",)),
    "coming_again": (short_of_end, CLIENTS, True, ("callers",)),
    "in_pieces": (in_pieces, CLIENTS, False, ("callers",)),
    "whole": (whole, CLIENTS, True, ("callers",)),
    "waiting": (waiting, CLIENTS, True, ("callers",)),
    "relayed": (relayed, CLIENTS, True, ("peers",)),
    "reset": (reset, CLIENTS, True, ("callers",)),
    "chunked_large": (chunked_large, CLIENTS, False, ("callers",)),
    "chunked_small": (chunked_small, CLIENTS, False, ("callers",)),
    "chunked_extended": (chunked_extended, CLIENTS, True, ("callers",)),
    "announced_over": (announced_over, CLIENTS, True, ("callers",)),
    "sent_over": (sent_over, CLIENTS, True, ("callers",)),
    "expecting": (expecting, CLIENTS, True, ("callers",)),
    "wrong_key": (wrong_key, CLIENTS, True, ("callers",)),
    "unread_answers": (unread_answers, CLIENTS, False, ("callers",)),
    "pipelined": (pipelined, 4 * CLIENTS, False, ("callers",)),
    "endless_head": (endless_head, 4 * CLIENTS, True, tuple(PORTS)),
    "endless_trailers": (endless_trailers, 4 * CLIENTS, True, tuple(PORTS)),
    "unfinished_head": (unfinished_head, SILENT_CLIENTS // 2, True, tuple(PORTS)),
    "other_ports": (short_of_end, CLIENTS, True, ("peers", "readiness", "directory", "metrics")),
    "silent": (silent, SILENT_CLIENTS, True, ("callers",)),
    "silent_other_ports": (silent, SILENT_CLIENTS, True, ("peers", "readiness", "directory", "metrics")),
}


async def stay(cluster, node, case, index, until):
    """Lets one client of the crowd do what it does until the crowd leaves; it comes again where it may."""
    act, _, comes_again, ports = CASES[case]
    client = None
    while time.monotonic() < until:
        client = Client(cluster, node, ports[index % len(ports)])
        try:
            await asyncio.wait_for(client.open(), max(until - time.monotonic(), 0.01))
            await asyncio.wait_for(act(client), max(until - time.monotonic(), 0.01))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, AttributeError):
            pass  # The node refused the client, closed its connection or reset it.
        if not comes_again:
            await asyncio.sleep(max(until - time.monotonic(), 0))
        client.leave()
        await asyncio.sleep(0.05)


async def run_crowd(cluster, case):
    node = cluster.nodes[0]
    until = time.monotonic() + CROWD_S
    crowd = [asyncio.create_task(stay(cluster, node, case, index, until)) for index in range(CASES[case][1])]
    await asyncio.sleep(CROWD_S / 2)
    if not await cluster.is_ordinary_answered(node):
        cluster.fail("ANSWERED", f"no ordinary request was answered in {ATTEMPTS} attempts while the crowd was there")
    await asyncio.gather(*crowd)


# Lone requests of the largest size, in calm.

async def answer_of(client, path="/quick/x"):
    head = await http1.read_head(client.reader)
    while head is not None and head[0].split(" ")[1] == "100":
        head = await http1.read_head(client.reader)
    return int(head[0].split(" ")[1]) if head else 0


async def send_slowly(client, data):
    for begin in range(0, len(data), len(data) // 20):
        await client.send(data[begin:begin + len(data) // 20])
        await asyncio.sleep(0.1)


async def run_lone(cluster, _case):
    """A request inside the limits is served, however its body is sent."""
    cluster.expected_length = BODY_BYTES
    body = b"b" * BODY_BYTES
    ways = {
        "with a length": ((LENGTH,), body, Client.send),
        "in pieces": ((LENGTH,), body, Client.send_in_pieces),
        "slowly": ((LENGTH,), body, send_slowly),
        "in large chunks": ((CHUNKED,), chunks(body, PIECE_BYTES) + b"0\r\n\r\n", Client.send),
        "in chunks of 64 bytes": ((CHUNKED,), chunks(body, 64) + b"0\r\n\r\n", Client.send),
        "in large chunks, slowly": ((CHUNKED,), chunks(body, PIECE_BYTES) + b"0\r\n\r\n", send_slowly),
        "after Expect: 100-continue": ((LENGTH, "Expect: 100-continue"), body, Client.send),
    }
    for name, (fields, sent, send) in ways.items():
        client = Client(cluster, cluster.nodes[0])
        await client.open()
        await client.send(cluster.head(fields=fields))
        await send(client, sent)
        status = await asyncio.wait_for(answer_of(client), DEADLINE_MS / 1000 + 2)
        client.leave()
        if status != 200:
            cluster.fail("SERVED", f"a lone body of {BODY_BYTES} bytes {name} got {status}")
    cluster.expected_length = None


async def run(cluster, case):
    await cluster.start()
    await asyncio.sleep(3.0)
    for node in cluster.nodes:
        if not await cluster.is_ordinary_answered(node):
            cluster.fail("ANSWERED", f"{node.name} does not serve in calm")
    sampling = asyncio.create_task(cluster.sample())
    callers = [asyncio.create_task(cluster.caller()) for _ in range(ORDINARY_CALLERS)]
    runner = run_lone if case == "lone" else run_crowd
    await runner(cluster, case)
    for node in cluster.nodes:
        if not await cluster.is_ordinary_answered(node):
            cluster.fail("ANSWERED", f"{node.name} answered no ordinary request in {ATTEMPTS} attempts after the crowd had left")
    cluster.check_processes()
    cluster.check_held()
    cluster.is_finished = True
    await asyncio.gather(sampling, *callers)
    for node in cluster.nodes:
        await check_stop(cluster, node)
    cluster.check_logs()
    await cluster.end_connections()


async def check_stop(cluster, node):
    """A node that hangs does not stop when it is told to."""
    if not node.is_running():
        return
    node.should_run = False
    node.signal(signal.SIGTERM)
    for _ in range(soak.SHUTDOWN_GRACE_S * 20):
        if not node.is_running():
            break
        await asyncio.sleep(0.05)
    if node.is_running() or node.process.returncode != 0:
        cluster.fail("SHUTDOWN", f"{node.name} has not ended in order: {node.process.poll()}")


def main():
    parser = argparse.ArgumentParser(description="Crowds of clients that do not behave, against real entry nodes")
    parser.add_argument("build", help="build folder that contains main/apricotstep")
    parser.add_argument("case", choices=[*CASES, "lone"])
    parser.add_argument("--seed", type=int, default=80, help="seed of the ordinary callers")
    arguments = parser.parse_args()
    arguments.__dict__.update(nodes=1, seconds=CROWD_S, engines=2, slots=16, plain_slots=6, half_closed=0.0, callers=ORDINARY_CALLERS,
                              endings="nothing", process_ends="refuses", joining_callers=0, faults="")
    cluster = CrowdCluster(arguments)
    try:
        asyncio.run(run(cluster, arguments.case))
    finally:
        cluster.stop_all()
    print(json.dumps({"case": arguments.case, "peakMb": round(cluster.peak_bytes / 1e6), "descriptors": cluster.peak_descriptors,
                      "ordinary": cluster.counts, "failures": len(cluster.failures)}))
    if cluster.failures:
        print(f"logs: {cluster.folder}")
        return 1
    shutil.rmtree(cluster.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
