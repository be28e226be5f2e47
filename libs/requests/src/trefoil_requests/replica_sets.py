"""The replicas of idempotency keys, chosen among the hosts of a service."""

import typing

from trefoil_model import hashing

from . import joining

REPLICAS = 3
RETENTION_MS = 600_000


class ReplicaSets:
    """The hosts of each service, including those that left recently.

    Args:
        local_host: Name of this host, whose joins are recorded.
        started_ms: Start of this process on the runtime's clock.
    """

    __slots__ = (
        "local_host",
        "started_ms",
        "hosts",
        "departed_until_ms",
        "joins",
    )

    def __init__(self, local_host: str = "", started_ms: int = 0) -> None:
        self.local_host = local_host
        self.started_ms = started_ms
        self.hosts: dict[str, set[str]] = {}
        self.departed_until_ms: dict[tuple[str, str], int] = {}
        self.joins: dict[str, joining.Join] = {}

    def update(
        self, hosts_of: typing.Mapping[str, list[str]], now_ms: int
    ) -> None:
        """Update the hosts of each service.

        Args:
            hosts_of: Names of the hosts that have targets of each service.
            now_ms: The time on the runtime's clock.
        """
        for service in set(self.hosts) | set(hosts_of):
            new = set(hosts_of.get(service, ()))
            known = self.hosts.get(service, set())
            if service in self.joins or self.local_host in new - known:
                self._note_join(service, new, now_ms)
            for host in known - new:
                self.departed_until_ms[(service, host)] = now_ms + RETENTION_MS
            for host in new:
                self.departed_until_ms.pop((service, host), None)
            self.hosts[service] = new

    def _note_join(self, service: str, new: set[str], now_ms: int) -> None:
        """Record a join of this host, or hosts that appear after it."""
        members = self.members(service, now_ms)
        if self.local_host in new and self.local_host not in members:
            if now_ms < self.started_ms + joining.RECORDS_ARRIVE_MS:
                # Members of before, of which this process just heard.
                members |= new - {self.local_host}
            self.joins[service] = joining.Join(members, now_ms)
        elif service in self.joins:
            self.joins[service].add_members(new - members, now_ms)

    def members(self, service: str, now_ms: int) -> set[str]:
        """Return the hosts that may be replicas of a service's keys."""
        departed = {
            host
            for (name, host), until_ms in self.departed_until_ms.items()
            if name == service and until_ms > now_ms
        }
        return self.hosts.get(service, set()) | departed

    def replicas(self, service: str, key: int, now_ms: int) -> list[str]:
        """Return the replicas of a key, in rendezvous order."""
        pool = self.members(service, now_ms)
        return list(hashing.rank(str(key), pool)[:REPLICAS])

    def may_lack_members(
        self, service: str, replicas: list[str], now_ms: int
    ) -> bool:
        """Return whether all these replicas may lack records of members.

        Hosts that start together learn of their neighbours first. Two groups
        that do not know each other yet would both grant a key, and the
        request would run twice. A group that fills a set of replicas is not
        held up: after a start of the whole fleet keys would be refused for
        seconds. One replica that has run for long knows the other members.

        Args:
            service: Name of the service.
            replicas: The replicas of a key, as this host sees them.
            now_ms: The time on the runtime's clock.
        """
        join = self.joins.get(service)
        if join is None or len(replicas) >= REPLICAS:
            return False
        if not join.settled.isdisjoint(replicas):
            return False
        return now_ms < join.joined_ms + joining.RECORDS_ARRIVE_MS

    def is_joining(self, service: str, now_ms: int) -> bool:
        """Return whether this host may lack grants from before it joined."""
        join = self.joins.get(service)
        if join is None:
            return False
        if join.has_ended(now_ms) or now_ms >= join.joined_ms + RETENTION_MS:
            del self.joins[service]
            return False
        return not join.is_complete
