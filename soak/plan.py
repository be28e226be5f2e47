"""The faults of one run, drawn from its seed."""

import collections.abc
import dataclasses
import enum
import random

FIRST_FAULT_S = 0.5
# Exceeds the time to detect an unresponsive connection, and the length of one
# step of a move that takes seconds.
MAX_FAULT_S = 5.0


class Kind(enum.Enum):
    """Kinds of faults of a process or of the connections to it.

    KILL ends one process and KILL_CONTROLS all control processes, until they
    are restarted. WIPE and TEAR kill a control process and delete its data
    folder or append an incomplete record to its log. PAUSE suspends a
    process. TERMINATE restarts one proxy gracefully, ROLL all in turn. The
    others act on the connections to a process: DELAY adds latency, RESET
    resets the connections that are open, and SILENCE drops their bytes.
    HOLD_IN and HOLD_OUT hold the bytes of one direction, CUT of both.
    """

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


# Planned shutdowns, which must not cost a request its answer.
SHUTDOWN_KINDS = (Kind.TERMINATE, Kind.ROLL)
CONNECTION_KINDS = (
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
        at_s: When it begins, in seconds from the start of the load.
        kind: The kind of fault.
        member: Name of the process, or a description of several.
        for_s: Duration in seconds.
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
    """Names of the processes by role.

    Args:
        controls: Control processes.
        proxies: Proxies.
        targets: Targets.
    """

    controls: list[str]
    proxies: list[str]
    targets: list[str]


class Plan:
    """Draws consecutive and overlapping faults.

    Args:
        seed: Seeds every draw.
        members: The processes.
        duration_s: Length in seconds of the period in which faults begin.
        kinds: The kinds of faults to draw.
    """

    __slots__ = ("rng", "members", "duration_s", "kinds", "faults")

    def __init__(
        self,
        seed: int,
        members: Members,
        duration_s: float,
        kinds: collections.abc.Sequence[Kind] = tuple(Kind),
    ) -> None:
        self.rng = random.Random(seed)
        self.members = members
        self.duration_s = duration_s
        self.kinds = kinds
        self.faults: list[Fault] = []

    @classmethod
    def from_seed(
        cls,
        seed: int,
        members: Members,
        duration_s: float,
        kinds: collections.abc.Sequence[Kind] = tuple(Kind),
    ) -> "Plan":
        """Return the plan for a seed; equal arguments give equal plans."""
        plan = cls(seed, members, duration_s, kinds)
        count = plan.rng.randint(3, max(int(duration_s * 0.8), 4))
        at_s = FIRST_FAULT_S
        for _ in range(count):
            # With even odds, a fault begins right after the previous one, so
            # that faults overlap.
            at_s += plan.rng.choice((0.05, 2 * duration_s / count))
            if at_s > duration_s:
                break
            plan.faults.append(plan._draw(at_s))
        return plan

    def _draw(self, at_s: float) -> Fault:
        rng = self.rng
        kind = rng.choice(self.kinds)
        if kind in (Kind.WIPE, Kind.TEAR):
            if any(fault.kind == Kind.WIPE for fault in self.faults):
                # Three control hosts tolerate the loss of only one disk.
                kind = Kind.KILL
        for_s = min(
            rng.uniform(0.1, MAX_FAULT_S), self.duration_s - at_s + 0.5
        )
        return Fault(at_s, kind, self._choose_member(kind), for_s)

    def _choose_member(self, kind: Kind) -> str:
        members = self.members
        match kind:
            case Kind.WIPE | Kind.TEAR:
                return self.rng.choice(members.controls)
            case Kind.TERMINATE:
                return self.rng.choice(members.proxies)
            case Kind.ROLL:
                return "every proxy"
            case Kind.KILL_CONTROLS:
                return "every control host"
        return self.rng.choice(
            members.controls + members.proxies + members.targets
        )
