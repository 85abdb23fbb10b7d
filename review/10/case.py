"""Most of the machines are lost for good, and the operator adds a route."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

import deployment  # noqa: E402
import engine  # noqa: E402

NODES = 5
LOST = 3
CLIENTS = 6
# Longer than anything in the fleet remembers a lost node.
WAIT_S = 66.0
MEASURE_S = 20.0
# A route counts as neglected from so many requests on.
ENOUGH = 20
ROUTE = {"name": "first", "host": "h.example", "pathPrefix": "/first/", "service": "llm", "kind": "stream", "timeoutMs": 5000,
         "targetLatencyMs": 1000, "gapAimMs": 250, "maxAttempts": 2, "priority": 0, "sticky": True, "resumable": False}


async def client(world, number, routes, counts):
    count = 0
    while True:
        route, adapters = random.choice(routes)
        node = random.choice([node for node in world.nodes if node.process.poll() is None])
        count += 1
        headers = {"Apricotstep-Request-Id": f"c{number}-{count}", "Apricotstep-Deadline-Ms": "5000", "Content-Type": "application/json",
                   "Apricotstep-Model": f"m0/a{random.choice(adapters)}", "Apricotstep-Token-Count": "400,3"}
        response = await deployment.call(node.address(8149), "POST", f"/{route}/x", headers, b"{}", 6.0)
        served = response.status == 200 and response.is_complete
        sent, whole = counts.get(route, (0, 0))
        counts[route] = (sent + 1, whole + served)
        if not served:
            world.record.write(f"c{number}-{count} on {route}: status {response.status}, {response.error or response.body[:80]}")
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def case(trouble):
    world = deployment.Deployment(FOLDER, NODES)
    record = world.record
    try:
        await world.store.listen()
        engines = [engine.Engine(world, f"i-{number}", 8, 0.4, 0.25) for number in range(3)]
        for server in engines:
            server.event_interval_s = 0.02
            await server.listen()
            server.register()
        beats = [asyncio.ensure_future(server.heartbeats()) for server in engines]
        configuration = engine.configuration([ROUTE], 8, 1.9)
        world.store.put("op/config", configuration)
        await world.start_nodes()
        await asyncio.sleep(8.0)
        routes, counts = [("first", [1, 2, 3])], {}
        clients = [asyncio.ensure_future(client(world, number, routes, counts)) for number in range(CLIENTS)]
        await asyncio.sleep(4.0)
        if trouble:
            for node in world.nodes[:LOST]:
                node.signal(signal.SIGKILL)
                node.process.wait()
                record.write(f"{node.name} is lost for good")
        await asyncio.sleep(WAIT_S)
        world.store.put("op/config", dict(configuration, version=9, routes=[ROUTE, dict(ROUTE, name="added", pathPrefix="/added/")]))
        record.write("the store has acknowledged a configuration with the route 'added'")
        await asyncio.sleep(5.0)
        counts.clear()
        routes.append(("added", [11, 12, 13]))
        await asyncio.sleep(MEASURE_S)
        await world.stop_tasks(clients + beats)
        record.write(f"in {MEASURE_S:.0f} s, requests and how many of them were served: {counts}")
        (first, first_served), (added, added_served) = counts.get("first", (0, 0)), counts.get("added", (0, 0))
        if first < ENOUGH or added < ENOUGH or not first_served:
            return deployment.NOT_RUN
        is_neglected = added_served / added < first_served / first / 4
        if is_neglected:
            record.write("BROKEN CONFIG: the route that was added later is served less than a quarter as often as the first one")
        return deployment.BROKEN if is_neglected else deployment.HELD
    finally:
        world.end(os.environ.get("KEEP_LOGS") == "1")


deployment.main(case)
