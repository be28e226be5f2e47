"""Log lines on the load of a target's slots and of its host's link.

A target refuses requests when its slots, its queue or the link of its host
is full. Without these lines operators cannot distinguish the three cases.
"""

import collections
import dataclasses

from trefoil_model import effects as common

REPORT_INTERVAL_MS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Moment:
    """Load of a target and of its host's link at one moment.

    Args:
        slots: Number of slots of the target.
        running: Number of requests that the target runs.
        queued: Number of requests that wait for a slot.
        bodies: Number of large bodies that wait for the link or use it.
        body_wait_ms: Time that a further large body would wait for the link.
    """

    slots: int
    running: int
    queued: int
    bodies: int
    body_wait_ms: int


class Occupancy:
    """Load of one target since its last log line.

    Args:
        target: Name of the target.
    """

    __slots__ = ("target", "moments", "refused", "bodies_ms", "next_report_ms")

    def __init__(self, target: str) -> None:
        self.target = target
        self.moments: list[Moment] = []
        self.refused: collections.Counter[str] = collections.Counter()
        self.bodies_ms: list[int] = []
        self.next_report_ms = 0

    def refuse(self, why: str) -> None:
        """Count a refusal by its reason."""
        self.refused[why] += 1

    def body_came(self, took_ms: int) -> None:
        """Record how long a body took, including its wait for the link."""
        self.bodies_ms.append(took_ms)

    def tell(self, moment: Moment, now_ms: int) -> list[common.Note]:
        """Add a sample; return a log line at most once a second.

        No line is returned for a target that neither refused a request nor
        received or waits for a large body since the last interval.
        """
        self.moments.append(moment)
        if now_ms < self.next_report_ms:
            return []
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS
        has_content = self.refused or self.bodies_ms or moment.bodies
        lines = [self._line()] if has_content else []
        self.moments = [moment]
        self.refused.clear()
        self.bodies_ms.clear()
        return lines

    def _line(self) -> common.Note:
        return common.Note(
            "target.load",
            {
                "target": self.target,
                "slots": self.moments[-1].slots,
                "running": self._mean("running"),
                "queued": self._mean("queued"),
                "bodies": self._mean("bodies"),
                "body_wait_ms": max(m.body_wait_ms for m in self.moments),
                "bodies_came": len(self.bodies_ms),
                "body_took_ms": max(self.bodies_ms, default=0),
                "refused": sum(self.refused.values()),
                "why": self._reasons(),
            },
        )

    def _mean(self, name: str) -> float:
        total = sum(getattr(moment, name) for moment in self.moments)
        return round(total / len(self.moments), 1)

    def _reasons(self) -> str:
        return ", ".join(
            f"{why}: {count}" for why, count in self.refused.most_common()
        )
