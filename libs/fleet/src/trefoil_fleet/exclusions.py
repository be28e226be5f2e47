"""Hosts whose targets operators have excluded from routing."""

import typing

from trefoil_wire import messages

from . import items as item_store


class Exclusions:
    """The drained hosts and the evacuated failure domains.

    Args:
        hosts: Names of the drained hosts.
        domains: Names of the evacuated failure domains.
    """

    __slots__ = ("hosts", "domains")

    def __init__(self, hosts: set[str], domains: set[str]) -> None:
        self.hosts = hosts
        self.domains = domains

    @classmethod
    def from_items(cls, items: item_store.Items) -> typing.Self:
        """Build the exclusions from a configuration."""
        drains = items.all(item_store.DRAIN)
        evacuations = items.all(item_store.EVACUATION)
        return cls(
            {drain.host for drain in drains},
            {evacuation.domain for evacuation in evacuations},
        )

    def contains(self, record: messages.HostRecord) -> bool:
        """Return whether the targets of a host are excluded."""
        return record.host in self.hosts or record.domain in self.domains
