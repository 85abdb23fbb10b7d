"""A stream that its client takes up again at a server which has started again under its id."""

import asyncio
import os
import re
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

import deployment  # noqa: E402
import engine  # noqa: E402

EVENTS = 24
CLIENTS = 9
WARM_UP_S = 20.0
SERVER_DOWN_S = 1.0
EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+) of run (\S+)\n\n")
ROUTE = {"name": "chat", "host": "h.example", "pathPrefix": "/chat/", "service": "llm", "kind": "stream", "timeoutMs": 6000,
         "targetLatencyMs": 600, "gapAimMs": 250, "maxAttempts": 3, "priority": 0, "sticky": True, "resumable": True}


def headers(request_id, last_event=0):
    result = {"Apricotstep-Request-Id": request_id, "Apricotstep-Deadline-Ms": "6000", "Apricotstep-Model": "m0",
              "Apricotstep-Token-Count": f"40,{EVENTS}", "Content-Type": "application/json"}
    if last_event:
        result["Last-Event-Id"] = str(last_event)
    return result


def faults_of(body, first):
    """What is wrong with a stream that has to go on with the event 'first'."""
    faults = []
    if EVENT.sub(b"", body):
        faults.append(f"bytes that are no whole event: {EVENT.sub(b'', body)[:80]!r}")
    numbers = [int(number) for number, _, _ in EVENT.findall(body)]
    if numbers != list(range(first, first + len(numbers))):
        faults.append(f"the events {numbers} instead of {first} and on")
    return faults


async def client(world, node, number, leaves_at):
    """Reads a stream, loses its connection, and takes the stream up again once 'leaves_at' is set."""
    record = world.record

    def on_data(response):
        return leaves_at.is_set() and len(EVENT.findall(response.body)) >= 2

    first = await deployment.call(node.address(8149), "POST", "/chat/x", headers(f"c{number}a"), b"{}", 9.0, on_data)
    events = [int(event) for event, _, _ in EVENT.findall(first.body)]
    record.write(f"client {number}: status {first.status}, events {events}, {first.error or 'complete'}")
    if first.status != 200 or faults_of(first.body, 1) or first.error != "left":
        return None
    second = await deployment.call(node.address(8149), "POST", "/chat/x", headers(f"c{number}b", events[-1]), b"{}", 9.0)
    received = [(int(event), run.decode()) for event, _, run in EVENT.findall(second.body)]
    record.write(f"client {number} took its stream up after event {events[-1]}: status {second.status}, "
                 f"seal {second.headers.get('apricotstep-server-seal')}, {second.error or 'complete'}, {received}")
    if second.status != 200:
        return []
    faults = faults_of(second.body, events[-1] + 1)
    if second.is_complete and not faults and received[-1][0] != EVENTS:
        faults.append("the stream ends as complete before its last event")
    for fault in faults:
        record.write(f"BROKEN ORDER, client {number}: {fault}")
    return faults


async def case(trouble):
    world = deployment.Deployment(FOLDER, 3)
    result = deployment.NOT_RUN
    try:
        await world.store.listen()
        engines = [engine.Engine(world, f"i-{name}", 8, 0.4, 0.25) for name in ("a", "b", "c")]
        for server in engines:
            await server.listen()
            server.register()
        beats = [asyncio.ensure_future(server.heartbeats()) for server in engines]
        world.store.put("op/config", engine.configuration([ROUTE], 8, 1.9))
        await world.start_nodes()
        await asyncio.sleep(WARM_UP_S)
        if trouble:
            await engines[0].crash_and_restart(SERVER_DOWN_S)
        for _ in range(60):
            engines[0].update()
            if engines[0].has_model:
                break
            await asyncio.sleep(0.1)
        world.record.write(f"{engines[0].name} holds the model: {engines[0].has_model}")
        leaves_at = asyncio.Event()
        tasks = [asyncio.ensure_future(client(world, world.nodes[number % len(world.nodes)], number, leaves_at)) for number in range(CLIENTS)]
        await asyncio.sleep(0.3)
        leaves_at.set()
        outcomes = await asyncio.gather(*tasks)
        await world.stop_tasks(beats)
        known = [faults for faults in outcomes if faults is not None]
        if known:
            result = deployment.BROKEN if any(known) else deployment.HELD
    finally:
        world.end(os.environ.get("KEEP_LOGS") == "1")
    return result


deployment.main(case)
