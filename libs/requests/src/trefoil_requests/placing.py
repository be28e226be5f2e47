"""Which target a call is sent to: version, failure domain, load and speed."""

import random

from trefoil_fleet import records as record_store
from trefoil_wire import messages

from . import balancer as balancers
from . import bodies
from . import crossing
from . import live as live_calls
from . import routing

# How many times a request is sent on from a full target before it waits at
# the next. With two, a free slot among a dozen targets is found nearly
# always; each costs a round trip between proxies.
MAX_FULL_TARGETS = 2
# A call that costs this part of an answer in time to send far is not sent far
# on trial.
COSTLY_CROSSING = 0.1
# What goes to another host passes both hosts' links. On links of 4 Mbit/s a
# KiB takes 2 ms on each; where they are filled by a burst, calls that stay on
# their host are what still gets through.
REMOTE_US_PER_KIB = 4000.0
# Some twenty calls: a route's usual work is known within seconds of its first
# call, and one long call does not make it look slow.
MEAN_WEIGHT = 0.05
# A target's own failures; what a caller did wrong (4xx) says nothing of it.
MIN_TARGET_FAULT_STATUS = 500


class Placement:
    """The choice of targets at one entry proxy.

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
        "halted",
        "route_means",
        "route_bytes",
        "service_means",
    )

    def __init__(self, host: str, domain: str, rng: random.Random) -> None:
        self.rng = rng
        self.table: routing.RouteTable | None = None
        self.endpoints = routing.Endpoints()
        self.balancer = balancers.Balancer(domain, rng, host)
        self.halted: dict[str, frozenset[str]] = {}
        self.route_means: dict[str, float] = {}
        self.route_bytes: dict[str, float] = {}
        self.service_means: dict[str, float] = {}

    def put_in_force(self, table: routing.RouteTable) -> None:
        """Place by a new configuration; forget what it no longer names."""
        self.table = table
        names = {route.name for route in table.routes}
        for means in (self.route_means, self.route_bytes):
            for name in [n for n in means if n not in names]:
                del means[name]

    def records_changed(
        self, records: record_store.Records, now_ms: int
    ) -> None:
        """Take in the hosts' records."""
        self.endpoints.rebuild(records, self.table, now_ms)
        self.balancer.keep_only(self.endpoints.by_key)

    def usual_us(self, route: messages.Route) -> float:
        """Return how long a route's requests run as a rule, 0 if unknown."""
        return self.route_means.get(route.name, 0.0)

    def place(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> routing.Endpoint | None:
        """Return a target, and settle whether a call may wait there.

        The body of a large call does not leave before the call is taken, so
        it costs little to send one on.
        """
        costly = self._crossing_cost(live.route) >= COSTLY_CROSSING
        if costly and not bodies.is_large(live.call.body):
            return self._choose_costly(live, now_ms)
        return self._choose_by_forwarding(live, now_ms)

    def _choose_costly(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> routing.Endpoint | None:
        """Place a call whose bytes are costly to send far.

        It may go back to the queue of a full near target, and waits at the
        far one that it is sent to: refused there, it would cross once more.
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
        """Place a call that costs little to send on.

        It is sent on from full targets a few times, since one that is free
        is likely to be found. Then it waits at the one that looks best, full
        ones among them.
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
        """Tell whether a call would go far to be refused once more.

        In an overload all targets are full. Calls that are refused in other
        failure domains, one after the other, cross between them more often
        and are in time no more often than those that wait.
        """
        return (
            self._is_cross_domain(endpoint)
            and bool(live.full_targets)
            and self.balancer.is_full(endpoint, now_ms)
        )

    def choose(
        self, live: live_calls.LiveCall, tried: set[str], now_ms: int
    ) -> routing.Endpoint | None:
        """Return a target of the drawn version, else of another in force.

        The other versions are a fallback: a version whose targets are all
        away or shedding must not cost callers an answer that another
        version with a share can give. While a move runs, a version on trial
        stands in only for one without any target.
        """
        service = live.service
        if self.table is None or service not in self.table.shares:
            return None
        named_versions = {s.version for s in self.table.shares[service].shares}
        urgency = self._urgency(live, now_ms)
        for version in self._versions(live):
            serving = self.endpoints.serving(
                service, version, live.route.resource, named_versions
            )
            endpoint = self.balancer.pick(
                serving,
                self.endpoints.first_seen_ms,
                tried=tried,
                now_ms=now_ms,
                urgency=urgency,
                remote_penalty_us=self._mean_kib(live.route)
                * REMOTE_US_PER_KIB,
                large=bodies.is_large(live.call.body),
            )
            if endpoint is not None:
                return endpoint
            if serving and not self.table.may_overflow(service, version):
                break
        return None

    def _versions(self, live: live_calls.LiveCall) -> list[str]:
        """Return the versions that may serve a call, the drawn one first.

        One is drawn once for each call. Drawn anew whenever a full target
        sends the call on, a version on trial would meet many times its
        share of a service that is short of slots.
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
    ) -> crossing.Hurry:
        return crossing.Hurry(
            (live.aim_at_ms - now_ms) * 1000,
            (live.deadline_at_ms - now_ms) * 1000,
            self._crossing_cost(live.route),
        )

    def _crossing_cost(self, route: messages.Route) -> float:
        """Return what it costs to send a call far, in answers in time."""
        return crossing.cost(self._mean_kib(route))

    def _mean_kib(self, route: messages.Route) -> float:
        """Return how much a route's calls carry as a rule, both ways."""
        return self.route_bytes.get(route.name, 0.0) / 1024

    def note_answered(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        latency_us: int,
        now_ms: int,
    ) -> None:
        """Tell the balancer how long an average request takes there.

        Routes differ in their work several times over; compared as they
        are, a target that got two long requests would look slow.
        """
        self._update_mean(
            self.route_bytes, live.route.name, _carried_bytes(live, answer)
        )
        failed = answer.unusable or answer.status >= MIN_TARGET_FAULT_STATUS
        self.balancer.note_outcome(live.endpoint.key, failed, now_ms)
        took_us = answer.service_us or latency_us
        route_us = self._update_mean(
            self.route_means, live.route.name, took_us
        )
        mean_us = self._update_mean(self.service_means, live.service, took_us)
        self.balancer.answered(
            live.endpoint.key,
            took_us * mean_us / max(route_us, 1.0),
            -1 if answer.load is None else answer.load,
            now_ms,
            answer.usual_us or 0,
        )

    def _update_mean(
        self, means: dict[str, float], name: str, took_us: float
    ) -> float:
        mean = means.get(name, float(took_us))
        mean += MEAN_WEIGHT * (took_us - mean)
        means[name] = mean
        return mean


def _carried_bytes(live: live_calls.LiveCall, answer: messages.Answer) -> int:
    """Return how many bytes a call and its answer carry."""
    asked = len(live.call.headers) + len(live.call.body)
    return asked + len(answer.headers or b"") + len(answer.body or b"")
