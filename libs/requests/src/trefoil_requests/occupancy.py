"""Lines that tell what a target's slots and its host's link were taken by.

A target refuses when its slots, its queue or the link of its host is short.
Without these lines all three look the same from outside.
"""

import collections
import dataclasses

from trefoil_model import effects as common

TELL_MS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Moment:
    """What a target and the link of its host were taken by at one moment.

    Args:
        slots: The target's slots.
        running: Requests that it works on.
        queued: Requests that wait for a slot.
        bodies: Large bodies that wait for the link or are on it.
        body_wait_ms: How long a further one would wait for its turn.
    """

    slots: int
    running: int
    queued: int
    bodies: int
    body_wait_ms: int


class Occupancy:
    """What one target was taken by since it was last told.

    Args:
        target: The target.
    """

    __slots__ = ("target", "moments", "refused", "bodies_ms", "tell_at_ms")

    def __init__(self, target: str) -> None:
        self.target = target
        self.moments: list[Moment] = []
        self.refused: collections.Counter[str] = collections.Counter()
        self.bodies_ms: list[int] = []
        self.tell_at_ms = 0

    def refuse(self, why: str) -> None:
        """Note a refusal."""
        self.refused[why] += 1

    def body_came(self, took_ms: int) -> None:
        """Note how long a body took, its wait for the link included."""
        self.bodies_ms.append(took_ms)

    def tell(self, moment: Moment, now_ms: int) -> list[common.Note]:
        """Take a moment; return a line each second with something to say.

        A target that neither refused nor waited for a body since then is
        left out.
        """
        self.moments.append(moment)
        if now_ms < self.tell_at_ms:
            return []
        self.tell_at_ms = now_ms + TELL_MS
        worth_telling = self.refused or self.bodies_ms or moment.bodies
        found = [self._line()] if worth_telling else []
        self.moments = [moment]
        self.refused.clear()
        self.bodies_ms.clear()
        return found

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
