"""What the faults have in common that a server shows in a share of its answers."""


class FaultyAnswers:
    """The faulty answers of one server, which sends them while the share is above 0."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.share = 0.0

    def is_next(self):
        return self.share > 0 and self._cluster.random.random() < self.share
