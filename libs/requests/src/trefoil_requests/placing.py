"""Chooses the target of a call by version, failure domain, load and speed."""

import random

from trefoil_fleet import records as record_store
from trefoil_wire import messages

from . import balancer as balancers
from . import bodies
from . import crossing
from . import domain_loads
from . import live as live_calls
from . import routing
from . import stated

# Number of full targets that may reject a request before it queues at the
# next. With two, a free slot among a dozen targets is found nearly always;
# each rejection costs a round trip between proxies.
MAX_FULL_TARGETS = 2
# A call whose bytes cost at least this share of a timely answer's value is not
# sent to another failure domain if it may be rejected there.
COSTLY_CROSSING = 0.1
# Bytes sent to another host pass both hosts' links. On links of 4 Mbit/s, one
# KiB takes 2 ms on each. While a burst fills the links, only calls that stay
# on their host still get through.
REMOTE_US_PER_KIB = 4000.0
# Averages over about twenty calls. A route's usual run time is known within
# seconds of its first call, and one long call does not make it look slow.
MEAN_WEIGHT = 0.05
# Lowest status that is the target's fault. Errors of the caller (4xx) are not
# evidence against the target.
MIN_TARGET_FAULT_STATUS = 500


class Placement:
    """Chooses the targets of the calls at one entry proxy.

    Args:
        host: This proxy's host.
        domain: Its failure domain.
        rng: Draws versions and targets.
    """

    __slots__ = (
        "rng",
        "table",
        "endpoints",
        "balancer",
        "statements",
        "halted",
        "route_mean_us",
        "route_mean_bytes",
        "service_mean_us",
        "large_bytes",
        "domain_loads",
        "cost_per_kib",
    )

    def __init__(self, host: str, domain: str, rng: random.Random) -> None:
        self.rng = rng
        self.table: routing.RouteTable | None = None
        self.endpoints = routing.Endpoints()
        self.balancer = balancers.Balancer(domain, rng, host)
        self.statements = stated.Statements()
        self.halted: dict[str, frozenset[str]] = {}
        self.route_mean_us: dict[str, float] = {}
        self.route_mean_bytes: dict[str, float] = {}
        self.service_mean_us: dict[str, float] = {}
        self.large_bytes = bodies.LARGE_BYTES
        self.domain_loads = domain_loads.DomainLoads(domain)
        self.cost_per_kib = crossing.COST_PER_KIB

    def is_large(self, body: bytes) -> bool:
        """Return whether a body is sent to other hosts only on request."""
        return len(body) >= self.large_bytes

    def put_in_force(self, table: routing.RouteTable) -> None:
        """Switch to a new configuration and drop data of removed routes."""
        self.table = table
        names = {route.name for route in table.routes}
        for means in (self.route_mean_us, self.route_mean_bytes):
            for name in [n for n in means if n not in names]:
                del means[name]

    def records_changed(
        self, records: record_store.Records, now_ms: int
    ) -> None:
        """Rebuild the endpoints from the hosts' records."""
        self.endpoints.rebuild(records, self.table, now_ms)
        self.balancer.keep_only(self.endpoints.by_key)

    def usual_us(self, route: messages.Route) -> float:
        """Return the usual run time of a route's requests, 0 if unknown."""
        return self.route_mean_us.get(route.name, 0.0)

    def place(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> routing.Endpoint | None:
        """Return a target, and set whether the call may queue there.

        The body of a large call is not sent before the target's proxy accepts
        the call, so forwarding such a call again costs little.
        """
        costly = self._crossing_cost(live.route) >= COSTLY_CROSSING
        if costly and not self.is_large(live.call.body):
            return self._choose_costly(live, now_ms)
        return self._choose_by_forwarding(live, now_ms)

    def _choose_costly(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> routing.Endpoint | None:
        """Place a call whose bytes are costly to send to another domain.

        It may queue at a full local target that rejected it before. It always
        queues at a cross-domain target, since after a rejection there its
        bytes would cross between domains again.
        """
        endpoint = self.choose(live, live.tried, now_ms)
        live.may_queue = endpoint is not None and (
            self._is_cross_domain(endpoint)
            or endpoint.key in live.full_targets
        )
        return endpoint

    def _choose_by_forwarding(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> routing.Endpoint | None:
        """Place a call that costs little to forward again.

        It is forwarded a few times after full targets reject it, since this
        is likely to find a free one. Then it queues at the best target, which
        may be a full one.
        """
        live.may_queue = False
        if len(live.full_targets) < MAX_FULL_TARGETS:
            endpoint = self.choose(
                live, live.tried | live.full_targets, now_ms
            )
            if endpoint is not None:
                live.may_queue = self._would_cross_to_full(
                    live, endpoint, now_ms
                )
                return endpoint
        live.may_queue = True
        return self.choose(live, live.tried, now_ms)

    def _is_cross_domain(self, endpoint: routing.Endpoint) -> bool:
        return endpoint.domain != self.balancer.domain

    def _would_cross_to_full(
        self,
        live: live_calls.LiveCall,
        endpoint: routing.Endpoint,
        now_ms: int,
    ) -> bool:
        """Return whether another domain would probably reject a call again.

        In an overload all targets are full. Calls that are rejected in one
        failure domain after the other cross between domains more often than
        calls that queue, but are not answered in time more often.
        """
        return (
            self._is_cross_domain(endpoint)
            and bool(live.full_targets)
            and self.balancer.is_full(endpoint, now_ms)
        )

    def choose(
        self, live: live_calls.LiveCall, tried: set[str], now_ms: int
    ) -> routing.Endpoint | None:
        """Return a target of the drawn version, or of another as a fallback.

        If all targets of the drawn version are unavailable or shedding,
        callers still get an answer from another version with a share. While a
        move runs, the new version serves the old one's calls only if the old
        one has no target at all.
        """
        service = live.service
        if self.table is None or service not in self.table.shares:
            return None
        named_versions = {s.version for s in self.table.shares[service].shares}
        urgency = self._urgency(live, now_ms)
        full_domains = self.domain_loads.full_domains(service, now_ms)
        for version in self._versions(live):
            serving = self.statements.staying(
                self.endpoints.serving(
                    service, version, live.route.resource, named_versions
                )
            )
            endpoint = self.balancer.pick(
                [e for e in serving if e.domain not in full_domains],
                self.endpoints.first_seen_ms,
                tried=tried,
                now_ms=now_ms,
                urgency=urgency,
                remote_penalty_us=self._mean_kib(live.route)
                * REMOTE_US_PER_KIB,
                large=self.is_large(live.call.body),
            )
            if endpoint is not None:
                return endpoint
            if serving and not self.table.may_overflow(service, version):
                break
        return None

    def _versions(self, live: live_calls.LiveCall) -> list[str]:
        """Return the versions that may serve a call, the drawn one first.

        The version is drawn once for each call. If it were drawn again
        whenever a full target rejects the call, the new version of a service
        that is short of slots would receive many times its share.
        """
        halted = self.halted.get(live.service, frozenset())
        in_force = self.table.versions(live.service)
        if live.drawn_version not in in_force or live.drawn_version in halted:
            live.drawn_version = self.table.draw_version(
                live.service, self.rng, halted
            )
        others = [
            v for v in in_force if v != live.drawn_version and v not in halted
        ]
        return [live.drawn_version] + others

    def _urgency(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> crossing.Urgency:
        return crossing.Urgency(
            (live.due_at_ms - now_ms) * 1000,
            (live.deadline_at_ms - now_ms) * 1000,
            self._crossing_cost(live.route),
        )

    def _crossing_cost(self, route: messages.Route) -> float:
        """Return a call's cross-domain cost, in units of a timely answer."""
        return crossing.cross_domain_cost(
            self._mean_kib(route), self.cost_per_kib
        )

    def _mean_kib(self, route: messages.Route) -> float:
        """Return the mean KiB that a route's calls and answers carry."""
        return self.route_mean_bytes.get(route.name, 0.0) / 1024

    def note_answered(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        latency_us: int,
        now_ms: int,
    ) -> None:
        """Record an answer, with its time scaled to an average request.

        The run times of routes differ by a factor of several. Without the
        scaling, a target that got two long requests would look slow.
        """
        self._update_mean(
            self.route_mean_bytes,
            live.route.name,
            _carried_bytes(live, answer),
        )
        failed = answer.unusable or answer.status >= MIN_TARGET_FAULT_STATUS
        self.balancer.note_outcome(live.endpoint.key, failed, now_ms)
        took_us = answer.service_us or latency_us
        route_us = self._update_mean(
            self.route_mean_us, live.route.name, took_us
        )
        mean_us = self._update_mean(
            self.service_mean_us, live.service, took_us
        )
        self.balancer.answered(
            live.endpoint.key,
            took_us * mean_us / max(route_us, 1.0),
            -1 if answer.load is None else answer.load,
            now_ms,
            answer.usual_us or 0,
        )

    def _update_mean(
        self, means: dict[str, float], name: str, value: float
    ) -> float:
        mean = means.get(name, float(value))
        mean += MEAN_WEIGHT * (value - mean)
        means[name] = mean
        return mean


def _carried_bytes(live: live_calls.LiveCall, answer: messages.Answer) -> int:
    """Return the size of a call and its answer in bytes."""
    asked = len(live.call.headers) + len(live.call.body)
    return asked + len(answer.headers or b"") + len(answer.body or b"")
