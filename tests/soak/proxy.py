"""A loopback TCP proxy that can delay, reset, stall or block one direction of its connections while they are in use."""

import asyncio

PASS, DELAY, HANG, CUT_UP, CUT_DOWN = "pass", "delay", "silent", "cut_up", "cut_down"
MODES = (DELAY, HANG, CUT_UP, CUT_DOWN)


class Proxy:
    """Listens on one address and forwards to another. A change of mode affects open and new connections."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.mode = PASS
        self.delay_s = 0.0
        self._writers = set()
        self._server = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._on_connection, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def close_port(self):
        """Refuses new connections until open_port(), and resets the open ones: the process behind the address has ended."""
        self._server.close()
        self.reset_all()

    async def open_port(self):
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._on_connection, host, int(port))

    def reset_all(self):
        """Resets every open connection on both sides."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        self._writers.add(writer)
        other = None
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await asyncio.gather(self._pump(reader, other, CUT_UP), self._pump(other_reader, writer, CUT_DOWN))
        except OSError:
            writer.transport.abort()
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(self, reader, writer, cut):
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            # Holds the data back instead of dropping it, because TCP would retransmit it until the link recovers.
            while self.mode in (HANG, cut):
                await asyncio.sleep(0.02)
            if self.mode == DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                if not writer.is_closing():
                    try:
                        writer.write_eof()
                    except OSError:
                        pass  # The other direction has already closed the connection.
                return
            if writer.is_closing():
                return
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                return
