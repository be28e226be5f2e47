"""Finding the connection that went silent while fresh ones work."""

import collections

MIN_OVERTAKEN = 8
MIN_AGE_MS = 500
SLOW_FACTOR = 6


class SilentConnectionDetector:
    """Watches the requests that wait on one target's connections.

    Something between the two ends may lose track of a connection: nothing
    comes back on it and no error is told, while new connections work. A
    request is taken for lost to such a silence when it has waited far longer
    than others take and enough requests sent after it were answered. A slow
    target overtakes nothing by much, so it is not mistaken for one.
    """

    __slots__ = ("sent", "overtaken_by", "recent_ms")

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.overtaken_by: dict[int, int] = {}
        self.recent_ms: collections.deque[int] = collections.deque(maxlen=64)

    def sent_at(self, request_id: int, now_ms: int) -> None:
        """Note a request put on a connection."""
        self.sent[request_id] = now_ms
        self.overtaken_by[request_id] = 0

    def answered(self, request_id: int, now_ms: int) -> None:
        """Note an answer: it overtook everything sent before it."""
        sent_ms = self.sent.pop(request_id, None)
        self.overtaken_by.pop(request_id, None)
        if sent_ms is None:
            return
        self.recent_ms.append(now_ms - sent_ms)
        for other, other_sent_ms in self.sent.items():
            if other_sent_ms >= sent_ms:
                break
            self.overtaken_by[other] += 1

    def dropped(self, request_id: int) -> None:
        """Note a request that no longer waits."""
        self.sent.pop(request_id, None)
        self.overtaken_by.pop(request_id, None)

    def silent(self, now_ms: int) -> list[int]:
        """Return the requests whose connections are taken for silent."""
        if not self.recent_ms:
            return []
        threshold_ms = max(SLOW_FACTOR * max(self.recent_ms), MIN_AGE_MS)
        silent_ids = []
        for request_id, sent_ms in self.sent.items():
            if now_ms - sent_ms < threshold_ms:
                break
            if self.overtaken_by[request_id] >= MIN_OVERTAKEN:
                silent_ids.append(request_id)
        return silent_ids
