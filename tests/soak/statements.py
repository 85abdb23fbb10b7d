"""What stand-in upstreams state about themselves in their answers, and whether nodes keep it."""

import time

LIMIT_WINDOW_S = 4.0
LIMIT_OVERRUN = 0.5
LIMIT_EXTRA = 5
# A limit binds from this long after it was first stated.
CONTACT_S = 3.0
# A statement binds a node from this long after the node was told, and a rest from this long after the refusal.
TOLD_S = 0.5
MAX_REQUESTS_IN_REST = 2
# A node sends no request that its caller sent later than this after the node was told that the upstream leaves.
LEAVING_BOUND_S = 2.0


class Statements:
    """The statements of one upstream. A node that was disturbed since it was told is excused until it is told again."""

    def __init__(self, cluster, upstream):
        self.cluster = cluster
        self.upstream = upstream
        self.is_leaving = False
        self.rest_s = 0.0
        self.limit = None
        self._limit_since = 0.0
        self._told_limit = {}
        self._told_leaving = {}
        # By node: when it was asked for rest, the end of the rest, and the requests in it.
        self._rests = {}
        self._arrivals = []

    def set_limit(self, limit):
        self.limit = limit
        self._limit_since = time.monotonic()
        self._told_limit.clear()
        self._arrivals.clear()

    def _is_bound(self, node, told_at, now):
        return told_at is not None and now - told_at >= TOLD_S and node.undisturbed_since < told_at and not node.is_paused

    def _tell(self, told, node, now):
        if self.cluster.passes_answers(self.upstream) and told.get(node, 0.0) <= node.undisturbed_since:
            told[node] = now

    def check_arrival(self, request_id):
        """To be called for each request that arrives, before it is answered."""
        now = time.monotonic()
        node, sent_at = self.cluster.sender(request_id)
        if node is None:
            return
        if self.limit is not None and self._is_bound(node, self._told_limit.get(node), now) and now - self._limit_since > CONTACT_S:
            self._arrivals = [at for at in self._arrivals if now - at < LIMIT_WINDOW_S] + [now]
            allowed = int(self.limit * LIMIT_WINDOW_S * (1 + LIMIT_OVERRUN)) + LIMIT_EXTRA
            if len(self._arrivals) > allowed:
                self.cluster.fail("NEED", f"{self.upstream.name} limits requests to {self.limit:.1f} a second and got "
                                          f"{len(self._arrivals)} in {LIMIT_WINDOW_S:.0f} s, allowed are {allowed}")
        told_at = self._told_leaving.get(node)
        if self.is_leaving and self._is_bound(node, told_at, now) and sent_at > told_at + LEAVING_BOUND_S:
            self.cluster.fail("DRAIN", f"{request_id} reached {self.upstream.name} from {node.name}, which had been told that it leaves")
        rest = self._rests.get(node)
        if rest is not None and self._is_bound(node, rest[0], now) and now < rest[1]:
            rest[2] += 1
            if rest[2] > MAX_REQUESTS_IN_REST:
                self.cluster.fail("NEED", f"{self.upstream.name} asked {node.name} for rest and got {rest[2]} requests from it in that time")

    def refuses(self):
        return self.rest_s > 0

    def headers(self, request_id):
        """The statements for the answer to a request, which counts as told."""
        now = time.monotonic()
        node, _ = self.cluster.sender(request_id)
        headers = {}
        if self.limit is not None:
            headers["Server-Limit"] = f"{self.limit:.2f}"
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.rest_s > 0:
            headers["Retry-After"] = f"{self.rest_s:.1f}"
        if node is None:
            return headers
        if self.limit is not None:
            self._tell(self._told_limit, node, now)
        if self.is_leaving:
            self._tell(self._told_leaving, node, now)
        if self.rest_s > 0 and self.cluster.passes_answers(self.upstream):
            rest = self._rests.get(node)
            if rest is None or rest[1] <= now or rest[0] <= node.undisturbed_since:
                self._rests[node] = [now, now + self.rest_s, 0]
        return headers
