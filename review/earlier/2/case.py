"""Engines fail part of the calls that they get, orders among them, with status 500, while their health is good."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

import fleet
import http1

GREY_AT_S, GREY_FOR_S, GREY_SHARE = (8, 20, 32, 44), 4.0, 0.45
LENGTH_S = 56
ADAPTERS, REQUESTS_PER_S = 150, 30


class GreyEngine(fleet.Engine):
    is_grey = False

    async def _handle(self, request, reader, writer):
        # A failed call is not carried out.
        if self.is_grey and request.path != "/health" and self.fleet.random.random() < GREY_SHARE:
            self.fleet.record.counts["failed calls"] += 1
            self.fleet.record.note("failed", server=self.name, path=request.path, body=request.body.decode() if "order" in request.path else "")
            headers = self.seal(request) if request.header("apricotstep-request-id") else {}
            http1.answer(writer, 500, b"", headers)
            return True
        return await super()._handle(request, reader, writer)


class Case(fleet.Fleet):
    def make_engine(self, index):
        return GreyEngine(self, f"i-e{index + 1}", "llm", fleet.ZONES[index % len(fleet.ZONES)])

    async def clients(self):
        while not self.is_over:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            adapter = f"a{1 + int(ADAPTERS * self.random.random() ** 2)}"
            self.task(self.request("POST", "/chat/2f", self.stream_headers(adapter), b"x" * 600))

    async def trouble(self):
        began = asyncio.get_running_loop().time()
        for at in GREY_AT_S:
            await asyncio.sleep(max(0.0, began + at - asyncio.get_running_loop().time()))
            for engine in self.engines:
                engine.is_grey = True
            self.record.note("grey", on=True)
            await asyncio.sleep(GREY_FOR_S)
            for engine in self.engines:
                engine.is_grey = False
            self.record.note("grey", on=False)

    async def run(self):
        await asyncio.sleep(6)  # The holders of the leases begin to order.
        self.task(self.clients())
        if self.has_trouble:
            self.task(self.trouble())
        until = asyncio.get_running_loop().time() + LENGTH_S
        while not self.record.broken and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.1)


fleet.play(Case, FOLDER)
