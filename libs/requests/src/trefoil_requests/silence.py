"""Detection of connections that may have stopped delivering answers.

New connections to the same target may work meanwhile.
"""

import collections

MIN_OVERTAKEN = 8
MIN_AGE_MS = 500
SLOW_FACTOR = 6


class SilentConnectionDetector:
    """Tracks the requests that wait on the connections to one target.

    A device between the two ends may lose its state of a connection: no data
    arrives on it and no error is reported, while new connections work. The
    connection of a request may be silent when the request has waited far
    longer than others take and enough requests sent after it were answered.
    On a slow target few later requests are answered first, so it is not
    mistaken for a silent connection. A request that takes long beside short
    ones is, so this is never a reason to end a request.
    """

    __slots__ = ("sent", "overtaken_by", "recent_ms")

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.overtaken_by: dict[int, int] = {}
        self.recent_ms: collections.deque[int] = collections.deque(maxlen=64)

    def sent_at(self, request_id: int, now_ms: int) -> None:
        """Record that a request was sent on a connection."""
        self.sent[request_id] = now_ms
        self.overtaken_by[request_id] = 0

    def answered(self, request_id: int, now_ms: int) -> None:
        """Record an answer, which overtook all requests sent before it."""
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
        """Remove a request that no longer waits for an answer."""
        self.sent.pop(request_id, None)
        self.overtaken_by.pop(request_id, None)

    def silent(self, now_ms: int) -> list[int]:
        """Return the ids of requests whose connections may be silent."""
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
