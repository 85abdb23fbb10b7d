"""Some clients send many headers, within `maxHeaderBytes` of the configuration, on connections that they keep."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import fleet
import http1

LENGTH_S = 40
REQUESTS_PER_S, CLIENTS = 15, 10
MAX_HEADER_BYTES = 16384  # Of the configuration.
MOST_HEADER_BYTES = 16000 if os.environ.get("TROUBLE", "1") != "0" else 6000
HEADER_BYTES = 100  # One field with its name, separator and line end.
ANSWER_HEADER_BYTES, ANSWER_HEADERS = 1500, 5
DEADLINE_MS = 1500
LOST_ALLOWED, DENIED_ALLOWED, DENIED_SHARE = 3, 5, 1 / 500  # Of the rules.


class Service(fleet.Service):
    def seal(self, request):
        """The answers bear some further headers, as those of web applications do."""
        headers = super().seal(request)
        for number in range(ANSWER_HEADERS):
            headers[f"X-Answer-{number}"] = "w" * (ANSWER_HEADER_BYTES // ANSWER_HEADERS - 15)
        return headers


class Case(fleet.Fleet):
    node_count, engine_count, service_count = 2, 1, 3

    def __init__(self, folder):
        super().__init__(folder)
        self.lost = []
        self.denied = []

    def make_service(self, index):
        return Service(self, f"i-s{index + 1}", "api", fleet.ZONES[index % len(fleet.ZONES)], 24)

    def head(self, size):
        """Returns a request's id and its head of some @p size bytes."""
        identifier = self.new_id()
        headers = {"Host": fleet.HOST, "Apricotstep-Request-Id": identifier, "Apricotstep-Deadline-Ms": DEADLINE_MS, "Content-Length": 100}
        first = "POST /post/2f HTTP/1.1"
        used = len(http1.head(first, headers))
        while used + HEADER_BYTES <= size:
            name = f"X-Field-{len(headers):03d}"
            headers[name] = "v" * (HEADER_BYTES - len(name) - 4)
            used += HEADER_BYTES
        raw = http1.head(first, headers)
        assert len(raw) <= MAX_HEADER_BYTES
        return identifier, raw

    async def exchange(self, reader, writer, size):
        """Sends one request on the kept connection. Returns whether it can be used again."""
        identifier, raw = self.head(size)
        self.sent[identifier] = time.monotonic()
        self.record.counts["sent"] += 1
        self.record.note("sent", id=identifier, headerBytes=len(raw))
        response = http1.Response()
        try:
            writer.write(raw + b"x" * 100)
            await asyncio.wait_for(http1.receive(reader, response), DEADLINE_MS / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            response.error = type(error).__name__
        self.record.counts[f"answered {response.status}"] += 1
        self.record.note("answered", id=identifier, status=response.status, error=response.error, runs=len(self.runs[identifier]))
        if response.status == 0 and self.runs[identifier]:
            self.lost.append(identifier)
        if 300 <= response.status < 500 and response.status not in (408, 421, 429):
            self.denied.append(identifier)
        return response.is_complete and response.headers.get("connection", "").lower() != "close"

    async def client(self):
        while not self.is_over:
            node = self.random.choice(self.nodes)
            try:
                reader, writer = await asyncio.open_connection(*node.address(8149).split(":"), limit=1 << 20)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                is_open = await self.exchange(reader, writer, 400)
                while is_open and not self.is_over:
                    await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S / CLIENTS))
                    is_open = await self.exchange(reader, writer, self.random.uniform(400, MOST_HEADER_BYTES))
            finally:
                writer.transport.abort()

    async def run(self):
        await asyncio.sleep(3)
        for _ in range(CLIENTS):
            self.task(self.client())
        await asyncio.sleep(LENGTH_S)
        sent = self.record.counts["sent"]
        if len(self.lost) > LOST_ALLOWED:
            self.record.break_rule("LOST", f"{len(self.lost)} of {sent} requests were run by a sound server, and their kept connection was closed "
                                           "without an answer")
        if len(self.denied) > DENIED_ALLOWED + sent * DENIED_SHARE:
            self.record.break_rule("DENIED", f"{len(self.denied)} of {sent} proper requests were refused with 431")


fleet.play(Case, FOLDER)
