"""Late second answers: an upstream sends a copy of an earlier answer at the point where it is due to answer the next request."""

ID_LINE = b"apricotstep-request-id:"


class RecordingWriter:
    """Passes everything on to a connection, and keeps the bytes of the answer in progress."""

    def __init__(self, writer):
        self._writer = writer
        self.answer = b""

    def write(self, data):
        self.answer += data
        self._writer.write(data)

    async def drain(self):
        await self._writer.drain()

    @property
    def unrecorded(self):
        return self._writer

    @property
    def transport(self):
        return self._writer.transport


class LateAnswers:
    """The late second answers of one upstream, which sends them while the share is above 0."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.share = 0.0
        # The share of the copies that do not name their request.
        self.share_without_id = 0.0

    def copy_of(self, answer):
        """Returns the copy to send before the next answer on the connection, or nothing. To be called when the answer is complete."""
        if not answer or self._cluster.random.random() >= self.share:
            return b""
        head, separator, body = answer.partition(b"\r\n\r\n")
        if self._cluster.random.random() < self.share_without_id:
            lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(ID_LINE)]
            head = b"\r\n".join(lines)
        return head + separator + body

    def on_sent(self, earlier, request):
        """A copy of the answer to the earlier request was sent in the turn of this one."""
        counts = self._cluster.late_answer_counts
        counts["sent"] += 1
        counts["same_request"] += bool(request.header("apricotstep-request-id")) \
            and earlier.header("apricotstep-request-id") == request.header("apricotstep-request-id")
