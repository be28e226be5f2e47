"""Routing: matches requests to routes, and routes to targets."""

import collections.abc
import dataclasses
import random

from trefoil_accounts import directory
from trefoil_fleet import exclusions
from trefoil_fleet import items as item_store
from trefoil_fleet import records as record_store
from trefoil_model import errors
from trefoil_wire import messages

ANY = "*"
# In a service's shares, stands for all versions that no other share names.
OTHER_VERSIONS = ""


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A target as announced to other proxies."""

    host: str
    domain: str
    address: str
    target: messages.TargetRecord

    @property
    def key(self) -> str:
        """Return the target's unique name in the fleet."""
        return f"{self.host}/{self.target.name}"


class RouteTable:
    """The routes of one configuration.

    Args:
        items: The configuration in force.
        previous: The routes of the configuration before it, None without one.
    """

    __slots__ = (
        "revision",
        "routes",
        "by_prefix",
        "shares",
        "services",
        "excluded",
        "limits",
        "accounts",
    )

    def __init__(
        self,
        items: item_store.Items,
        previous: "RouteTable | None" = None,
    ) -> None:
        self.revision = items.revision
        self.routes = sorted(items.all(item_store.ROUTE), key=_by_specificity)
        self.by_prefix: dict[tuple[str, str], list[messages.Route]] = {}
        for route in self.routes:
            key = (route.host, route.prefix.rstrip("/"))
            self.by_prefix.setdefault(key, []).append(route)
        self.limits: messages.CallerLimits | None = items.get(
            item_store.LIMITS
        )
        self.services: dict[str, messages.Service] = {
            service.name: service for service in items.all(item_store.SERVICE)
        }
        self.shares: dict[str, messages.Shares] = {
            entry.service_name: entry for entry in items.all(item_store.SHARES)
        }
        self.excluded = exclusions.Exclusions.from_items(items)
        self.accounts = directory.Directory.from_items(
            items, previous.accounts if previous is not None else None
        )

    def match(self, host: str, path: str, method: str) -> messages.Route:
        """Return the route of a request.

        Raises:
            ProtocolError: No route matches it (404), or none allows its
                method (405).
        """
        other_method = False
        for route in self._candidates(host, path.partition("?")[0]):
            if not route.methods or method in route.methods:
                return route
            other_method = True
        if other_method:
            raise errors.ProtocolError(405, f"no route takes {method} here")
        raise errors.ProtocolError(404, "no route takes this path")

    def _candidates(
        self, host: str, path: str
    ) -> collections.abc.Iterator[messages.Route]:
        """Return the routes whose prefix covers a path, longest first.

        Needs one look-up per segment of the path, instead of comparing the
        path with hundreds of routes one by one.
        """
        for name in (host, ANY):
            ancestor = path
            while True:
                for route in self.by_prefix.get((name, ancestor), ()):
                    if _is_under_prefix(path, route.prefix):
                        yield route
                if not ancestor:
                    break
                ancestor = (
                    ancestor[: ancestor.rfind("/")] if "/" in ancestor else ""
                )

    def draw_version(
        self, service: str, rng: random.Random, halted: frozenset[str]
    ) -> str:
        """Draw a version by the shares in force.

        Args:
            service: Name of the service.
            rng: Draws the version.
            halted: Versions that this proxy stopped using because of its own
                evidence.
        """
        shares = self.shares[service].shares
        eligible = [
            s for s in shares if s.permille and s.version not in halted
        ]
        if not eligible:
            eligible = [s for s in shares if s.permille] or shares
        if len(eligible) == 1:
            return eligible[0].version
        draw = rng.randrange(sum(share.permille for share in eligible))
        for share in eligible:
            draw -= share.permille
            if draw < 0:
                return share.version
        return eligible[-1].version

    def versions(self, service: str) -> list[str]:
        """Return the versions with a share, greatest share first."""
        shares = sorted(self.shares[service].shares, key=lambda s: -s.permille)
        return [share.version for share in shares if share.permille]

    def may_overflow(self, service: str, version: str) -> bool:
        """Return whether a full version's calls may go to other versions.

        While a move runs, calls overflow only from the version with the
        smaller share to the one with the greater. In the other direction, a
        service short of slots would send the new version more than its share.
        """
        if not self.shares[service].move_id:
            return True
        return version != self.versions(service)[0]


def _is_under_prefix(path: str, prefix: str) -> bool:
    """Return whether a prefix covers a path and ends at a segment boundary."""
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith("/")
        or len(path) == len(prefix)
        or path[len(prefix)] == "/"
    )


def _by_specificity(route: messages.Route) -> tuple[int, str]:
    return -len(route.prefix), route.name


def draw_service(route: messages.Route, rng: random.Random) -> str:
    """Draw the service that a call on a route goes to, by weight."""
    if not route.backends:
        return route.service_name
    weights = [backend.weight for backend in route.backends]
    return rng.choices(route.backends, weights)[0].service_name


class Endpoints:
    """The targets that requests may be sent to, by service and version."""

    __slots__ = (
        "by_version",
        "by_service",
        "by_key",
        "hosts_of",
        "first_seen_ms",
    )

    def __init__(self) -> None:
        self.by_service: dict[str, list[Endpoint]] = {}
        self.by_version: dict[tuple[str, str], list[Endpoint]] = {}
        self.by_key: dict[str, Endpoint] = {}
        self.hosts_of: dict[str, list[str]] = {}
        self.first_seen_ms: dict[str, int] = {}

    def rebuild(
        self,
        records: record_store.Records,
        table: RouteTable | None,
        now_ms: int,
    ) -> None:
        """Rebuild from the hosts' records, without excluded targets."""
        self.by_version = {}
        self.by_service = {}
        self.by_key = {}
        hosts: dict[str, set[str]] = {}
        for record in records.present():
            for target in record.targets or ():
                hosts.setdefault(target.service_name, set()).add(record.host)
                if table is not None and table.excluded.contains(record):
                    continue
                if target.state != messages.TargetState.DRAINING:
                    self._add(record, target, now_ms)
        self.hosts_of = {
            name: sorted(host_names) for name, host_names in hosts.items()
        }
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
        self.by_service.setdefault(target.service_name, []).append(endpoint)
        self.by_key[endpoint.key] = endpoint
        self.first_seen_ms.setdefault(endpoint.key, now_ms)

    def serving(
        self,
        service: str,
        version: str,
        resource: str,
        named_versions: collections.abc.Container[str] = (),
    ) -> list[Endpoint]:
        """Return the targets that serve a version and hold a resource.

        Args:
            service: Name of the service.
            version: The version; ``OTHER_VERSIONS`` stands for all
                versions that are not in ``named_versions``.
            resource: The resource, empty for any.
            named_versions: Versions that the service's shares name.
        """
        endpoints = self.by_version.get((service, version), [])
        if version == OTHER_VERSIONS:
            all_versions = self.by_service.get(service, [])
            endpoints = [
                e
                for e in all_versions
                if e.target.version not in named_versions
            ]
        if not resource:
            return endpoints
        return [e for e in endpoints if resource in e.target.resources]
