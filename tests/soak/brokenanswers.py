"""Broken answers: heads and chunks that no reader may take for an answer, with bodies that are not the server's."""

from faultyanswers import FaultyAnswers

BODY = b"not the server's"


def broken_answers(fields):
    """Returns answers by kind. Each holds the header lines of a proper one, so that nothing but what is broken tells it apart."""
    status = b"HTTP/1.1 200 X\r\n"
    length = b"Content-Length: %d\r\n" % len(BODY)
    chunked = b"Transfer-Encoding: chunked\r\n"

    def whole(first=status, lines=length, body=BODY):
        return first + fields + lines + b"\r\n" + body

    return {
        "fold": status + b" X-Fold: 1\r\n" + fields + length + b"\r\n" + BODY,
        "fold_in_interim": b"HTTP/1.1 103 X\r\n X-Fold: 1\r\n\r\n" + whole(),
        "fold_after_interim": b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + status + b"\tX-Fold: 1\r\n" + fields + length + b"\r\n" + BODY,
        "no_field": whole(lines=b"no field\r\n" + length),
        "no_name": whole(lines=b": x\r\n" + length),
        "blank_in_name": whole(lines=b"X Blank: 1\r\n" + length),
        "control_in_name": whole(lines=b"X-\x01: 1\r\n" + length),
        "bare_cr": whole(lines=b"X-Cr: a\rb\r\n" + length),
        "length_with_letter": whole(lines=b"Content-Length: 10x\r\n"),
        "length_with_sign": whole(lines=b"Content-Length: +%d\r\n" % len(BODY)),
        "two_lengths": whole(lines=length + b"Content-Length: 380\r\n"),
        "length_before_blank": whole(lines=b"Content-Length : %d\r\n" % len(BODY)),
        "coding_before_blank": whole(lines=b"Transfer-Encoding : chunked\r\n", body=b"10\r\n" + BODY + b"\r\n0\r\n\r\n"),
        "two_codings": whole(lines=b"Transfer-Encoding: chunked, identity\r\n", body=b"10\r\n" + BODY + b"\r\n0\r\n\r\n"),
        "length_and_coding": whole(lines=chunked + b"Content-Length: 380\r\n", body=b"10\r\n" + BODY + b"\r\n0\r\n\r\n"),
        "chunk_size": whole(lines=chunked, body=b"10x\r\n" + BODY + b"\r\n0\r\n\r\n"),
        "status_000": whole(first=b"HTTP/1.1 000 X\r\n"),
        "status_600": whole(first=b"HTTP/1.1 600 X\r\n"),
        "status_line": whole(first=b"HTTP/1.1 200x\r\n"),
        # A promise that it has not run, although it has.
        "not_run": b"HTTP/1.1 503 X\r\nApricotstep-Not-Run: 1\r\n" + fields + b"Content-Length: 0x\r\n\r\n",
    }


class BrokenAnswers(FaultyAnswers):
    """The broken answers of one server."""

    async def send(self, writer, head):
        """Sends one on a connection that is closed then."""
        fields = b"".join(f"{name}: {value}\r\n".encode() for name, value in head.items())
        kinds = broken_answers(fields)
        name = self._cluster.random.choice(sorted(kinds))
        self._cluster.broken_counts[name] = self._cluster.broken_counts.get(name, 0) + 1
        writer = getattr(writer, "unrecorded", writer)
        writer.write(kinds[name])
        await writer.drain()
        return False
