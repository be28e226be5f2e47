"""Finding the connection that went silent while fresh ones work."""

import collections

OVERTAKEN = 8
LEAST_AGE_MS = 500
SLOW_FACTOR = 6


class SilenceWatch:
    """Watches the requests that wait on one target's connections.

    Something between the two ends may lose track of a connection: nothing
    comes back on it and no error is told, while new connections work. A
    request is taken for lost to such a silence when it has waited far longer
    than others take and enough requests sent after it were answered. A slow
    target overtakes nothing by much, so it is not mistaken for one.
    """

    __slots__ = ("sent", "overtaken", "recent")

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.overtaken: dict[int, int] = {}
        self.recent: collections.deque[int] = collections.deque(maxlen=64)

    def sent_at(self, request_id: int, now_ms: int) -> None:
        """Note a request put on a connection."""
        self.sent[request_id] = now_ms
        self.overtaken[request_id] = 0

    def answered(self, request_id: int, now_ms: int) -> None:
        """Note an answer: it overtook everything sent before it."""
        sent_ms = self.sent.pop(request_id, None)
        self.overtaken.pop(request_id, None)
        if sent_ms is None:
            return
        self.recent.append(now_ms - sent_ms)
        for other, other_ms in self.sent.items():
            if other_ms >= sent_ms:
                break
            self.overtaken[other] += 1

    def dropped(self, request_id: int) -> None:
        """Note a request that no longer waits."""
        self.sent.pop(request_id, None)
        self.overtaken.pop(request_id, None)

    def silent(self, now_ms: int) -> list[int]:
        """Return the requests whose connections are taken for silent."""
        if not self.recent:
            return []
        bound_ms = max(SLOW_FACTOR * max(self.recent), LEAST_AGE_MS)
        found = []
        for request_id, sent_ms in self.sent.items():
            if now_ms - sent_ms < bound_ms:
                break
            if self.overtaken[request_id] >= OVERTAKEN:
                found.append(request_id)
        return found
