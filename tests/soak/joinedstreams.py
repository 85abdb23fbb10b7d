"""Callers that take their streams up again when they break off, and whether each text was written by one software version alone."""

import asyncio
import re
import time

import http1

# Callers wait for longer than a route lets one request last, and take a stream up in further requests.
PATIENCE_S = 15.0
EVENTS = 30
EVENT_INTERVAL_S = (0.1, 0.4)
PAUSE_BEFORE_TAKING_UP_S = 0.3
NAMED_SHARE = 0.7
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) part \d+ by (\S+)\n\n")


def event_of(stream, number, software):
    return f"id: {number}\ndata: {stream} part {number} by {software}\n\n".encode()


class JoinedStreams:
    def __init__(self, cluster):
        self.cluster = cluster
        self.counts = {"begun": 0, "taken_up": 0, "whole": 0, "refused": 0}

    async def caller(self):
        while not self.cluster.is_finished:
            await asyncio.sleep(self.cluster.random.uniform(0.0, 1.0))
            await self._read_stream()

    async def _read_stream(self):
        stream = f"stream{self.counts['begun']}"
        self.counts["begun"] += 1
        is_named = self.cluster.random.random() < NAMED_SHARE
        adapter = self.cluster.random.randint(1, 6)
        end = time.monotonic() + PATIENCE_S
        first_request, parts, is_whole = None, [], False
        while not is_whole and time.monotonic() < end and not self.cluster.is_finished:
            headers = {"Stream-Id": stream}
            if parts:
                headers["Last-Event-Id"] = str(parts[-1][0])
                if is_named:
                    headers["Resumes"] = first_request
            request_id, response = await self._call(headers, adapter, end - time.monotonic())
            added = [(int(number), software.decode()) for number, _, software in EVENT.findall(response.body)]
            if parts and 200 <= response.status < 300:
                self.counts["taken_up"] += 1
            if not 200 <= response.status < 300:
                self.counts["refused"] += 1
            if added and not parts:
                first_request = request_id
            parts += added
            is_whole = 200 <= response.status < 300 and response.is_complete
            self._check(stream, request_id, parts, is_whole)
            await asyncio.sleep(0 if is_whole else PAUSE_BEFORE_TAKING_UP_S)
        self.counts["whole"] += is_whole

    async def _call(self, headers, adapter, patience_s):
        node = self.cluster.random.choice(self.cluster.nodes)
        connection = http1.Connection(node.caller_link.address)
        request_id, headers = self.cluster.joined_request(node, headers, adapter, patience_s)
        response = await connection.call("POST", "/chat/x", headers, b"{}", patience_s)
        connection.close()
        return request_id, response

    def _check(self, stream, request_id, parts, is_whole):
        numbers = [number for number, _ in parts]
        if numbers != list(range(1, len(parts) + 1)) or (is_whole and len(parts) != EVENTS):
            self.cluster.fail("ORDER", f"{stream} has the events {numbers} after {request_id}")
        versions = sorted({software for _, software in parts})
        if len(versions) > 1:
            self.cluster.fail("ORDER", f"{stream} is joined from {versions} after {request_id}")
