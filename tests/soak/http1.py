"""A small HTTP/1.1 server and client on asyncio that exposes connections, raw bytes and early closes to the soak test."""

import asyncio

import lateanswers


class Request:
    """A received request; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name, default)


class Response:
    """What a client received. The status is 0 without a response head; complete means that all bytes announced by the head arrived."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        # The whole request was written to the connection.
        self.is_sent = False


async def read_head(reader):
    """Returns the first line and the headers, or None if the connection closes before they are complete."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    """Reads a body with a content length or in chunks. Raises IncompleteReadError if it ends early."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(chunk[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


async def serve(host, port, handle, late_answers=None):
    """Starts a server. handle(request, writer) responds to one request and returns whether the connection stays open."""

    async def on_connection(reader, writer):
        earlier, late_copy = None, b""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                request = Request(method, target, head[1], await read_body(reader, head[1]))
                if late_copy:
                    writer.write(late_copy)
                    late_answers.on_sent(earlier, request)
                used = writer if late_answers is None else lateanswers.RecordingWriter(writer)
                if not await handle(request, used):
                    break
                if late_answers is not None:
                    earlier, late_copy = request, late_answers.copy_of(used.answer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass  # The peer closed the connection; the soak checks what was sent.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20)


def respond(writer, status, body=b"", headers=None):
    """Writes a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


class Connection:
    """A client's connection, which is kept for further requests as long as the server allows it."""

    def __init__(self, address):
        self.address = address
        self.is_open = False
        # Requests that were answered on it.
        self.answered = 0
        self._reader = None
        self._writer = None

    async def call(self, method, target, headers, body=b"", timeout=10.0, connect_timeout=1.0, closes_sending_side=False):
        """Sends one request and returns the response. The connection is closed if it cannot be used again."""
        response = Response()
        try:
            if not self.is_open:
                host, port = self.address.rsplit(":", 1)
                self._reader, self._writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 20), connect_timeout)
                self.is_open = True
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await self._writer.drain()
            if closes_sending_side:
                self._writer.write_eof()
            response.is_sent = True
            await asyncio.wait_for(receive(self._reader, response), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            response.error = type(error).__name__
        if response.is_complete:
            self.answered += 1
        if not response.is_complete or response.headers.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self):
        self.is_open = False
        if self._writer is not None:
            self._writer.close()


async def receive(reader, response):
    head = await read_head(reader)
    while head is not None and head[0].split(" ")[1].startswith("1"):
        head = await read_head(reader)  # The final answer follows an interim one.
    if head is None:
        response.error = "closed"
        return
    response.status = int(head[0].split(" ")[1])
    response.headers = head[1]
    response.body = await read_body(reader, head[1], is_response=True)
    response.is_complete = "content-length" in head[1] or "chunked" in head[1].get("transfer-encoding", "")
