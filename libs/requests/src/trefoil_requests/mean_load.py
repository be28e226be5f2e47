"""The load of this host's targets, as a mean over the last moments."""

import collections.abc
import math

from trefoil_wire import messages

from . import target_side

# About as long as a few requests take, so that a mean says more than chance.
TIME_CONSTANT_MS = 300.0


class MeanLoad:
    """Measures the load of each service's targets on this host."""

    __slots__ = ("by_service", "measured_ms")

    def __init__(self) -> None:
        self.by_service: dict[str, messages.ServiceLoad] = {}
        self.measured_ms = 0

    def measure(
        self,
        targets: collections.abc.Iterable[target_side.LocalTarget],
        now_ms: int,
    ) -> None:
        """Add the present load; targets that take no requests don't count."""
        elapsed_ms = now_ms - self.measured_ms
        self.measured_ms = now_ms
        weight = 1 - math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        present: dict[str, messages.ServiceLoad] = {}
        for target in targets:
            if target.draining or target.removed:
                continue
            name = target.record.service_name
            load = present.setdefault(name, messages.ServiceLoad(name, 0.0, 0))
            load.load += target.slots.load
            load.slots += target.slots.slots
        for name, load in present.items():
            before = self.by_service.get(name)
            if before is not None:
                change = load.load - before.load
                load.load = before.load + weight * change
        self.by_service = present
