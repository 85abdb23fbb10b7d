#!/usr/bin/env python3
"""Measures the resource usage of a node while one quantity grows: nodes, VMs, adapters, upstreams, configuration changes, requests.

Usage: bench/capacity.py BUILD [--part nodes,list,...] [--seconds 10]

Starts real `apricotstep node` processes and the stand-ins of BUILD on loopback. Prints one line per metric, `name value unit`, as the
mean over the nodes of a measurement, and a least-squares slope for each quantity. Processor time is user and system time of
/proc/PID/stat as a share of one core; memory is VmRSS, RssAnon and VmHWM of /proc/PID/status; membership bytes are those of /status.
The bytes of node RPC, of the configuration service and of the VM list are the payload that `ss` shows for their TCP connections,
without connections that opened and closed between the two samples. All byte metrics are the sum of sent and received bytes per node,
without TCP, UDP and IP headers.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

TICKS = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT = 60
SETTLE_SECONDS = 4
SECRET = "only-for-this-measurement"


class Process:
    """A child process that prints a line `ready name=port ...` once it serves."""

    def __init__(self, work, name, arguments):
        self.out = work / f"{name}.out"
        with open(self.out, "wb") as out, open(work / f"{name}.log", "wb") as log:
            self.child = subprocess.Popen(arguments, stdout=out, stderr=log)

    def ports(self):
        end = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < end:
            for line in self.out.read_text().splitlines():
                if line.startswith("ready"):
                    return {key: int(port) for key, port in (word.split("=") for word in line.split()[1:])}
            if self.child.poll() is not None:
                break
            time.sleep(0.05)
        raise RuntimeError(f"{self.out} has no 'ready' line")

    def processor_seconds(self):
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory_bytes(self, field):
        for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        return 0

    def end(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()


def get(port, path, body=None, timeout=30):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("POST" if body is not None else "GET", path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def tcp_bytes():
    """Returns the payload bytes, sent plus received, of each TCP connection by (local port, remote port)."""
    text = subprocess.run(["ss", "-tinHO", "state", "established"], check=True, capture_output=True, text=True).stdout
    connections = {}
    for line in text.splitlines():
        words = line.split()
        ports = tuple(int(word.rsplit(":", 1)[1]) for word in words[2:4])
        connections[ports] = sum(int(count) for count in re.findall(r"bytes_(?:sent|received):(\d+)", line))
    return connections


def bytes_between(before, after, local_ports):
    """Returns the bytes transferred on the connections accepted by the servers at local_ports."""
    return sum(count - before.get(ports, 0) for ports, count in after.items() if ports[0] in local_ports)


class Fleet:
    """The nodes and stand-ins of one measurement; all are stopped when the context ends."""

    def __init__(self, build, nodes=3, adapters=100, upstreams=3, listed_servers=0, store_rate=1000000):
        self.build = pathlib.Path(build).resolve()
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="capacity"))
        self.processes = []
        self.adapters = adapters
        self.store_rate = store_rate
        self.change_number = 0
        # Each upstream needs an engine of its own: owners detect each other by the fencing tokens that an engine has seen.
        engines = [self.standin("engine", "--slots", "1000000", "--batch", "256", "--token-ms", "5") for _ in range(upstreams)]
        self.engines = [engine.ports()["port"] for engine in engines]
        self.service = self.standin("service").ports()["port"]
        self.write_catalog(upstreams)
        self.pack()
        self.vms = self.work / "vms.json"
        self.vms.write_text('{"vms":[]}')
        self.config = self.standin("config", "--dir", str(self.work / "values")).ports()["port"]
        self.vm_list = self.standin("vmlist", "--file", str(self.vms)).ports()["port"]
        self.nodes = [self.node(i) for i in range(nodes)]
        self.ports = [node.ports() for node in self.nodes]
        self.write_vms(listed_servers)
        self.wait_until_converged()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()
        shutil.rmtree(self.work)

    def start(self, name, *arguments):
        process = Process(self.work, f"{name}{len(self.processes)}", [str(argument) for argument in arguments])
        self.processes.append(process)
        return process

    def standin(self, *arguments):
        return self.start(arguments[0], self.build / "tests/standins/standin", *arguments)

    def node(self, number):
        ini = self.work / f"node{number}.ini"
        ini.write_text(f"""[node]
id = node{number}
zone = zone{number % 3}
[callers]
port = 0
[operator]
port = 0
[platform]
config_url = http://127.0.0.1:{self.config}
vm_list_url = http://127.0.0.1:{self.vm_list}/vms
[fleet]
secret = {SECRET}
[scheduling]
store_rate = {self.store_rate}
store_parallel = 10000
""")
        return self.start("node", self.build / "main/apricotstep", "node", "--settings", ini)

    def write_catalog(self, upstreams):
        lines = ["[adapters]"]
        lines += [f"adapter-of-shop-{i}@1 = shop=shop-{i}, track=stable, region=r{i % 5}" for i in range(self.adapters)]
        for i in range(upstreams):
            lines += [f"[upstream engine{i}]", f"address = 127.0.0.1:{self.engines[i]}", f"zone = zone{i % 3}", "slots = 8", "batch = 16"]
        lines += ["[upstream payments1]", "kind = service", f"address = 127.0.0.1:{self.service}", "[service payments]",
                  "upstreams = payments1"]
        self.catalog = self.work / "catalog.ini"
        self.catalog.write_text("\n".join(lines) + "\n")

    def pack(self):
        values = self.work / "values"
        previous = ["--previous", str(values)] if values.exists() else []
        subprocess.run([self.build / "main/apricotstep", "pack", "--in", self.catalog, "--out", values, *previous], check=True,
                       stdout=subprocess.DEVNULL)

    def change_catalog(self):
        """Publishes a configuration version that changes a label of one adapter."""
        self.change_number += 1
        lines = self.catalog.read_text().splitlines()
        lines[1] = f"adapter-of-shop-0@1 = shop=shop-0, track=stable, region=changed{self.change_number}"
        self.catalog.write_text("\n".join(lines) + "\n")
        self.pack()

    def write_vms(self, servers):
        vms = [{"id": f"node{i}", "role": "entry", "zone": f"zone{i % 3}", "caller_address": f"127.0.0.1:{ports['callers']}",
                "rpc_address": f"127.0.0.1:{ports['rpc']}", "membership_address": f"127.0.0.1:{ports['membership']}"}
               for i, ports in enumerate(self.ports)]
        vms += [{"id": f"server{i}", "role": "upstream", "zone": f"zone{i % 3}"} for i in range(servers)]
        temporary = self.work / "vms.new"
        temporary.write_text(json.dumps({"vms": vms}, separators=(",", ":")))
        temporary.rename(self.vms)

    def status(self, number):
        return json.loads(get(self.ports[number]["operators"], "/status")[1])

    def wait_until_converged(self):
        """Waits until each node sees all nodes and has a configuration."""
        end = time.monotonic() + READY_TIMEOUT
        for number in range(len(self.nodes)):
            while True:
                status = self.status(number)
                if len(status["nodes"]) == len(self.nodes) and status["config_version"] > 0:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(f"node{number} does not see all nodes")
                time.sleep(0.1)

    def config_calls(self):
        return json.loads(get(self.config, "/control")[1])["calls"]

    def sample(self):
        membership = [self.status(i)["membership"] for i in range(len(self.nodes))]
        return {"at": time.monotonic(), "processor": sum(node.processor_seconds() for node in self.nodes),
                "bytes": sum(counters["bytes_sent"] + counters["bytes_received"] for counters in membership),
                "suspicions": sum(counters["suspicions"] for counters in membership), "calls": self.config_calls(),
                "tcp": tcp_bytes()}

    def measure(self, seconds, during=None):
        time.sleep(SETTLE_SECONDS)
        before = self.sample()
        if during is None:
            time.sleep(seconds)
        else:
            during(seconds)
        after = self.sample()
        spent = after["at"] - before["at"]
        count = len(self.nodes)

        def tcp(ports):
            return bytes_between(before["tcp"], after["tcp"], ports) / spent / count

        return {
            "core": 100 * (after["processor"] - before["processor"]) / spent / count,
            "resident": sum(node.memory_bytes("VmRSS") for node in self.nodes) / count / 1e6,
            "anonymous": sum(node.memory_bytes("RssAnon") for node in self.nodes) / count / 1e6,
            "peak": sum(node.memory_bytes("VmHWM") for node in self.nodes) / count / 1e6,
            "membership": (after["bytes"] - before["bytes"]) / spent / count,
            "rpc": 2 * tcp([ports["rpc"] for ports in self.ports]),  # Both ends of a connection are nodes.
            "configuration": tcp([self.config]),
            "vm_list": tcp([self.vm_list]),
            "config_calls": (after["calls"] - before["calls"]) / spent,
            "suspicions": after["suspicions"] - before["suspicions"],
        }


UNITS = {"core": "%_of_a_core", "resident": "MB", "anonymous": "MB", "peak": "MB", "membership": "B/s", "rpc": "B/s", "configuration": "B/s",
         "vm_list": "B/s", "config_calls": "calls/s_of_the_fleet",
         "suspicions": "count_in_the_fleet"}


def print_value(name, value, unit):
    print(f"{name} {value:.4g} {unit}", flush=True)


def print_point(part, size, metrics):
    for name, value in metrics.items():
        print_value(f"{part}.{size}.{name}", value, UNITS.get(name, ""))


def print_slopes(part, points, unit, names=("core", "resident", "anonymous", "peak", "membership", "rpc", "configuration", "vm_list")):
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 2:
        return
    mean_size = sum(sizes) / len(sizes)
    squared_deviation = sum((size - mean_size) ** 2 for size in sizes)
    for name in names:
        values = [metrics[name] for _, metrics in points]
        mean = sum(values) / len(values)
        slope = sum((size - mean_size) * (value - mean) for size, value in zip(sizes, values)) / squared_deviation
        print_value(f"{part}.slope.{name}", slope, f"{UNITS[name]}_a_{unit}")
        print_value(f"{part}.at_zero.{name}", mean - slope * mean_size, UNITS[name])


def measure_sizes(part, sizes, unit, run):
    points = []
    for size in sizes:
        metrics = run(size)
        print_point(part, size, metrics)
        points.append((size, metrics))
    print_slopes(part, points, unit)


def completion(port, number, tokens, stream=False):
    body = json.dumps({"model": f"adapter-of-shop-{number}", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": "how long does the broth simmer?"}]})
    status, _ = get(port, "/v1/chat/completions", body)
    return status == 200


def load_adapters(fleet, count):
    """Sends one short request for each of many adapters, so that the nodes create the state that they keep for an owned engine.

    Returns the number of successful requests.
    """
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        done = list(pool.map(lambda i: completion(fleet.ports[i % len(fleet.ports)]["callers"], i, 1), range(count)))
    return sum(done)


def run_at_rate(rate, call):
    """Returns a counter and a function that makes calls at a constant rate, up to 32 at once, and counts all and the failed ones."""
    counts = {"calls": 0, "failed": 0}

    def during(seconds):
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            start = time.monotonic()
            calls = []
            for number in range(int(rate * seconds)):
                time.sleep(max(0.0, start + number / rate - time.monotonic()))
                calls.append(pool.submit(call, number))
            counts["calls"] = len(calls)
            counts["failed"] = sum(not done.result() for done in calls)

    return counts, during


def part_nodes(options):
    def run(size):
        with Fleet(options.build, nodes=size) as fleet:
            return fleet.measure(options.seconds)
    measure_sizes("nodes", options.nodes, "node", run)


def part_list(options):
    def run(size):
        with Fleet(options.build, listed_servers=size) as fleet:
            metrics = fleet.measure(options.seconds)
            print_value(f"list.{size}.bytes", fleet.vms.stat().st_size, "B_a_read")
            return metrics
    measure_sizes("list", [0, 1000, 12000], "listed_server", run)


def part_adapters(options):
    def run(size):
        with Fleet(options.build, adapters=size) as fleet:
            return fleet.measure(options.seconds)
    measure_sizes("adapters", [1000, 10000, 130000], "adapter", run)


def part_upstreams(options):
    def run(size):
        with Fleet(options.build, adapters=3 * size, upstreams=size) as fleet:
            answered = load_adapters(fleet, 3 * size)
            print_value(f"upstreams.{size}.woken_by", answered, "requests")
            metrics = fleet.measure(options.seconds)
            owned = sum(len(fleet.status(i)["engines"]) for i in range(len(fleet.nodes))) / len(fleet.nodes)
            print_value(f"upstreams.{size}.owned", owned, "engines_a_node")
            points.append((owned, metrics))
            return metrics
    points = []
    for size in [10, 50, 150]:
        print_point("upstreams", size, run(size))
    print_slopes("upstreams", points, "owned_engine")


def part_changes(options):
    for adapters in [1000, 130000]:
        def run(a_minute, adapters=adapters):
            with Fleet(options.build, nodes=6, adapters=adapters) as fleet:
                if a_minute == 0:
                    return fleet.measure(options.seconds)

                def publish(_):
                    fleet.change_catalog()
                    return True
                counts, during = run_at_rate(a_minute / 60, publish)
                metrics = fleet.measure(options.seconds, during)
                print_value(f"changes{adapters}.{a_minute}.published", counts["calls"], "changes")
                return metrics
        measure_sizes(f"changes{adapters}", [0, 12, 30] if adapters > 10000 else [0, 12, 60], "change_a_minute", run)


def part_requests(options):
    calls = {
        "address": lambda fleet: lambda i: get(fleet.ports[0]["callers"], f"/v1/address?model=adapter-of-shop-{i % 50}")[0] == 200,
        "short": lambda fleet: lambda i: completion(fleet.ports[0]["callers"], i % 50, 2),
        "stream100": lambda fleet: lambda i: completion(fleet.ports[0]["callers"], i % 50, 100, stream=True),
    }
    for name, make in calls.items():
        def run(rate, make=make, name=name):
            with Fleet(options.build, nodes=1) as fleet:
                load_adapters(fleet, 50)
                if rate == 0:
                    return fleet.measure(options.seconds)
                counts, during = run_at_rate(rate, make(fleet))
                metrics = fleet.measure(options.seconds, during)
                print_value(f"{name}.{rate}.calls", counts["calls"], "calls")
                print_value(f"{name}.{rate}.failed", counts["failed"], "calls")
                return metrics
        measure_sizes(name, [0, 10, 30], "request_a_second", run)


def part_forwards(options):
    """Measures direct and forwarded requests. Node 0 owns the only engine.

    Slopes are means over two nodes: the total cost of a request on both nodes is twice the slope.
    """
    for name, receiver in {"direct": 0, "forwarded": 1}.items():
        def run(rate, receiver=receiver, name=name):
            with Fleet(options.build, nodes=2, upstreams=1) as fleet:
                load_adapters(fleet, 50)
                if rate == 0:
                    return fleet.measure(options.seconds)
                counts, during = run_at_rate(rate, lambda i: completion(fleet.ports[receiver]["callers"], i % 50, 2))
                metrics = fleet.measure(options.seconds, during)
                print_value(f"{name}.{rate}.failed", counts["failed"], "calls")
                return metrics
        measure_sizes(name, [0, 10, 30], "request_a_second", run)


def part_keys(options):
    """Measures the memory of the one-time requests that a node keeps in its ledger."""
    def once(fleet, number):
        port = fleet.ports[0]["callers"]
        key = json.loads(get(port, "/v1/keys", "")[1])["idempotency_key"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        try:
            connection.request("POST", "/svc/payments/enrol", json.dumps({"amount": number}), {"Idempotency-Key": key})
            response = connection.getresponse()
            response.read()
            return response.status == 200
        finally:
            connection.close()

    def run(count):
        with Fleet(options.build, nodes=1) as fleet:
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                done = sum(pool.map(lambda i: once(fleet, i), range(count)))
            print_value(f"keys.{count}.answered", done, "requests")
            metrics = fleet.measure(options.seconds)
            print_value(f"keys.{count}.remembered", fleet.status(0)["ledger_entries"], "entries")
            return metrics
    measure_sizes("keys", [0, 2000, 10000], "remembered_request", run)


def part_report(options):
    """Measures the size of an engine's load report as an owner reads it: HTTP with headers, without TCP and IP headers."""
    with Fleet(options.build, upstreams=1) as fleet:
        load_adapters(fleet, 24)
        before = tcp_bytes()
        connection = http.client.HTTPConnection("127.0.0.1", fleet.engines[0])
        for _ in range(100):
            connection.request("GET", "/v1/load_report")
            body = connection.getresponse().read()
        local = connection.sock.getsockname()[1]
        spent = bytes_between(before, {ports: count for ports, count in tcp_bytes().items() if ports[1] == local}, [fleet.engines[0]])
        connection.close()
        print_value("report.loaded", len(json.loads(body)["loaded"]), "adapters")
        print_value("report.bytes", spent / 100, "B_a_read")


def part_permits(options):
    """Measures the cost of load permits while adapters are loaded at nearly the rate of the weight store, 2 per second for the fleet."""
    with Fleet(options.build, nodes=6, upstreams=30, adapters=2000, store_rate=200) as fleet:
        idle = fleet.measure(options.seconds)
        counts, during = run_at_rate(1.8, lambda i: completion(fleet.ports[i % 6]["callers"], i, 1))
        metrics = fleet.measure(options.seconds, during)
        print_value("permits.calls", counts["calls"], "calls")
        print_value("permits.failed", counts["failed"], "calls")
        print_point("permits", "idle", idle)
        print_point("permits", "waking", metrics)


PARTS = {"nodes": part_nodes, "list": part_list, "adapters": part_adapters, "upstreams": part_upstreams, "changes": part_changes,
         "requests": part_requests, "forwards": part_forwards, "keys": part_keys, "permits": part_permits, "report": part_report}


def main():
    parser = argparse.ArgumentParser(description="Measures the resource usage of a node while one quantity grows.")
    parser.add_argument("build")
    parser.add_argument("--part", default=",".join(PARTS), help="comma-separated: " + ", ".join(PARTS))
    parser.add_argument("--seconds", type=float, default=10, help="duration of each measurement, at most 15")
    parser.add_argument("--nodes", default="3,10,20,40", help="fleet sizes of the part nodes, at most 60")
    options = parser.parse_args()
    # Without this handler the nodes would keep running after the benchmark is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    options.seconds = min(options.seconds, 15)
    options.nodes = [min(int(size), 60) for size in options.nodes.split(",")]
    for part in options.part.split(","):
        PARTS[part](options)


if __name__ == "__main__":
    main()
