"""The machines are cut into two halves for 5.5 s and all their processes are killed and started again; both halves reach the rest."""

import asyncio
import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import fleet

CUT_FOR_S = 5.5
RESTART_AFTER_S = 0.1
SEEDS = 3
ADAPTERS, REQUESTS_PER_S = 200, 40


class Link(asyncio.DatagramProtocol):
    """The way of datagrams from one half to a seed of the other half."""

    def __init__(self, fleet_, target):
        self.fleet = fleet_
        self.target = target

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _address):
        if not self.fleet.is_cut:
            self.transport.sendto(data, self.target)


class Case(fleet.Fleet):
    node_count, engine_count = 6, 4

    def __init__(self, folder):
        super().__init__(folder)
        self.is_cut = False
        self.healed_at = 0.0
        self.last_orders = collections.defaultdict(dict)
        self.links = {}

    # Nodes learn the addresses of the others from seeds, so links to seeds of the other half decide whether the halves meet.
    async def make_node(self, index):
        node = await super().make_node(index)
        for seed in range(SEEDS):
            if seed not in self.links:
                target = (f"127.0.{self.network}.{seed + 1}", 8144)
                loop = asyncio.get_running_loop()
                await loop.create_datagram_endpoint(lambda target=target: Link(self, target), local_addr=(f"127.0.{self.network}.{210 + seed}", 8144))
                self.links[seed] = f"127.0.{self.network}.{210 + seed}:8144"
        node.seeds = [f"127.0.{self.network}.{seed + 1}:8144" if seed % 2 == index % 2 else self.links[seed] for seed in range(SEEDS)]
        return node

    def on_order(self, engine, order, status):
        super().on_order(engine, order, status)
        now = time.monotonic()
        if not self.is_cut and now - self.healed_at < self.bounds["thawSlackMs"] / 1000:
            return
        last = self.last_orders[engine.name]
        holder, fence = order["holder"], order["fence"]
        for other, (at, other_fence) in last.items():
            apart_s = now - at
            if other == holder:
                continue
            if apart_s < self.bounds["leaseMs"] / 1000 and not self.broken_once:
                self.broken_once = True
                self.record.break_rule("ONE", f"{engine.name} gets an order of {holder} (fence {fence}) {apart_s * 1000:.0f} ms after one of {other} "
                                              f"(fence {other_fence})")
        last[holder] = (now, fence)

    broken_once = False

    async def clients(self):
        while not self.is_over:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            adapter = f"a{1 + int(ADAPTERS * self.random.random() ** 2)}"
            self.task(self.request("POST", "/chat/2f", self.stream_headers(adapter), b"x" * 600, deadline_ms=8000))

    async def restart_all(self):
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            node.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        for node in self.nodes:
            node.start()

    async def run(self):
        await asyncio.sleep(6)  # The holders of the leases begin to order.
        self.task(self.clients())
        for _ in range(3):
            await asyncio.sleep(8)
            if self.has_trouble and os.environ.get("CUT", "1") != "0":
                self.is_cut = True
                self.record.note("cut", on=True)
            if self.has_trouble:
                await self.restart_all()
            await asyncio.sleep(CUT_FOR_S - RESTART_AFTER_S)
            if self.is_cut:
                self.is_cut, self.healed_at = False, time.monotonic()
                self.record.note("cut", on=False)
            await asyncio.sleep(3)
            if self.record.broken:
                return


fleet.play(Case, FOLDER)
