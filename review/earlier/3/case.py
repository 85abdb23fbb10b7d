"""The machine that orders an engine is killed while the operator announces two new versions of adapters, four seconds apart."""

import asyncio
import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

import fleet

DOWN_FOR_S = 3.5
SECOND_VERSION_AFTER_S = 4.0
ADAPTERS, REQUESTS_PER_S = [f"a{number}" for number in range(1, 13)], 60


class Case(fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder)
        self.announced = collections.defaultdict(dict)  # Adapter to version to the time of the acknowledgement.
        self.out_of_touch_until = {}  # Address of a machine that was disturbed.
        self.holders = {}
        self.late_runs = []  # How long after the bound each began, in ms.

    def announce(self, adapter, version):
        super().announce(adapter, version)
        self.announced[adapter][version] = time.monotonic()

    def on_order(self, engine, order, status):
        super().on_order(engine, order, status)
        self.holders[engine.name] = order["holder"]

    def on_run(self, server, request, version):
        super().on_run(server, request, version)
        if version is None:
            return
        identifier, now = request.header("apricotstep-request-id"), time.monotonic()
        adapter = request.header("apricotstep-model").partition("/")[2]
        late_s = max((now - at for newer, at in self.announced[adapter].items() if newer > version), default=0.0) \
            - self.bounds["version_ms"] / 1000
        if late_s <= 0 or now < self.out_of_touch_until.get(self.sent_to.get(identifier), 0.0):
            return
        self.late_runs.append(round(late_s * 1000))
        self.record.note("late", id=identifier, server=server.name, adapter=adapter, version=version, late_ms=self.late_runs[-1])
        if len(self.late_runs) == 1:
            self.record.break_rule("VERSION", f"{identifier}, sent on by the machine at {self.sent_to.get(identifier)}, begins on version {version} of "
                                              f"{adapter} at {server.name} {late_s * 1000:.0f} ms after the bound for a newer one")

    async def clients(self):
        while not self.is_over:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            self.task(self.request("POST", "/chat/2f", self.stream_headers(self.random.choice(ADAPTERS)), b"x" * 600))

    async def round(self, version):
        victim = next(node for node in self.nodes if node.name == collections.Counter(self.holders.values()).most_common(1)[0][0])
        killed_at = time.monotonic()
        if self.has_trouble:
            self.out_of_touch_until[victim.address(8149)] = float("inf")
            victim.signal(signal.SIGKILL)
            victim.process.wait()
        for adapter in ADAPTERS:
            self.announce(adapter, version)
        await asyncio.sleep(killed_at + DOWN_FOR_S - time.monotonic())
        if self.has_trouble:
            victim.start()
            self.out_of_touch_until[victim.address(8149)] = time.monotonic() + self.bounds["contactMs"] / 1000
        await asyncio.sleep(killed_at + SECOND_VERSION_AFTER_S - time.monotonic())
        for adapter in ADAPTERS:
            self.announce(adapter, version + 1)
        await asyncio.sleep(6)

    async def run(self):
        await asyncio.sleep(6)  # The holders of the leases begin to order.
        self.task(self.clients())
        await asyncio.sleep(8)
        for first in (2, 4, 6, 8):
            await self.round(first)
            if self.record.broken:
                print(f"{len(self.late_runs)} requests began too late on an older version, up to {max(self.late_runs)} ms after the bound")
                return
            await asyncio.sleep(4)


fleet.play(Case, FOLDER)
