"""Routing: which route a request takes, to which targets it may lead."""

import dataclasses
import random

from trefoil_fleet import items as item_store
from trefoil_fleet import records as record_store
from trefoil_model import errors
from trefoil_wire import messages

ANY = "*"


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A target as other proxies see it."""

    host: str
    domain: str
    address: str
    target: messages.TargetRecord

    @property
    def key(self) -> str:
        """Return the target's name in the fleet."""
        return f"{self.host}/{self.target.name}"


class RouteTable:
    """The routes of one configuration, most specific first.

    Args:
        items: The configuration in force.
    """

    __slots__ = ("revision", "routes", "shares", "services", "drained")

    def __init__(self, items: item_store.Items) -> None:
        self.revision = items.revision
        self.routes = sorted(
            items.all(item_store.ROUTE),
            key=lambda r: (r.host == ANY, -len(r.prefix), r.name),
        )
        self.services: dict[str, messages.Service] = {
            service.name: service for service in items.all(item_store.SERVICE)
        }
        self.shares: dict[str, messages.Shares] = {
            entry.service_name: entry for entry in items.all(item_store.SHARES)
        }
        self.drained = {entry.host for entry in items.all(item_store.DRAIN)}

    def match(self, host: str, path: str, method: str) -> messages.Route:
        """Return the route of a request.

        Raises:
            ProtocolError: No route takes it (404), or none with its method
                (405).
        """
        bare = path.partition("?")[0]
        elsewhere = False
        for route in self.routes:
            if route.host not in (ANY, host):
                continue
            if not _under(bare, route.prefix):
                continue
            if not route.methods or method in route.methods:
                return route
            elsewhere = True
        if elsewhere:
            raise errors.ProtocolError(405, f"no route takes {method} here")
        raise errors.ProtocolError(404, "no route takes this path")

    def draw_version(
        self, service: str, rng: random.Random, halted: frozenset[str]
    ) -> str:
        """Draw a version by the shares in force.

        Args:
            service: Name of the service.
            rng: Draws the version.
            halted: Versions that this proxy no longer sends to, by its own
                evidence.
        """
        shares = self.shares[service].shares
        live = [s for s in shares if s.permille and s.version not in halted]
        if not live:
            live = [s for s in shares if s.permille] or shares
        if len(live) == 1:
            return live[0].version
        draw = rng.randrange(sum(share.permille for share in live))
        for share in live:
            draw -= share.permille
            if draw < 0:
                return share.version
        return live[-1].version

    def versions(self, service: str) -> list[str]:
        """Return the versions with a share, greatest share first."""
        shares = sorted(self.shares[service].shares, key=lambda s: -s.permille)
        return [share.version for share in shares if share.permille]


def _under(path: str, prefix: str) -> bool:
    """Tell whether a path lies under a prefix, at a segment's edge."""
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith("/")
        or len(path) == len(prefix)
        or path[len(prefix)] == "/"
    )


class Endpoints:
    """The targets that requests may be led to, by service and version."""

    __slots__ = ("by_version", "by_key", "hosts_of", "first_seen_ms")

    def __init__(self) -> None:
        self.by_version: dict[tuple[str, str], list[Endpoint]] = {}
        self.by_key: dict[str, Endpoint] = {}
        self.hosts_of: dict[str, list[str]] = {}
        self.first_seen_ms: dict[str, int] = {}

    def rebuild(
        self, records: record_store.Records, drained: set[str], now_ms: int
    ) -> None:
        """Take in the hosts' records."""
        self.by_version = {}
        self.by_key = {}
        hosts: dict[str, set[str]] = {}
        for record in records.present():
            for target in record.targets or ():
                hosts.setdefault(target.service_name, set()).add(record.host)
                if record.host in drained:
                    continue
                if target.state != messages.TargetState.DRAINING:
                    self._add(record, target, now_ms)
        self.hosts_of = {name: sorted(found) for name, found in hosts.items()}
        for key in list(self.first_seen_ms):
            if key not in self.by_key:
                del self.first_seen_ms[key]

    def _add(
        self,
        record: messages.HostRecord,
        target: messages.TargetRecord,
        now_ms: int,
    ) -> None:
        endpoint = Endpoint(record.host, record.domain, record.address, target)
        version = (target.service_name, target.version)
        self.by_version.setdefault(version, []).append(endpoint)
        self.by_key[endpoint.key] = endpoint
        self.first_seen_ms.setdefault(endpoint.key, now_ms)

    def holding(
        self, service: str, version: str, resource: str
    ) -> list[Endpoint]:
        """Return the targets of a version that hold a resource."""
        found = self.by_version.get((service, version), [])
        if not resource:
            return found
        return [e for e in found if resource in e.target.resources]
