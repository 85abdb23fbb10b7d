"""The store cuts some of the watches that wait, while servers leave that never report `draining`."""

import asyncio
import base64
import json
import os
import sys
import time
import urllib.parse

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import fleet
import http1

LENGTH_S, QUIET_S = 60, 5
REQUESTS_PER_S = 120
CUT_BEFORE_S = 0.06  # The store cuts the watches that wait, so long before the entry is removed.
LEAVE_EVERY_S = 3.0
DRAIN_S = fleet.BOUNDS["drainMs"] / 1000
CLOCK_SLACK_S = 0.05  # The check and the stand-ins share one thread.


def without_seq(value):
    return {name: field for name, field in json.loads(base64.b64decode(value)).items() if name != "seq"}


class Store(fleet.Store):
    """An entry changes when more than its `seq` changes. A watch that is waiting may be cut."""

    def __init__(self, case):
        super().__init__()
        self.case = case

    def put(self, key, value):
        known = self.items.get(key)
        if known is not None and key.startswith("servers/") and without_seq(known["value"]) == {k: v for k, v in value.items() if k != "seq"}:
            known["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            return
        super().put(key, value)

    async def handle(self, request, reader, writer):
        query = dict(urllib.parse.parse_qsl(request.query))
        while request.path == "/apricotstep/kv-watch" and self.revision <= int(query["after"]):
            waited_from = query.setdefault("from", str(time.monotonic()))
            if time.monotonic() >= float(waited_from) + int(query.get("waitMs", "0")) / 1000:
                break
            cuts = self.cuts
            await asyncio.sleep(0.005)
            if self.cuts > cuts:
                self.case.record.counts["watches cut"] += 1
                self.case.record.note("cut", peer=writer.get_extra_info("peername"))
                return False
        return await super().handle(request, reader, writer)

    cuts = 0

    def cut_watches(self):
        """Cuts the watches that wait at this moment, each of them once."""
        self.cuts += 1


class Service(fleet.Service):
    gone_at = None

    def leave(self):
        """Its entry is removed, and it goes on serving for drainMs and a little longer."""
        self.fleet.store.delete("servers/" + self.name)
        self.gone_at = time.monotonic()
        self.is_listed = False
        self.fleet.record.note("removed", server=self.name)
        self.fleet.loop_later(DRAIN_S + 3, self.end)

    async def _beat_forever(self):
        while self.is_up and self.gone_at is None:
            await asyncio.sleep(fleet.HEARTBEAT_S * self.fleet.random.uniform(0.9, 1.1))
            if self.is_up and self.gone_at is None:
                self.beat()

    def end(self):
        self.is_up = False
        self._server.close()
        if not self.fleet.is_over:
            self.fleet.record.note("exits", server=self.name)

    async def handle(self, request, reader, writer):
        if request.path != "/health" and self.gone_at is not None:
            self.fleet.check(self, request)
        return await super().handle(request, reader, writer)


class Case(fleet.Fleet):
    node_count, engine_count, service_count = 4, 1, 4

    def __init__(self, folder):
        super().__init__(folder)
        self.store = Store(self)

    def make_service(self, index):
        return Service(self, f"i-s{index + 1}", "api", fleet.ZONES[index % len(fleet.ZONES)], 6)

    def check(self, server, request):
        late_s = time.monotonic() - server.gone_at - DRAIN_S
        identifier = request.header("apricotstep-request-id")
        self.record.note("arrived", id=identifier, server=server.name, afterRemovalS=f"{late_s + DRAIN_S:.3f}")
        if late_s > CLOCK_SLACK_S:
            sent_after = self.sent[identifier] - server.gone_at
            self.record.break_rule("DRAIN", f"request {identifier}, sent {sent_after:.2f} s after the removal of {server.name} was acknowledged, "
                                            f"reaches it {late_s + DRAIN_S:.2f} s after; drainMs is {DRAIN_S} s")

    async def clients(self):
        while not self.is_over:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            node = self.random.choice(self.nodes)
            self.task(self.request("GET", "/read/2f", {}, deadline_ms=1500, address=node.address(8149)))

    async def releases(self):
        """Servers are replaced one after the other: the new one starts first."""
        serving = list(self.services)
        while not self.is_over:
            await asyncio.sleep(LEAVE_EVERY_S * self.random.uniform(0.8, 1.2))
            index = len(self.services)
            self.services.append(self.make_service(index))
            await self.services[-1].start(f"127.0.{self.network}.{150 + index}")
            serving.append(self.services[-1])
            await asyncio.sleep(1.5)
            if self.has_trouble:
                self.store.cut_watches()
            await asyncio.sleep(CUT_BEFORE_S)
            serving.pop(0).leave()

    async def run(self):
        await asyncio.sleep(QUIET_S)
        self.task(self.clients())
        self.task(self.releases())
        until = time.monotonic() + LENGTH_S
        while time.monotonic() < until and len(self.record.broken) < 5:
            await asyncio.sleep(0.1)


fleet.play(Case, FOLDER)
