"""Estimates which requests are targets' calls, and which of those repeat.

A run that is itself a repeat makes its calls once more, and these count as
repeats at the services that are called. A call does not name its parent
request, and nothing distinguishes it from a caller's request. Two proxies
together know enough for an estimate: the called target's proxy sees on which
routes only the hosts of one service send, and the calling target's proxy knows
what runs on its host.
"""

import collections
import collections.abc
import dataclasses
import typing

# Below this share, random variation alone makes a route look as if targets
# called it.
MIN_CALL_SHARE = 0.25
# Counts are halved above this sum, which a busy target reaches in about ten
# seconds.
MAX_COUNTED = 512
# The number of calls per run is learned within about fifty runs.
CALLS_WEIGHT = 0.02
DEFAULT_CALLS = 1.0
# Averages over about ten answers.
REPORT_WEIGHT = 0.1
MIN_PERMILLE = -1000


class Origins:
    """Counts a target's requests by route and by the sender's services.

    Callers send to all hosts alike, while targets' calls enter only at the
    hosts of those targets. The difference in requests per host gives the
    share of a route's requests that are calls. ``hosts`` holds the number of
    hosts for each key of services.
    """

    __slots__ = ("hosts", "counts")

    def __init__(self) -> None:
        self.hosts: dict[str, int] = {}
        self.counts: dict[str, dict[str, float]] = {}

    def note(self, route: str, services: str) -> None:
        """Count a request.

        Args:
            route: Its route.
            services: Key of the services on its entry proxy's host.
        """
        counts = self.counts.setdefault(route, {})
        counts[services] = counts.get(services, 0.0) + 1
        if sum(counts.values()) > MAX_COUNTED:
            for name in counts:
                counts[name] /= 2

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Drop the routes that were removed."""
        _keep_only(self.counts, routes)

    def call_share(self, route: str, services: str) -> float:
        """Return the share of such requests that local targets send.

        Before the first request the share is 1, since a call that is taken
        for a caller's request would not be charged to any budget. Where all
        hosts run the same services, calls cannot be distinguished and the
        share is 0.

        Args:
            route: The requests' route.
            services: Key of the services on their entry proxies' hosts.

        Returns:
            The share. It is negative where the other hosts send more, which
            offsets targets to which they send less.
        """
        counts = self.counts.get(route, {})
        same_hosts = self.hosts.get(services, 0)
        other_hosts = sum(self.hosts.values()) - same_hosts
        own_requests = counts.get(services, 0.0)
        if not other_hosts:
            return 0.0
        if not own_requests or not same_hosts:
            return 1.0
        other_requests = sum(counts.values()) - own_requests
        return max(
            1 - (other_requests / other_hosts) / (own_requests / same_hosts),
            -1.0,
        )


class Run(typing.Protocol):
    """A request that runs on a target."""

    route: str
    repeat: float
    calls: float


@dataclasses.dataclass(slots=True)
class Parents:
    """Attributes calls to the requests that run on a host's targets.

    Args:
        calls_of: Calls per run by route, learned by dividing each call among
            the runs that may have made it.
    """

    calls_of: dict[str, float] = dataclasses.field(default_factory=dict)

    def repeat_share(
        self, runs: collections.abc.Collection[Run], share: float
    ) -> float:
        """Return the probability that a new request is a repeat's call.

        Args:
            runs: The requests that run now.
            share: Probability that the new request is a call at all.
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
        """Update the calls per run of a route with a run that ended."""
        average = self.calls_of.get(run.route, DEFAULT_CALLS)
        average += CALLS_WEIGHT * (run.calls - average)
        self.calls_of[run.route] = average

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Drop the routes that were removed."""
        _keep_only(self.calls_of, routes)


@dataclasses.dataclass(slots=True)
class CallShares:
    """The share of calls by route, as reported by called targets' proxies."""

    shares: dict[str, float] = dataclasses.field(default_factory=dict)

    def share(self, route: str) -> float:
        """Return the share of a route's requests here that are calls."""
        share = self.shares.get(route, 1.0)
        return share if share >= MIN_CALL_SHARE else 0.0

    def add_report(self, route: str, permille: int | None) -> None:
        """Average in the share that an answer reports.

        Each proxy prefers some targets, such as those on its own host, so each
        target sees another mix of hosts. The mean over targets evens this out.

        Args:
            route: The answered request's route.
            permille: The reported share in permille, None without a report.
        """
        if permille is None or permille < MIN_PERMILLE:
            return
        share = permille / 1000
        average = self.shares.get(route, share)
        self.shares[route] = average + REPORT_WEIGHT * (share - average)

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Drop the routes that were removed."""
        _keep_only(self.shares, routes)


def services_key(services: collections.abc.Iterable[str]) -> str:
    """Return a key for a host's set of services, in any order."""
    return ",".join(sorted(set(services)))


def hosts_by_services(
    services_of: collections.abc.Iterable[collections.abc.Iterable[str]],
) -> dict[str, int]:
    """Return the number of hosts with the same services, by their key."""
    return dict(
        collections.Counter(services_key(services) for services in services_of)
    )


def _keep_only(
    by_route: dict[str, typing.Any], routes: collections.abc.Container[str]
) -> None:
    for route in [r for r in by_route if r not in routes]:
        del by_route[route]
