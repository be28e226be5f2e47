"""Which failure domains have room for the calls of others.

In an overload every target seems full, and calls that are sent to one domain
after the other cross between them without being answered sooner. Domains tell
each other how loaded their targets are, so that calls cross only to those that
are clearly less loaded than their own.
"""

import dataclasses

from trefoil_wire import messages

# A domain takes calls of others while it is below this load per slot, or well
# below the load of theirs. The margin keeps domains from trading calls when
# their loads change at random.
ROOMY_LOAD = 0.7
CLEARLY_LOWER = 0.75
# What was told is used for this long. It is told several times in a second.
LIFETIME_MS = 1500


@dataclasses.dataclass(slots=True)
class Told:
    """The load of a service in one domain, as told.

    Args:
        load: Requests that run or wait there.
        slots: Slots of its targets.
        told_ms: When it was told.
    """

    load: float = 0.0
    slots: int = 0
    told_ms: int = 0

    @property
    def per_slot(self) -> float:
        """Return the load per slot."""
        return self.load / max(self.slots, 1)


class DomainLoads:
    """The loads of all failure domains, by service.

    Args:
        domain: The own failure domain.
    """

    __slots__ = ("domain", "by_service")

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.by_service: dict[str, dict[str, Told]] = {}

    def hear(self, loads: messages.DomainLoads, now_ms: int) -> None:
        """Replace what was told before."""
        by_service: dict[str, dict[str, Told]] = {}
        for domain_load in loads.domains:
            for load in domain_load.services:
                domains = by_service.setdefault(load.service_name, {})
                told = domains.setdefault(domain_load.domain, Told())
                told.load += load.load
                told.slots += load.slots
                told.told_ms = now_ms
        self.by_service = by_service

    def full_domains(self, service: str, now_ms: int) -> frozenset[str]:
        """Return the domains that no call of a service should cross to.

        Without recent news of both domains, crossing is not held up.
        """
        domains = self.by_service.get(service)
        own = domains.get(self.domain) if domains else None
        if own is None or now_ms >= own.told_ms + LIFETIME_MS:
            return frozenset()
        most = max(ROOMY_LOAD, CLEARLY_LOWER * own.per_slot)
        return frozenset(
            name
            for name, told in domains.items()
            if name != self.domain and told.per_slot > most
        )
