"""Engines send late second answers to reports: a copy of the report before, where the next answer on the connection is due."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

import fleet

LATE_SHARE = 0.03  # Of the answers of an engine at most. They are copies of reports.
LATE_ENGINES = 3  # Of five.
SPELL_S, PAUSE_S = 5.0, 1.0
LENGTH_S = 95
ADAPTERS, REQUESTS_PER_S = 200, 14


class Recorder:
    """Keeps the bytes of the answer in progress."""

    def __init__(self, writer):
        self._writer = writer
        self.answer = b""

    def write(self, data):
        self.answer += data
        self._writer.write(data)

    async def drain(self):
        await self._writer.drain()


class LateEngine(fleet.Engine):
    is_late = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.late = {}
        self.answers = self.copies = 0

    async def _handle(self, request, reader, writer):
        before, copy = self.late.pop(writer, ("", b""))
        if copy:
            self.fleet.record.counts["late copies"] += 1
            self.fleet.record.note("late", server=self.name, answer_to=before, in_turn_of=request.path)
            writer.write(copy)
        recorder = Recorder(writer)
        is_kept = await super()._handle(request, reader, recorder)
        self.answers += self.is_late
        if is_kept and self.is_late and request.path == "/apricotstep/report" and self.copies + 1 <= LATE_SHARE * self.answers:
            self.copies += 1
            self.late[writer] = (request.path, recorder.answer)
        return is_kept


class Case(fleet.Fleet):
    engine_count = 5

    def make_engine(self, index):
        return LateEngine(self, f"i-e{index + 1}", "llm", fleet.ZONES[index % len(fleet.ZONES)])

    async def clients(self):
        while not self.is_over:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            adapter = f"a{1 + int(ADAPTERS * self.random.random() ** 2)}"
            self.task(self.request("POST", "/chat/2f", self.stream_headers(adapter), b"x" * 600))

    async def trouble(self):
        while not self.is_over:
            for engine in self.engines[:LATE_ENGINES]:
                engine.is_late = True
            await asyncio.sleep(SPELL_S)
            for engine in self.engines:
                engine.is_late = False
            await asyncio.sleep(PAUSE_S)

    async def run(self):
        await asyncio.sleep(6)  # The holders of the leases begin to order.
        self.task(self.clients())
        if self.has_trouble:
            self.task(self.trouble())
        until = asyncio.get_running_loop().time() + LENGTH_S
        while not self.record.broken and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.1)


fleet.play(Case, FOLDER, 112)
