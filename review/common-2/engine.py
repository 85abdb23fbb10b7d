"""A model server: it holds models and adapters as it is ordered, and streams events with increasing ids."""

import asyncio
import json
import random
import time

from deployment import JSON, Server, answer

# Servers write to the store about this often.
HEARTBEAT_S = 1.2


class Engine(Server):
    """The last part of an event names the server and the number of the run that made it."""

    def __init__(self, deployment, name, adapter_slots, load_s, adapter_load_s):
        super().__init__()
        self.deployment = deployment
        self.name = name
        self.adapter_slots = adapter_slots
        self.load_s = load_s
        self.adapter_load_s = adapter_load_s
        self.event_interval_s = 0.15
        self.born = int(time.time() * 1000)
        self.has_model = True
        self.model_ready_at = 0.0
        self.adapters = {}
        self.coming = {}
        self.uses = {}
        self.running = 0
        self.seq = 0
        self.next_heartbeat_at = time.monotonic() + HEARTBEAT_S
        self.runs = []
        self.last_holder, self.last_order_at = None, 0.0
        # Set if it was ordered to hold more adapters than it has places for.
        self.overfilled = ""

    def entry(self):
        self.update()
        models = [{"name": "m0", "version": 1, "adapters": sorted(f"{a}@{v}" for a, v in self.adapters.items())}] if self.has_model else []
        return {"service": "llm", "address": self.address, "zone": "z1", "version": "1", "slots": 64, "state": "ready", "coldLeftMs": 0,
                "seq": self.seq, "stage": "colocated", "models": models, "born": self.born}

    def register(self):
        if not self.deployment.store.is_silent:
            self.deployment.store.put("servers/" + self.name, self.entry())

    async def heartbeats(self):
        known = None
        while True:
            await asyncio.sleep(max(self.next_heartbeat_at - time.monotonic(), 0.01))
            if time.monotonic() < self.next_heartbeat_at:
                continue
            self.next_heartbeat_at = time.monotonic() + HEARTBEAT_S
            entry = dict(self.entry(), seq=0)
            if entry != known and not self.deployment.store.is_silent and self._server.is_serving():
                known = entry
                self.register()
                self.deployment.record.write(f"{self.name} writes to the store, born {self.born}")

    async def crash_and_restart(self, down_s):
        """Ends, and starts again under its id and at its address. It holds and knows nothing of before, and writes to the store with its
        next heartbeat."""
        record = self.deployment.record
        record.write(f"{self.name} (born {self.born}) ends")
        self.stop()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.has_model, self.adapters, self.coming, self.uses, self.seq, self.running = False, {}, {}, {}, 0, 0
        self.model_ready_at = 0.0
        await self.listen(self.address)
        record.write(f"{self.name} starts again, born {self.born}")
        self.next_heartbeat_at = time.monotonic() + HEARTBEAT_S

    def update(self):
        now = time.monotonic()
        if self.model_ready_at and now >= self.model_ready_at:
            self.has_model, self.model_ready_at = True, 0.0
        for adapter, (version, ready_at) in list(self.coming.items()):
            if now >= ready_at:
                del self.coming[adapter]
                self.adapters[adapter] = version

    def report(self):
        entry = self.entry()
        return {"stage": "colocated", "models": entry["models"], "busy": self.model_ready_at > 0, "seq": self.seq, "waiting": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 232000, "handles": 0, "born": self.born,
                "coming": [f"m0/{adapter}@{version}" for adapter, (version, _) in self.coming.items()]}

    def order(self, order):
        self.update()
        adapter = order.get("adapter")
        if adapter is None:
            if self.has_model:
                return 200
            if not self.model_ready_at:
                self.model_ready_at = time.monotonic() + self.load_s
            return 202
        if not self.has_model:
            return 421
        if order["opKind"] == "unload":
            if self.uses.get(adapter, 0) > 0:
                return 202
            self.adapters.pop(adapter, None)
            self.coming.pop(adapter, None)
            return 200
        if adapter in self.adapters:
            return 200
        if adapter not in self.coming:
            held = set(self.adapters) | set(self.coming) | {adapter}
            if len(held) > self.adapter_slots:
                self.overfilled = f"{self.name} has {self.adapter_slots} places and was ordered to hold {len(held)} adapters"
            self.coming[adapter] = (int(order.get("version", 1)), time.monotonic() + self.adapter_load_s)
        return 202

    async def handle(self, request, writer):
        request_id = request.header("Apricotstep-Request-Id")
        refused = {"Apricotstep-Not-Run": "1", "Apricotstep-Request-Id": request_id}
        if request.header("Apricotstep-Expect-Instance") not in ("", self.name):
            writer.write(answer(421, b"", refused))
            return True
        if request.path == "/apricotstep/report":
            writer.write(answer(200, json.dumps(self.report()).encode(), JSON))
            return True
        if request.path == "/apricotstep/order":
            order = json.loads(request.body)
            status = self.order(order)
            self.seq += status == 202
            self.last_holder, self.last_order_at = order["holder"], time.monotonic()
            self.deployment.record.write(f"{self.name} got the order {json.dumps(order)}: {status}")
            writer.write(answer(status))
            return True
        self.update()
        model, _, adapter = request.header("Apricotstep-Model").partition("/")
        if model != "m0" or not self.has_model or (adapter and adapter not in self.adapters):
            writer.write(answer(421, b"", refused))
            return True
        return await self.stream(request, adapter, writer)

    async def stream(self, request, adapter, writer):
        request_id = request.header("Apricotstep-Request-Id")
        count = int(request.header("Apricotstep-Token-Count").split(",")[1])
        first = int(request.header("Last-Event-Id") or 0) + 1
        run = f"{self.name}/{len(self.runs)}"
        self.runs.append(request_id)
        self.deployment.record.write(f"{self.name} runs {request_id} from event {first} as run {run}")
        self.running += 1
        self.uses[adapter] = self.uses.get(adapter, 0) + 1
        try:
            writer.write("\r\n".join(["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                                      f"Apricotstep-Request-Id: {request_id}", f"Apricotstep-Server-Seal: seal-{run}",
                                      "Apricotstep-Weight-Versions: 1"]).encode() + b"\r\n\r\n")
            for number in range(first, count + 1):
                await asyncio.sleep(self.event_interval_s * random.uniform(0.8, 1.2))
                event = f"id: {number}\ndata: event {number} of run {run}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.is_closing():
                    return False
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1
            self.uses[adapter] -= 1


def configuration(routes, adapter_slots, load_s):
    """A configuration of a deployment with one service of model servers."""
    return {"version": 7, "routes": routes,
            "services": [{"name": "llm", "healthPath": "/health", "maxConns": 720,
                          "engine": {"weightsMb": 67000, "adapterSlots": adapter_slots, "kvCapacity": 232000, "loadsPerS": 2.1,
                                     "models": [{"name": "m0", "weightsMb": 65500, "loadS": load_s, "adapters": 3000, "adapterMb": 40}]}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}
