"""A small HTTP/1.1 server and client on asyncio for the stand-ins of the cases."""

import asyncio


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


async def read_head(reader):
    """Returns the words of the first line and the headers, or None if the connection ends before."""
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
    return lines[0].split(" ", 2), headers


async def read_chunk(reader):
    """Returns the next chunk; empty at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
    chunk = await reader.readexactly(size + 2)
    return chunk[:-2]


async def read_body(reader, headers, ends_with_connection=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if ends_with_connection else b""


def head(first_line, headers):
    return "\r\n".join([first_line] + [f"{name}: {value}" for name, value in headers.items()]).encode("latin-1") + b"\r\n\r\n"


def answer(writer, status, body=b"", headers=None):
    """Writes a complete answer."""
    writer.write(head(f"HTTP/1.1 {status} X", {"Content-Length": len(body), **(headers or {})}) + body)


async def serve(host, port, handle, on_open=None):
    """Starts a server. handle(request, reader, writer) answers one request and returns whether the connection stays open."""

    async def on_connection(reader, writer):
        if on_open is not None:
            on_open(writer)
        try:
            while True:
                received = await read_head(reader)
                if received is None:
                    break
                (method, target, _), headers = received
                request = Request(method, target, headers, await read_body(reader, headers))
                if not await handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass  # The peer closed the connection; what it had sent is on record.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20)


class Response:
    """What a client received. Without a head the status is 0; complete: all that the head announced has arrived."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


async def call(address, method, target, headers, body=b"", timeout=10.0, connect_timeout=1.0, on_part=None):
    """Sends one request on a new connection and returns the response."""
    response = Response()
    writer = None
    try:
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 20), connect_timeout)
        writer.write(head(f"{method} {target} HTTP/1.1", {"Content-Length": len(body), **headers}) + body)
        await asyncio.wait_for(receive(reader, response, on_part), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        response.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return response


async def receive(reader, response, on_part=None):
    received = await read_head(reader)
    while received is not None and received[0][1].startswith("1"):
        received = await read_head(reader)
    if received is None:
        response.error = "closed"
        return
    response.status = int(received[0][1])
    response.headers = received[1]
    if on_part is not None and "chunked" in response.headers.get("transfer-encoding", "").lower():
        while chunk := await read_chunk(reader):
            response.body += chunk
            on_part(chunk)
    else:
        response.body = await read_body(reader, response.headers, True)
    response.is_complete = True
