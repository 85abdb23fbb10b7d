"""Requests, and parts of prompts, under which engines end: what may still reach engines once enough have ended, and whether sound requests are
served beside them."""

import asyncio
import time

# Enough engines ended under one request, or one part, to tell; what may reach engines later than this, from nodes that nothing harmed for as long.
ENOUGH_CRASHES = 3
ENOUGH_CRASHES_OF_PART = 5
CONTACT_S = 3.0
TOLERATED_ARRIVALS = 3
TIME_TO_CRASH_S = 0.03
# How much of their answers engines send before they end: nothing, the head, or events.
BEGINNINGS = {"nothing": None, "head": 0, "one_event": 1, "three_events": 3}
DOWNTIME_S = 3.0
# What is seen of a process that has ended: its host refuses connections until another one starts after the downtime; another one is back at its
# address at once; its host is silent for the downtime.
PROCESS_ENDS = ("refuses", "returns", "silent")
REQUEST_INTERVAL_S = 0.4
# Contents at a time: more of them leave no engine for sound requests, whatever nodes do.
MAX_AT_ONCE = 2
# Sound streams are served undisturbed until this long after the start.
WARM_UP_S = 9.0
MARK = b"deadly "
# Sound streams are served at least half as often as before, if there are so many to compare.
SERVED_SHARE = 0.5
MIN_SAMPLES = 20
HELD_BACK_STATUS = 400


class DeadlyContent:
    """One content under which engines end, the crashes and the arrivals at engines."""

    def __init__(self, name, enough, beginning):
        self.name = name
        self.enough = enough
        self.beginning = beginning
        self.began_at = time.monotonic()
        self.crashes = []
        self.late_arrivals = 0
        self.ended_at = None

    def told_at(self):
        """When enough engines had ended under it to tell, or the last one if there were fewer."""
        return self.crashes[min(self.enough, len(self.crashes)) - 1] if self.crashes else self.began_at

    def is_settled(self, at):
        """Whether it was known for long enough that sound requests are served again."""
        return at > self.told_at() + 2 * CONTACT_S

    def is_enough_since(self, seconds):
        return len(self.crashes) >= self.enough and time.monotonic() - self.crashes[self.enough - 1] > seconds


class DeadlyContents:
    def __init__(self, cluster, beginnings, process_ends):
        self.cluster = cluster
        self._beginnings = beginnings
        self._process_ends = process_ends
        self.contents = {}
        # When sound streams were sent, and whether they were served.
        self._streams = []

    def of(self, request):
        """The deadly content that a request at an engine holds, if any."""
        parts = [part.partition(":")[0] for part in request.header("apricotstep-prompt-prefix").split(",")]
        return next((self.contents[key] for key in [request.body] + parts if key in self.contents), None)

    async def repeat_request(self):
        """One caller repeats a request under which engines end, with new ids at any node."""
        body = MARK + b"%d" % len(self.contents)
        prompt = self.cluster.new_prompt(f"repeated{len(self.contents)}")
        adapter = self.cluster.random.randint(1, 3)
        await self._send_each(body, DeadlyContent(body.decode(), ENOUGH_CRASHES, self._any_beginning()),
                              lambda node: self.cluster.send_request("chat", node, body=body, adapter=adapter, prompt=prompt))

    async def send_part(self):
        """Requests of which no two are alike share a part of their prompts under which engines end."""
        part = f"deadlypart{len(self.contents)}"
        await self._send_each(part, DeadlyContent(part, ENOUGH_CRASHES_OF_PART, self._any_beginning()), lambda node: self.cluster.send_request(
            "chat", node, body=MARK + b"part %d" % self.cluster.next_request, prompt=self.cluster.new_prompt(part)))

    def any_process_end(self):
        return self.cluster.random.choice(self._process_ends)

    def _any_beginning(self):
        return self.cluster.random.choice(self._beginnings)

    async def _send_each(self, key, content, send):
        if sum(other.ended_at is None for other in self.contents.values()) >= MAX_AT_ONCE:
            return
        self.contents[key] = content
        await asyncio.sleep(max(0.0, self.cluster.began_at + WARM_UP_S - time.monotonic()))
        content.began_at = time.monotonic()
        tasks = []
        end = time.monotonic() + self.cluster.random.uniform(12.0, 20.0)
        while time.monotonic() < end and time.monotonic() < self.cluster.faults_end:
            tasks.append(asyncio.create_task(send(self.cluster.random.choice(self.cluster.nodes))))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        content.ended_at = time.monotonic()
        await asyncio.gather(*tasks)

    async def run(self, content, engine, request, writer):
        """Ends the engine that got the request, once it has begun to answer as far as the content lets it."""
        request_id = request.header("apricotstep-request-id")
        node, _ = self.cluster.sender(request_id)
        if node is not None and content.is_enough_since(CONTACT_S) and node.is_undisturbed(CONTACT_S):
            content.late_arrivals += 1
            if content.late_arrivals > TOLERATED_ARRIVALS:
                self.cluster.fail("BUDGET", f"{request_id} with {content.name} reached {engine.name} from {node.name}; "
                                            f"{content.late_arrivals} did so {CONTACT_S:.0f} s after {content.enough} engines had ended")
        if BEGINNINGS[content.beginning] is not None:
            await engine.stream(request, writer, BEGINNINGS[content.beginning])
        await asyncio.sleep(TIME_TO_CRASH_S)
        if not self.cluster.begin_crash(engine, DOWNTIME_S, self.any_process_end()):
            return
        content.crashes.append(time.monotonic())
        print(f"{time.monotonic() - self.cluster.began_at:7.2f} {engine.name} ends under {content.name} of {request_id} after {content.beginning}", flush=True)

    def on_response(self, request_id, body, kind, response, sent_at, is_owed):
        """To be called for each response to a stream request."""
        is_deadly = body.startswith(MARK)
        if response.status == HELD_BACK_STATUS and b"content_held_back" in response.body:
            if not is_deadly:
                self.cluster.fail("DENIED", f"{request_id} ({kind}) holds nothing under which engines end, and was refused for its content")
            if self.cluster.runs.get(request_id):
                self.cluster.fail("REFUSED", f"{request_id} was told that it did not run, but ran at {self.cluster.runs[request_id]}")
        if not is_deadly and is_owed:
            self._streams.append((sent_at, 200 <= response.status < 300 and response.is_complete))

    def check_sound_streams(self):
        """Compares the sound streams before any crash with those after enough, while deadly requests still came."""
        contents = [content for content in self.contents.values() if content.crashes]
        if not contents:
            return
        first = min(content.began_at for content in contents)

        def is_after(at):
            return any(at < (content.ended_at or at + 1) for content in contents if content.is_settled(at)) \
                and all(at < content.began_at or content.is_settled(at) for content in contents)

        before = [served for at, served in self._streams if at < first - 1.0]
        after = [served for at, served in self._streams if at > first and is_after(at)]
        print(f"sound streams served: {sum(before)} of {len(before)} before, {sum(after)} of {len(after)} after", flush=True)
        if len(before) >= MIN_SAMPLES and len(after) >= MIN_SAMPLES \
                and sum(after) / len(after) < SERVED_SHARE * sum(before) / len(before):
            self.cluster.fail("LOST", "sound streams are served less than half as often while deadly requests still come")
