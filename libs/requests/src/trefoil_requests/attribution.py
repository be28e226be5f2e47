"""Which requests are calls of targets, and which of those repeat.

A run that is itself a repeat makes its calls once more, and they count as
repeats at the services that are called. Nothing in a call names its parent,
nor does it tell a call from a caller's request. Two proxies know enough
together: the one before the called target sees on which routes only the
hosts of a service send, and the one beside the calling target knows what
runs there.
"""

import collections
import collections.abc
import dataclasses
import typing

# Below, chance alone makes a route look like one that targets call.
MIN_CALL_SHARE = 0.25
# Counts are halved here: some ten seconds at a busy target.
MAX_COUNTED = 512
# A route's calls are known within some fifty of its runs.
CALLS_WEIGHT = 0.02
DEFAULT_CALLS = 1.0
# Some ten targets' answers.
REPORT_WEIGHT = 0.1
MIN_PERMILLE = -1000


class Origins:
    """Who sends a target's requests, by route and what is beside them.

    Callers come to all hosts alike, calls only to the hosts whose targets
    make them. The difference, a host, is the part of a route's requests that
    are calls.
    """

    __slots__ = ("hosts", "counts")

    def __init__(self) -> None:
        self.hosts: dict[str, int] = {}
        self.counts: dict[str, dict[str, float]] = {}

    def note(self, route: str, services: str) -> None:
        """Note a request.

        Args:
            route: Its route.
            services: Key of the services beside its entry proxy.
        """
        counts = self.counts.setdefault(route, {})
        counts[services] = counts.get(services, 0.0) + 1
        if sum(counts.values()) > MAX_COUNTED:
            for name in counts:
                counts[name] /= 2

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Forget the routes that are gone."""
        _keep_only(self.counts, routes)

    def call_share(self, route: str, services: str) -> float:
        """Return which part of such requests the targets beside send.

        Before any came, all of them: a call that is taken for a caller's
        request is paid by nobody. Where all hosts have the same services
        beside them nothing tells calls apart, and none is taken for one.

        Args:
            route: The requests' route.
            services: Key of the services beside their entry proxies.

        Returns:
            The part; less than none where the other hosts send more, which
            makes up for targets to which they send less.
        """
        counts = self.counts.get(route, {})
        same = self.hosts.get(services, 0)
        elsewhere = sum(self.hosts.values()) - same
        own = counts.get(services, 0.0)
        if not elsewhere:
            return 0.0
        if not own or not same:
            return 1.0
        others = sum(counts.values()) - own
        return max(1 - (others / elsewhere) / (own / same), -1.0)


class Run(typing.Protocol):
    """A request that runs on a target."""

    route: str
    repeat: float
    calls: float


@dataclasses.dataclass(slots=True)
class Parents:
    """What runs on a host's targets, as the parents of their calls.

    Args:
        calls_of: Calls that a run of a route makes, learned by sharing each
            call out over the runs that may have made it.
    """

    calls_of: dict[str, float] = dataclasses.field(default_factory=dict)

    def repeat_share(
        self, runs: collections.abc.Collection[Run], share: float
    ) -> float:
        """Return how likely a request that comes now is a repeat's call.

        Args:
            runs: What runs now.
            part: How likely it is a call at all.
        """
        weights = [self.calls_of.get(r.route, DEFAULT_CALLS) for r in runs]
        total = sum(weights)
        if not total:
            return 0.0
        repeats = 0.0
        for run, weight in zip(runs, weights):
            run.calls += share * weight / total
            repeats += run.repeat * weight
        return share * repeats / total

    def ended(self, run: Run) -> None:
        """Learn from a run that ended how many calls its route makes."""
        known = self.calls_of.get(run.route, DEFAULT_CALLS)
        known += CALLS_WEIGHT * (run.calls - known)
        self.calls_of[run.route] = known

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Forget the routes that are gone."""
        _keep_only(self.calls_of, routes)


@dataclasses.dataclass(slots=True)
class CallShares:
    """What the called targets' proxies tell: the part of calls, by route."""

    shares: dict[str, float] = dataclasses.field(default_factory=dict)

    def share(self, route: str) -> float:
        """Return which part of a route's requests here are calls."""
        share = self.shares.get(route, 1.0)
        return share if share >= MIN_CALL_SHARE else 0.0

    def add_report(self, route: str, permille: int | None) -> None:
        """Take what an answer tells.

        A proxy prefers some targets, its own host's among them, so that each
        target sees the hosts in other parts; on the mean these even out.
        """
        if permille is None or permille < MIN_PERMILLE:
            return
        share = permille / 1000
        known = self.shares.get(route, share)
        self.shares[route] = known + REPORT_WEIGHT * (share - known)

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Forget the routes that are gone."""
        _keep_only(self.shares, routes)


def services_key(services: collections.abc.Iterable[str]) -> str:
    """Return what names the services beside a proxy, for any order."""
    return ",".join(sorted(set(services)))


def hosts_by_services(
    services_of: collections.abc.Iterable[collections.abc.Iterable[str]],
) -> dict[str, int]:
    """Return how many hosts have the same services, by their key."""
    return dict(
        collections.Counter(services_key(services) for services in services_of)
    )


def _keep_only(
    by_route: dict[str, typing.Any], routes: collections.abc.Container[str]
) -> None:
    for route in [r for r in by_route if r not in routes]:
        del by_route[route]
