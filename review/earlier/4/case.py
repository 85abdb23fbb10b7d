"""Some clients hide a request in the body of another: they write a space between "Content-Length" and its colon."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

import fleet
import http1

LENGTH_S = 20
REQUESTS_PER_S = 10


class RecordingService(fleet.Service):
    async def handle(self, request, reader, writer):
        if request.path != "/health":
            self.fleet.check(self, request)
        return await super().handle(request, reader, writer)


class Case(fleet.Fleet):
    node_count, engine_count = 3, 1

    def __init__(self, folder):
        super().__init__(folder)
        self.bodies = {}

    def make_service(self, index):
        return RecordingService(self, f"i-s{index + 1}", "api", fleet.ZONES[index % len(fleet.ZONES)], 6)

    def check(self, server, request):
        identifier = request.header("apricotstep-request-id")
        self.record.note("arrived", id=identifier, server=server.name, method=request.method, target=request.target, body=request.body)
        if identifier not in self.bodies:
            self.record.break_rule("UNASKED", f"{server.name} runs {request.method} {request.target} with the id {identifier}, which no client sent")
        elif request.body != self.bodies[identifier]:
            self.record.break_rule("UNASKED", f"{server.name} runs {identifier} with a body of {len(request.body)} bytes instead of "
                                              f"{len(self.bodies[identifier])}")

    async def post(self):
        """Sends a request whose body looks like a request, and reads its answer."""
        address = self.random.choice(await self.addresses())
        identifier = self.new_id()
        body = http1.head("POST /post/2f HTTP/1.1", {"Host": fleet.HOST, "Apricotstep-Request-Id": "hidden-" + identifier, "Content-Length": 0})
        self.bodies[identifier] = body
        length = "Content-Length " if self.has_trouble else "Content-Length"
        raw = http1.head("POST /post/2f HTTP/1.1", {"Host": fleet.HOST, "Apricotstep-Request-Id": identifier, "Apricotstep-Deadline-Ms": 3000,
                                                    length: len(body)}) + body
        self.record.counts["sent"] += 1
        self.record.note("sent", id=identifier, to=address, raw=raw)
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            response = http1.Response()
            await asyncio.wait_for(http1.receive(reader, response), 4)
            self.record.counts[f"answered {response.status}"] += 1
            self.record.note("answered", id=identifier, status=response.status, body=response.body)
            await asyncio.sleep(0.5)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.note("answered", id=identifier, error=type(error).__name__)

    async def run(self):
        await asyncio.sleep(2)
        until = asyncio.get_running_loop().time() + LENGTH_S
        while asyncio.get_running_loop().time() < until and len(self.record.broken) < 4:
            self.task(self.post())
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.sleep(1)


fleet.play(Case, FOLDER)
