"""The rate limit that a target in need names in its answers."""

from . import notices


class NamedLimit:
    """The limit that a target names, in the order in which it named it.

    Answers to concurrent requests arrive out of order. A lower limit applies
    at once. A higher one, or none, applies only if its request was sent after
    the limit in force was heard; otherwise the answer may be older than that
    limit, and would let requests through that the target cannot take.
    """

    __slots__ = ("per_s", "heard_ms", "since_ms")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.heard_ms = 0
        self.since_ms = 0

    def hear(self, notice: notices.Notice, sent_ms: int, now_ms: int) -> bool:
        """Record what an answer states; return whether the limit changed.

        Args:
            notice: The statements in the answer.
            sent_ms: When its request was sent to the target.
            now_ms: The time on the runtime's clock.
        """
        if notice.malformed_limit:
            return False
        named = notice.limit_per_s
        lowers = named is not None and (
            self.per_s is None or named <= self.per_s
        )
        if not lowers and sent_ms < self.heard_ms:
            return False
        changed = named != self.per_s
        if changed:
            self.since_ms = now_ms
        if named is not None or changed:
            self.heard_ms = now_ms
        self.per_s = named
        return changed
