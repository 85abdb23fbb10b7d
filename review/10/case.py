"""One machine is partitioned from the store for a while. Soon after it is back, a server is replaced, and nothing changes after that."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

import deployment  # noqa: E402
from deployment import Server, answer  # noqa: E402

NODES = 36
SERVERS = 6
REQUESTS_PER_S = 80
CUT_S = 5.5
ROUNDS = 5
# The gap of releases in the site file is 0.85 s and more.
RELEASE_GAP_S = 0.85
LINGER_S = 7.0
WORK_S = 0.03
BOUNDS = {"contactMs": 4000, "drainMs": 3000, "configBoundMs": 3000}
ROUTE = {"name": "look", "host": "h.example", "pathPrefix": "/look/", "service": "api", "kind": "idempotent", "timeoutMs": 1500,
         "targetLatencyMs": 300, "maxAttempts": 2, "priority": 1}


class StoreLink:
    """The way of one machine to the store. While it is cut, it is silent in both directions, for old and new connections."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.is_cut = False

    async def listen(self):
        server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def _on_connection(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        other = None
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self._pump(reader, other), self._pump(other_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()
            if other is not None:
                other.close()

    async def _pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            while self.is_cut:
                await asyncio.sleep(0.02)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Service(Server):
    def __init__(self, world, name, zone):
        super().__init__()
        self.world = world
        self.name = name
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.arrivals = []

    def entry(self):
        return {"service": "api", "address": self.address, "zone": self.zone, "version": "1", "slots": 6, "state": "ready", "coldLeftMs": 0,
                "seq": 1, "born": self.born}

    async def handle(self, request, writer):
        request_id = request.header("Apricotstep-Request-Id")
        if request.header("Apricotstep-Expect-Instance") not in ("", self.name):
            writer.write(answer(421, b"", {"Apricotstep-Not-Run": "1", "Apricotstep-Request-Id": request_id}))
            return True
        self.arrivals.append((time.monotonic(), request_id))
        await asyncio.sleep(WORK_S)
        writer.write(answer(200, b"done", {"Apricotstep-Request-Id": request_id, "Apricotstep-Server-Seal": f"seal-{self.name}"}))
        return True


async def clients(world, sent, is_over):
    number = 0
    tasks = set()
    while not is_over.is_set():
        node = random.choice(world.nodes)
        number += 1
        sent[f"r{number}"] = node.name
        headers = {"Apricotstep-Request-Id": f"r{number}", "Apricotstep-Deadline-Ms": "1500"}
        task = asyncio.ensure_future(deployment.call(node.address(8149), "GET", "/look/2f", headers, b"", 2.0))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks, return_exceptions=True)


async def case(trouble):
    world = deployment.Deployment(FOLDER, NODES)
    world.bounds = BOUNDS
    record = world.record
    try:
        await world.store.listen()
        for index, node in enumerate(world.nodes):
            node.zone = f"z{index % 2 + 1}"
            node.name = f"front-{node.zone}-{index // 2 + 1:02d}"
        # The first machine of the first zone; the case does not know whether the system gives it any part.
        victim = world.nodes[0]
        link = StoreLink(world.store.address)
        await link.listen()
        victim.store_address = link.address
        servers = [Service(world, f"i-{number}", f"z{number % 2 + 1}") for number in range(SERVERS)]
        for server in servers:
            await server.listen()
            world.store.put("servers/" + server.name, server.entry())
        world.store.put("op/config", {"version": 7, "routes": [ROUTE], "services": [{"name": "api", "healthPath": "/health", "maxConns": 900}],
                                      "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                                                 "idleTimeoutMs": 10000}})
        await world.start_nodes()
        await asyncio.sleep(12.0)
        sent, is_over = {}, asyncio.Event()
        callers = asyncio.ensure_future(clients(world, sent, is_over))
        await asyncio.sleep(5.0)
        removed = {}
        for old in servers[:ROUNDS]:
            link.is_cut = trouble
            record.write(f"{victim.name} is partitioned from the store: {trouble}")
            await asyncio.sleep(CUT_S)
            link.is_cut = False
            record.write("the partition is over")
            await asyncio.sleep(RELEASE_GAP_S / 2)
            new = Service(world, old.name + "-new", old.zone)
            await new.listen()
            world.store.put("servers/" + new.name, new.entry())
            await asyncio.sleep(RELEASE_GAP_S / 2)
            world.store.delete("servers/" + old.name)
            removed[old] = time.monotonic()
            record.write(f"{new.name} is there, and the store has acknowledged that {old.name} is gone; it goes on serving for some seconds")
            await asyncio.sleep(LINGER_S)
            old.stop()
        is_over.set()
        await callers
        late = [(at - removed_at, request_id, gone.name) for gone, removed_at in removed.items() for at, request_id in gone.arrivals
                if at - removed_at > BOUNDS["drainMs"] / 1000 and sent[request_id] != victim.name]
        for after_s, request_id, name in late:
            record.write(f"{request_id}, sent on by {sent[request_id]}, reached {name} {after_s:.3f} s after it was gone")
        arrivals = sum(len(gone.arrivals) for gone in removed)
        record.write(f"{len(sent)} requests, {arrivals} at the servers that left, {len(late)} of them too late from machines in touch")
        if late:
            record.write(f"BROKEN DRAIN: the last one came {max(late)[0]:.1f} s after the acknowledgement, from "
                         f"{len({sent[request_id] for _, request_id, _ in late})} machines")
        if arrivals < 20:
            return deployment.NOT_RUN
        return deployment.BROKEN if late else deployment.HELD
    finally:
        world.end(os.environ.get("KEEP_LOGS") == "1")


deployment.main(case)
