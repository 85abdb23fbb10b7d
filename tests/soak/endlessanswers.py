"""Answers without end: heads, bodies and events that an upstream goes on sending until its connection is closed."""

from faultyanswers import FaultyAnswers

# More than a node may read of such an answer, and the buffers on the way hold.
MAX_BYTES = 64 << 20
BLOCK_BYTES = 64 << 10
# What a node may hold beyond what it needs without such answers.
MEMORY_BOUND_KB = 64 << 10


def peak_memory_kb(process_id):
    """The most memory that a process has held, or None if it has ended."""
    try:
        with open(f"/proc/{process_id}/status", encoding="ascii") as status:
            return next((int(line.split()[1]) for line in status if line.startswith("VmHWM:")), None)
    except (FileNotFoundError, ProcessLookupError):
        return None


class EndlessAnswers(FaultyAnswers):
    """The endless answers of one upstream."""

    async def send(self, writer, head, is_stream):
        lines = ["HTTP/1.1 200 X"] + [f"{name}: {value}" for name, value in head.items()]
        text = "\r\n".join(lines).encode() + b"\r\n"
        chunk = b"%x\r\n%s\r\n" % (4000, b"x" * 4000)
        event = text + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + b"6\r\ndata: \r\n"
        kinds = {"garbage": (b"", b"x"), "head": (text, b"X-More: x\r\n"), "interim": (b"", b"HTTP/1.1 102 X\r\n\r\n"),
                 "body": (text + b"\r\n", b"x"), "chunks": (text + b"Transfer-Encoding: chunked\r\n\r\n", chunk)}
        if is_stream:
            kinds = {"garbage": kinds["garbage"], "head": kinds["head"], "event": (event, chunk)}
        writer = writer.unrecorded
        name = self._cluster.random.choice(sorted(kinds))
        beginning, repeated = kinds[name]
        block = repeated * (BLOCK_BYTES // len(repeated) + 1)
        self._cluster.endless_counts[name] = self._cluster.endless_counts.get(name, 0) + 1
        writer.write(beginning)
        sent = 0
        try:
            while sent < MAX_BYTES:
                writer.write(block)
                sent += len(block)
                await writer.drain()
        except OSError:
            return
        self._cluster.fail("ENDLESS", f"an answer without end ({name}) was read for {sent >> 20} MB")
