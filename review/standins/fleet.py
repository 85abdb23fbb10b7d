"""The platform, the servers and the clients of a small deployment, around real entry nodes on loopback addresses.

All of them do what the users' pages say; a case adds its one disruption. Times are those of the real clock.
"""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

import http1

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "main", "apricotstep")  # Built and started as deploy/system.toml says.
HOST = "case.example"
ZONES = ("zone-a", "zone-b")
MODEL = "m0"
JSON = {"Content-Type": "application/json"}
HEARTBEAT_S = 1.2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Figures of sites/kc-portale.toml.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configBoundMs": 2000, "rollbackSlackMs": 250, "skewBoundMs": 5000, "budgetRatio": 0.2,
          "budgetWindowS": 10, "budgetExtra": 129, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "fenceChecked": "false",
          "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingFactor": 1.1, "version_ms": 5000, "ttl_max_s": 5}
ENGINE_SLOTS, ADAPTER_SLOTS, KV_TOKENS = 64, 8, 232000
ADAPTER_FETCH_S, FETCHES_AT_ONCE, LOADS_PER_ENGINE, CACHED_SPEED = 0.25, 8, 4, 10
REPORT_LAG_S = 0.2


def reserve_network():
    """Returns a number n whose addresses 127.0.n.x no other case uses, and the socket that reserves it."""
    for number in random.SystemRandom().sample(range(10, 250), 200):
        lock = socket.socket()
        try:
            lock.bind((f"127.0.{number}.250", 8149))
            return number, lock
        except OSError:
            lock.close()
    raise RuntimeError("all loopback networks are in use")


class Record:
    """Everything that was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._began = time.monotonic()
        self.broken = []
        self.counts = collections.Counter()

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {what} {text}\n")

    def break_rule(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.note("BROKEN", rule=rule, text=text)
        print(f"{time.monotonic() - self._began:.3f} s: rule {rule} broken: {text}", flush=True)

    def close(self):
        self.note("counts", **self.counts)
        self._file.close()


class Store:
    """The platform's store: keys with revisions, ranges and watches. Its answer to a write is the acknowledgement."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.changes = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "createRevision": self.revision, "lease": 0}
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, change):
        self.changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, _reader, writer):
        query = dict(urllib.parse.parse_qsl(request.query))
        prefix = query.get("pathPrefix", "")
        if request.path == "/apricotstep/kv-range":
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
            body = {"items": items, "hasMore": False, "storeRevision": self.revision}
        elif request.path == "/apricotstep/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while self.revision <= after and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self._changed.wait(), max(until - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    pass
            events = [change for change in self.changes if change["revision"] > after and change["key"].startswith(prefix)]
            body = {"events": events, "storeRevision": self.revision}
        else:
            http1.answer(writer, 404)
            return True
        await asyncio.sleep(0.004)
        http1.answer(writer, 200, json.dumps(body).encode(), JSON)
        return True


class Server:
    """What engines and plain servers have in common: their entry in the store, and how they reject and answer."""

    def __init__(self, fleet, name, service, zone, slots):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.running = 0
        self.is_up = True
        self.writers = set()
        self.address = ""
        self._server = None

    async def start(self, ip):
        self._server = await http1.serve(ip, 0, self._handle, self.writers.add)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.beat()
        asyncio.create_task(self._beat_forever())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
                "coldLeftMs": 0, "seq": self.beats, "born": self.born}

    def beat(self):
        self.beats += 1
        self.fleet.store.put("servers/" + self.name, self.entry())

    async def _beat_forever(self):
        while self.is_up:
            await asyncio.sleep(HEARTBEAT_S * self.fleet.random.uniform(0.9, 1.1))
            if self.is_up:
                self.beat()

    def crash(self):
        """Ends at once: its connections are reset, and nobody listens at its address."""
        self.is_up = False
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.fleet.loop_later(3 * HEARTBEAT_S, lambda: self.fleet.store.delete("servers/" + self.name))

    async def _handle(self, request, reader, writer):
        expected = request.header("apricotstep-expect-instance")
        if expected and expected != self.name:
            return self.reject(request, writer, 421)
        return await self.handle(request, reader, writer)

    def reject(self, request, writer, status):
        """Says that the request has not run."""
        identifier = request.header("apricotstep-request-id")
        self.fleet.record.note("rejected", server=self.name, id=identifier, status=status)
        http1.answer(writer, status, b"", {"Apricotstep-Not-Run": "1", "Apricotstep-Request-Id": identifier})
        return True

    def seal(self, request):
        return {"Apricotstep-Request-Id": request.header("apricotstep-request-id"), "Apricotstep-Server-Seal": "seal." + self.name}


class Engine(Server):
    """A model server: holds one model and a few adapters, carries out orders, reports late, and streams."""

    def __init__(self, fleet, name, service, zone):
        super().__init__(fleet, name, service, zone, ENGINE_SLOTS)
        self.adapters = {}  # Name to version.
        self.coming = {}  # Name to version and the end of its load.
        self.cached = set()
        self.uses = collections.Counter()
        self.unloading = set()
        self.seq = 0
        self.reports = collections.deque()
        self.event_pause_s = 0.02
        self.keep_report(time.monotonic())

    def entry(self):
        return dict(super().entry(), stage="colocated", models=[{"name": MODEL, "version": 1, "adapters": self.held()}])

    def held(self):
        return [f"{name}@{version}" for name, version in self.adapters.items()]

    def advance(self):
        """Completes the loads and unloads that are due."""
        now = time.monotonic()
        for name, (version, done_at) in sorted(self.coming.items(), key=lambda entry: entry[1][1]):
            if now >= done_at and (name not in self.adapters or self.uses[name] == 0):
                del self.coming[name]
                self.adapters[name] = version
                self.cached.add((name, version))
                self.keep_report(done_at)
        for name in [name for name in self.unloading if self.uses[name] == 0]:
            self.unloading.discard(name)
            self.adapters.pop(name, None)
            self.keep_report(now)

    def keep_report(self, since):
        """Keeps what reports will say of the state since then; they are late."""
        since = max(since, self.reports[-1][0]) if self.reports else since
        self.reports.append((since, {
            "stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": self.held()}], "busy": False, "seq": self.seq,
            "coming": [f"{MODEL}/{name}@{version}" for name, (version, _) in self.coming.items()], "waiting": 0, "running": self.running,
            "kvUsed": 0, "kvTotal": KV_TOKENS, "handles": 0}))

    def late_report(self):
        while len(self.reports) > 1 and time.monotonic() - self.reports[1][0] >= REPORT_LAG_S:
            self.reports.popleft()
        return self.reports[0][1]

    async def handle(self, request, reader, writer):
        self.advance()
        if request.path == "/apricotstep/report":
            return self.answer_report(request, writer)
        if request.path == "/apricotstep/order":
            return self.answer_order(request, writer)
        if request.path == "/health":
            http1.answer(writer, 200, b"", {"Apricotstep-Instance-Id": self.name})
            return True
        return await self.generate(request, writer)

    def answer_report(self, request, writer):
        report = self.late_report()
        self.fleet.record.note("report", server=self.name, holds=",".join(report["models"][0]["adapters"]), coming=",".join(report["coming"]))
        http1.answer(writer, 200, json.dumps(report).encode(), JSON)
        return True

    def answer_order(self, request, writer):
        order = json.loads(request.body)
        status = self.carry_out(order)
        self.keep_report(time.monotonic())
        self.fleet.on_order(self, order, status)
        if self.is_up:
            http1.answer(writer, status)
        return self.is_up

    def carry_out(self, order):
        if "holder" not in order or "fence" not in order or order.get("opKind") not in ("load", "unload"):
            return 400
        if order.get("precondition", self.seq) != self.seq:
            return 409
        if order.get("model") != MODEL:
            return 421
        name = order.get("adapter")
        if name is None:
            return 200 if order["opKind"] == "load" else 409
        return self.load(name, order.get("version", self.fleet.versions.get(name, 1))) if order["opKind"] == "load" else self.unload(name)

    def unload(self, name):
        if name in self.coming:
            return 409
        if name not in self.adapters:
            return 200
        self.seq += 1
        if self.uses[name] > 0:
            self.unloading.add(name)
            return 202
        del self.adapters[name]
        return 200

    def load(self, name, version):
        if name in self.coming:
            return 202
        if name in self.adapters and (self.adapters[name] == version or name in self.unloading):
            return 200 if name not in self.unloading else 409
        places = set(self.adapters) | set(self.coming) | {name}
        if len(places) > ADAPTER_SLOTS:
            self.fleet.record.break_rule("LIMIT", f"{self.name} holds {sorted(self.adapters)}, loads {sorted(self.coming)}, and is ordered to "
                                                  f"load {name}: {len(places)} adapters in {ADAPTER_SLOTS} places; it crashes")
            self.crash()
            return 500
        if len(self.coming) >= LOADS_PER_ENGINE:
            return 409
        self.seq += 1
        on_way = 1 + sum(len(engine.coming) for engine in self.fleet.engines)
        took = ADAPTER_FETCH_S / CACHED_SPEED if (name, version) in self.cached else ADAPTER_FETCH_S * max(1, on_way / FETCHES_AT_ONCE)
        self.coming[name] = (version, time.monotonic() + took)
        return 202

    def is_held(self, name, request):
        expected = request.header("apricotstep-expect-version")
        return name in self.adapters and (not expected or expected == str(self.adapters[name]))

    async def generate(self, request, writer):
        model, _, name = request.header("apricotstep-model").partition("/")
        if model != MODEL or not self.is_held(name, request):
            return self.reject(request, writer, 421)
        if name in self.unloading or name in self.coming or self.running >= self.slots:
            return self.reject(request, writer, 503)
        self.running += 1
        self.uses[name] += 1
        self.fleet.on_run(self, request, self.adapters[name])
        try:
            return await self.stream(request, writer)
        finally:
            self.running -= 1
            self.uses[name] -= 1
            self.advance()

    async def stream(self, request, writer):
        first = int(request.header("last-event-id") or 0) + 1
        last = self.fleet.events(request)
        await asyncio.sleep(self.event_pause_s)
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **self.seal(request)}
        writer.write(http1.head("HTTP/1.1 200 X", headers))
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {request.header('apricotstep-request-id')} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        return True


class Service(Server):
    """A plain server."""

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            http1.answer(writer, 200, b"", {"Apricotstep-Instance-Id": self.name})
            return True
        self.running += 1
        self.fleet.on_run(self, request, None)
        try:
            await asyncio.sleep(self.fleet.random.uniform(0.03, 0.09))
        finally:
            self.running -= 1
        http1.answer(writer, 200, b"done " + request.header("apricotstep-request-id").encode(), self.seal(request))
        return True


class Node:
    """An entry node: a process of the project, started with the command of the deploy file."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"front-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f"127.0.{fleet.network}.{index + 1}"
        self.store_address = ""
        self.seeds = []
        self.process = None

    def address(self, port):
        return f"{self.ip}:{port}"

    def settings(self):
        lines = [f'node = "{self.name}"', 'role = "node"', 'machineClass = "front"', 'serves = ["front", "directory"]', f'ip = "{self.ip}"',
                 f'zone = "{self.zone}"', 'region = "region-1"', "portRange = [7380, 7395]", f"seeds = {json.dumps(self.seeds)}",
                 "bootstrap = true", "countsAsLoss = false", 'discovery = "platform"', 'entry = "directory"', "heartbeatMs = 1200", "[zones]"]
        lines += [f'{zone} = "region-1"' for zone in ZONES]
        lines += ["[listen]", f'front = "{self.address(8149)}"', f'ready = "{self.address(8141)}"', f'control = "{self.address(8144)}"',
                  f'directory = "{self.address(8143)}"', "[limits]", "cpuShare = 0.17", "cores = 1", "memoryMb = 182", "maxFds = 2870",
                  "linkMbps = 700.0", "diskMb = 0", "[faultTolerance]", "machines = 1", "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{name} = {value}" for name, value in self.fleet.bounds.items()]
        lines += ["[platform]", f'address = "{self.store_address}"', 'form = "read"', "writesPerS = 400", "readsPerS = 2000", "historyS = 20",
                  "valueBytes = 1048576", "ttlMinMs = 1000"]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            environment = {"APRICOTSTEP_BOOT": path, "PATH": os.environ.get("PATH", "")}
            self.process = subprocess.Popen([PROGRAM, "entry"], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT, env=environment)
        self.fleet.record.note("start", node=self.name)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.fleet.record.note("signal", node=self.name, signal=number)
            self.process.send_signal(number)

    async def is_ready(self):
        response = await http1.call(self.address(8141), "GET", "/apricotstep/ready", {}, timeout=1)
        return response.status == 200


class Fleet:
    """A small deployment. A case derives its checks and its disruption from it."""

    node_count, engine_count, service_count = 4, 3, 2
    seed = 1
    routes_extra = ()

    def __init__(self, case_folder):
        self.random = random.Random(self.seed)
        self.record = Record(case_folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.network, self._lock = reserve_network()
        self.bounds = dict(BOUNDS)
        self.store = Store()
        self.store_address = ""
        self.engines, self.services, self.nodes = [], [], []
        self.versions = {}  # The newest version of adapters that the operator has announced.
        self.runs = collections.defaultdict(list)
        self.sent = {}
        self.sent_to = {}
        self.version = 1
        self.last_request = 0
        self.is_over = False
        self._tasks = []

    # What stand-ins report.

    def on_order(self, engine, order, status):
        self.record.counts["orders"] += 1
        self.record.note("order", server=engine.name, holder=order.get("holder"), fence=order.get("fence"), kind=order.get("opKind"),
                         adapter=order.get("adapter"), version=order.get("version"), status=status)

    def on_run(self, server, request, version):
        identifier = request.header("apricotstep-request-id")
        self.record.counts["runs"] += 1
        self.record.note("run", id=identifier, server=server.name, model=request.header("apricotstep-model"), version=version)
        self.runs[identifier].append((time.monotonic(), server.name))

    def events(self, _request):
        return 13

    # Running it.

    def loop_later(self, delay_s, function):
        asyncio.get_running_loop().call_later(delay_s, function)

    def configuration(self):
        engine = {"slots": ENGINE_SLOTS, "kvCapacity": KV_TOKENS, "weightsMb": 67100, "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 2.1,
                  "models": [{"name": MODEL, "weightsMb": 65500, "loadS": 1.9, "adapters": 3000, "adapterMb": 40}]}
        stream = {"name": "chat", "host": HOST, "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 15000, "priority": 0, "sticky": True,
                  "targetLatencyMs": 600, "service": "llm", "maxAttempts": 2, "resumable": True, "gapAimMs": 250}
        plain = {"host": HOST, "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "api"}
        routes = [stream, dict(plain, name="post", pathPrefix="/post/", kind="non_idempotent", maxAttempts=1),
                  dict(plain, name="read", pathPrefix="/read/", kind="idempotent", maxAttempts=2), *self.routes_extra]
        services = [{"name": "llm", "healthPath": "/health", "maxConns": 822, "engine": engine},
                    {"name": "api", "healthPath": "/health", "maxConns": 244}]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
        return {"version": self.version, "routes": routes, "services": services, "limits": limits}

    def publish(self):
        self.store.put("op/config", self.configuration())
        self.record.note("configuration", version=self.version)
        self.version += 3

    def announce(self, adapter, version):
        self.versions[adapter] = version
        self.store.put(f"op/version/{MODEL}.{adapter}", {"model": MODEL, "adapter": adapter, "version": version})
        self.record.note("announced", adapter=adapter, version=version)

    def make_engine(self, index):
        return Engine(self, f"i-e{index + 1}", "llm", ZONES[index % len(ZONES)])

    def make_service(self, index):
        return Service(self, f"i-s{index + 1}", "api", ZONES[index % len(ZONES)], 6)

    async def make_node(self, index):
        node = Node(self, index)
        node.store_address = self.store_address
        node.seeds = [f"127.0.{self.network}.{i + 1}:8144" for i in range(3)]
        return node

    async def start(self):
        server = await http1.serve(f"127.0.{self.network}.200", 0, self.store.handle)
        self.store_address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.publish()
        for index in range(self.engine_count):
            self.engines.append(self.make_engine(index))
            await self.engines[-1].start(f"127.0.{self.network}.{100 + index}")
        for index in range(self.service_count):
            self.services.append(self.make_service(index))
            await self.services[-1].start(f"127.0.{self.network}.{150 + index}")
        for index in range(self.node_count):
            self.nodes.append(await self.make_node(index))
            self.nodes[-1].start()
        await self.wait_until_ready(self.nodes)

    async def wait_until_ready(self, nodes, patience_s=10):
        until = time.monotonic() + patience_s
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} does not become ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        self.last_request += 1
        return f"{self.random.getrandbits(32):08x}{self.last_request:08x}"

    async def addresses(self):
        """Asks up to three nodes where to connect, as clients do."""
        for node in self.random.sample(self.nodes, min(3, len(self.nodes))):
            response = await http1.call(node.address(8143), "GET", f"/apricotstep/resolve?name={HOST}&region=region-1&zone={node.zone}", {}, timeout=1)
            if response.status == 200:
                return json.loads(response.body)["addrs"]
        return []

    async def request(self, method, path, headers, body=b"", deadline_ms=15000, address=None, on_part=None):
        """Sends one request and returns its id and the response."""
        identifier = self.new_id()
        if address is None:
            known = await self.addresses()
            if not known:
                return identifier, http1.Response()
            address = self.random.choice(known)
        self.sent[identifier] = time.monotonic()
        self.sent_to[identifier] = address
        self.record.counts["sent"] += 1
        self.record.note("sent", id=identifier, to=address, path=path, model=headers.get("Apricotstep-Model"))
        response = await http1.call(address, method, path, {"Host": HOST, "Apricotstep-Request-Id": identifier,
                                    "Apricotstep-Deadline-Ms": str(deadline_ms), **headers}, body, deadline_ms / 1000 + 0.5, on_part=on_part)
        self.record.counts[f"answered {response.status}{'' if response.is_complete else ' incomplete'}"] += 1
        self.record.note("answered", id=identifier, status=response.status, complete=response.is_complete, error=response.error)
        return identifier, response

    def stream_headers(self, adapter, shared=198, own=628, answer=73):
        part = f"{self.random.getrandbits(32):08x}"
        return {"Apricotstep-Model": f"{MODEL}/{adapter}", "Apricotstep-Token-Count": f"{shared + own},{answer}",
                "Apricotstep-Prompt-Prefix": f"5c1e07a2:{shared},{part}:{own}", "Content-Type": "application/json"}

    def task(self, coroutine):
        self._tasks.append(asyncio.create_task(coroutine))

    async def run(self):
        """What the case does; ends when its check is decided."""
        raise NotImplementedError

    def stop(self):
        for node in self.nodes:
            if node.is_running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()

    async def main(self, longest_s):
        try:
            await self.start()
            await asyncio.wait_for(self.run(), longest_s)
        finally:
            self.is_over = True
            for task in self._tasks:
                task.cancel()
            self.stop()
            self.record.close()
            if not os.environ.get("KEEP"):  # For a look at the logs of the nodes.
                shutil.rmtree(self.folder, ignore_errors=True)


def play(fleet_class, case_folder, longest_s=100):
    """Runs a case and exits as run.sh has to."""
    fleet = fleet_class(case_folder)
    try:
        asyncio.run(fleet.main(longest_s))
    except Exception as error:  # Whatever keeps the case from running.
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    print(dict(fleet.record.counts))
    sys.exit(EXIT_BROKEN if fleet.record.broken else EXIT_HELD)
