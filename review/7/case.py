"""Model servers whose memory holds fewer adapters than they have places for, while the demand moves to other adapters."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

import deployment  # noqa: E402
import engine  # noqa: E402

ENGINES = 2
CLIENTS = 6
# The memory for weights, the model and an adapter, in MB: the model leaves room for four adapters.
WEIGHTS_MB, MODEL_MB, ADAPTER_MB = 67100, 65500, 400
SLOTS = 8
# The adapters that are asked for at any moment.
BUSY = 3
SHIFTS = 8
SHIFT_S = 6.0
ROUTE = {"name": "chat", "host": "h.example", "pathPrefix": "/chat/", "service": "llm", "kind": "stream", "timeoutMs": 5000,
         "targetLatencyMs": 1000, "gapAimMs": 250, "maxAttempts": 2, "priority": 0, "sticky": True, "resumable": False}


class LimitedEngine(engine.Engine):
    """Ends when it is ordered to load more than its memory or its places hold."""

    def order(self, order):
        self.update()
        adapter = order.get("adapter")
        status = super().order(order)
        held = set(self.adapters) | set(self.coming)
        used_mb = MODEL_MB + ADAPTER_MB * len(held)
        if order["opKind"] == "load" and adapter and not self.overfilled and used_mb > WEIGHTS_MB:
            self.overfilled = (f"{self.name} has {WEIGHTS_MB} MB for weights and was ordered to load {adapter} beside "
                               f"{', '.join(sorted(held - {adapter}))}: {used_mb} MB")
        return status

    async def handle(self, request, writer):
        goes_on = await super().handle(request, writer)
        if self.overfilled and self._server.is_serving():
            self.deployment.record.write(f"{self.name} ends with {self.running} requests")
            self.stop()
        return goes_on


def configuration():
    result = engine.configuration([ROUTE], SLOTS, 1.9)
    service = result["services"][0]["engine"]
    service["weightsMb"] = WEIGHTS_MB
    service["models"][0].update(weightsMb=MODEL_MB, adapterMb=ADAPTER_MB)
    return result


async def client(world, number, first, counts):
    count = 0
    while True:
        node = random.choice(world.nodes)
        request_id = f"c{number}-{count}"
        count += 1
        adapter = f"a{first['adapter'] + random.randrange(BUSY)}"
        headers = {"Apricotstep-Request-Id": request_id, "Apricotstep-Deadline-Ms": "5000", "Content-Type": "application/json",
                   "Apricotstep-Model": f"m0/{adapter}", "Apricotstep-Token-Count": "400,5"}
        response = await deployment.call(node.address(8149), "POST", "/chat/x", headers, b"{}", 6.0)
        whole = response.status == 200 and response.is_complete
        counts["served" if whole else "not served"] += 1
        if not whole:
            world.record.write(f"{request_id} for {adapter}: status {response.status}, {response.error or 'complete'}")
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def case(trouble):
    world = deployment.Deployment(FOLDER, 3)
    record = world.record
    try:
        await world.store.listen()
        engines = [LimitedEngine(world, f"i-{number}", SLOTS, 0.4, 0.25) for number in range(ENGINES)]
        for server in engines:
            await server.listen()
            server.register()
        beats = [asyncio.ensure_future(server.heartbeats()) for server in engines]
        world.store.put("op/config", configuration())
        await world.start_nodes()
        await asyncio.sleep(8.0)
        first, counts = {"adapter": 1}, {"served": 0, "not served": 0}
        clients = [asyncio.ensure_future(client(world, number, first, counts)) for number in range(CLIENTS)]
        await asyncio.sleep(SHIFT_S)
        for _ in range(SHIFTS):
            if any(server.overfilled for server in engines):
                break
            if trouble:
                first["adapter"] += 1
                record.write(f"the demand moves on: a{first['adapter']} to a{first['adapter'] + BUSY - 1}")
            end = time.monotonic() + SHIFT_S
            while time.monotonic() < end and not any(server.overfilled for server in engines):
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        await world.stop_tasks(clients + beats)
        for server in engines:
            if server.overfilled:
                record.write(f"BROKEN LIMIT: {server.overfilled}")
        record.write(f"requests: {counts}")
        if counts["served"] < 20:
            return deployment.NOT_RUN
        return deployment.BROKEN if any(server.overfilled for server in engines) else deployment.HELD
    finally:
        world.end(os.environ.get("KEEP_LOGS") == "1")


deployment.main(case)
