"""The faults of one run, drawn from its seed."""

import dataclasses
import enum
import random

FIRST_S = 0.5
# Longer than a link counts as silent and a move of seconds lasts a step.
LONGEST_S = 5.0


class Kind(enum.Enum):
    """What happens to a process or the connections to it."""

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    ROLL = "roll"
    KILL_CONTROLS = "kill controls"
    WIPE = "wipe"
    TEAR = "tear"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    HOLD_IN = "hold in"
    HOLD_OUT = "hold out"
    CUT = "cut"


ON_LINKS = (
    Kind.DELAY,
    Kind.RESET,
    Kind.SILENCE,
    Kind.HOLD_IN,
    Kind.HOLD_OUT,
    Kind.CUT,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault.

    Args:
        at_s: When it begins, from the start of the load.
        kind: What happens.
        member: The process.
        for_s: How long it lasts.
    """

    at_s: float
    kind: Kind
    member: str
    for_s: float

    def __str__(self) -> str:
        return (
            f"{self.at_s:.2f}s {self.kind.value} {self.member} "
            f"for {self.for_s:.2f}s"
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Members:
    """Names of the processes by role."""

    controls: list[str]
    proxies: list[str]
    targets: list[str]


class Plan:
    """Draws faults in series and overlapping.

    Args:
        seed: Seeds every draw.
        members: The processes.
        lasts_s: How long faults may last in all.
    """

    __slots__ = ("rng", "members", "lasts_s", "faults")

    def __init__(self, seed: int, members: Members, lasts_s: float) -> None:
        self.rng = random.Random(seed)
        self.members = members
        self.lasts_s = lasts_s
        self.faults: list[Fault] = []

    @classmethod
    def from_seed(cls, seed: int, members: Members, lasts_s: float) -> "Plan":
        """Return the plan of a seed."""
        plan = cls(seed, members, lasts_s)
        count = plan.rng.randint(3, max(int(lasts_s * 0.8), 4))
        at_s = FIRST_S
        for _ in range(count):
            # Half of them follow at once, so that troubles overlap.
            at_s += plan.rng.choice((0.05, 2 * lasts_s / count))
            if at_s > lasts_s:
                break
            plan.faults.append(plan._draw(at_s))
        return plan

    def _draw(self, at_s: float) -> Fault:
        rng = self.rng
        kind = rng.choice(list(Kind))
        if kind in (Kind.WIPE, Kind.TEAR):
            if any(fault.kind == Kind.WIPE for fault in self.faults):
                # Three control hosts bear the loss of one disk.
                kind = Kind.KILL
        for_s = min(rng.uniform(0.1, LONGEST_S), self.lasts_s - at_s + 0.5)
        return Fault(at_s, kind, self._member(kind), for_s)

    def _member(self, kind: Kind) -> str:
        found = self.members
        match kind:
            case Kind.WIPE | Kind.TEAR:
                return self.rng.choice(found.controls)
            case Kind.TERMINATE:
                return self.rng.choice(found.proxies)
            case Kind.ROLL:
                return "every proxy"
            case Kind.KILL_CONTROLS:
                return "every control host"
        return self.rng.choice(found.controls + found.proxies + found.targets)
