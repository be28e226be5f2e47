"""The balancer: which target of a version gets a request.

It scores targets by what this proxy observes (requests in flight, latency,
refusals), scaled by their announced slots. It does not query health or load
pages, since these lag or mislead.
"""

import collections.abc
import dataclasses
import random

from trefoil_wire import messages

from . import crossing
from . import routing

LATENCY_WEIGHT = 0.12
# Used before any measurement. Only its ratio to the cross-domain penalty
# matters.
DEFAULT_LATENCY_US = 20_000.0
# A target without measurements is assumed to be slightly faster than the best
# one, so that it gets tried. Its load then limits how many requests follow.
UNSEEN_FACTOR = 0.8
# Penalty of a cross-domain target: the round trip to its failure domain, and a
# share of the run time.
CROSS_DOMAIN_US = 3000.0
# Round trip on idle links, plus the rounding error of times in milliseconds.
IDLE_TRANSIT_US = 4000
CROSS_DOMAIN_SHARE = 0.1
# Targets slow down as their slots fill.
FULL_LOAD_SLOWDOWN = 0.3
# A reported load loses its weight over this time.
LOAD_REPORT_TTL_MS = 2000
# About ten answers decide. At ten requests per second, a target that fails
# half of its answers is avoided within a second and used again once it
# recovers.
FAILURE_WEIGHT = 0.15
MIN_SUCCESS_RATE = 0.1
# A failing target gets too few requests to show its recovery, so its measured
# failure rate decays within seconds.
FAILURE_DECAY_MS = 3000
# The usual run time reported in an answer is newer than the one in the host's
# record for about as long as the record takes to be announced again.
USUAL_TIME_TTL_MS = 2000
MAX_COMPARED = 12
# Cross-domain targets are compared in case the local ones are full or slow.
# The more local ones are compared, the less traffic crosses domains.
MAX_LOCAL_COMPARED = 9
# Hedges leave a quarter of the slots to requests that were not sent before.
FREE_SLOTS_LOAD = 0.75
FULL_LOAD = 1.0
JITTER = 0.05
REFUSED_PAUSE_MS = 50
LOST_PAUSE_MS = 1000
MAX_LOST_PAUSE_MS = 10_000
LOSSES_BEFORE_PAUSE = 3
# Without a latency target, the earliest answer is the best.
NO_URGENCY = crossing.Urgency(1_000_000, 1_000_000)
SLOW_START_MS = 5000
MIN_START_SPEED = 0.1
# Targets that announce their warm-up take about twice as long while cold.
COLD_SPEED = 0.5


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What this proxy measured or received about a target.

    Args:
        running: Requests of this proxy that are in flight to it.
        latency_us: Its usual time for an average request; 0 if unknown.
        avoid_until_ms: Time until which it gets no requests.
        consecutive_losses: Answers in a row that did not arrive.
        other_load: Requests of other proxies there, as last reported.
        load_reported_ms: When its load was last reported.
        failure_rate: Share of its recent answers that failed, 0 to 1.
        last_failure_ms: When an answer of it last failed.
        usual_time_reported_ms: When its own proxy last reported its usual run
            time in an answer.
        bodies_busy_until_ms: Time until which large bodies occupy its host's
            link.
        link_wait_us: How long its latest answer and the request for it waited
            for links on the path.
        link_reported_ms: When that answer arrived.
        turn_after_ms: How long after its latest answer this proxy may ask it
            again, where it names a rate limit.
        turn_at_ms: When this proxy may ask it again.
    """

    running: int = 0
    latency_us: float = 0.0
    avoid_until_ms: int = 0
    consecutive_losses: int = 0
    other_load: int = 0
    load_reported_ms: int = 0
    failure_rate: float = 0.0
    last_failure_ms: int = 0
    usual_time_reported_ms: int = 0
    bodies_busy_until_ms: int = 0
    link_wait_us: int = 0
    link_reported_ms: int = 0
    turn_after_ms: int = 0
    turn_at_ms: int = 0


class Balancer:
    """Chooses among the targets of a version.

    Args:
        domain: This proxy's failure domain. Its targets are preferred while
            they can serve.
        rng: Draws the candidates that are compared.
        host: This proxy's host.
    """

    __slots__ = ("host", "domain", "rng", "stats", "unresponsive")

    def __init__(
        self, domain: str, rng: random.Random, host: str = ""
    ) -> None:
        self.host = host
        self.domain = domain
        self.rng = rng
        self.stats: dict[str, TargetStats] = {}
        self.unresponsive: set[str] = set()

    def pick(
        self,
        endpoints: collections.abc.Sequence[routing.Endpoint],
        first_seen_ms: collections.abc.Mapping[str, int],
        *,
        tried: collections.abc.Collection[str] = (),
        now_ms: int,
        urgency: crossing.Urgency = NO_URGENCY,
        remote_penalty_us: float = 0.0,
        large: bool = False,
    ) -> routing.Endpoint | None:
        """Return the target for a request, None if none can take it.

        Picks the target with the smallest expected loss for the caller;
        within one failure domain that is the one expected to answer first.
        Each answer reports its target's load, so proxies neither all send to
        the fastest target nor stay with a local one that is full.

        Args:
            endpoints: The targets to choose among.
            first_seen_ms: When each was first seen.
            tried: Keys of targets to leave out.
            now_ms: The time on the runtime's clock.
            urgency: How long the call can wait, and what it costs to send it
                to another failure domain.
            remote_penalty_us: How much earlier a target on another host must
                answer to be worth the bytes sent between the hosts.
            large: Whether the call's body has to queue for the link of
                another host.
        """
        candidates = [
            endpoint
            for endpoint in endpoints
            if endpoint.key not in tried
            and endpoint.host not in self.unresponsive
            and self.target_stats(endpoint.key).avoid_until_ms <= now_ms
        ]
        if len(candidates) > MAX_COMPARED:
            candidates = self._sample(candidates)
        if not candidates:
            return None
        unseen_us = self._unseen_latency_us(candidates, now_ms)

        def loss(endpoint: routing.Endpoint) -> float:
            expected_us = self._expected_us(
                endpoint, unseen_us, first_seen_ms, now_ms
            )
            expected_us += self._turn_wait_us(endpoint.key, now_ms)
            if endpoint.host != self.host:
                expected_us += remote_penalty_us
                expected_us += self.link_wait_us(endpoint.key, now_ms)
                if large:
                    expected_us += self._body_wait_us(endpoint, now_ms)
            expected_us *= self.rng.uniform(1 - JITTER, 1 + JITTER)
            return urgency.loss(
                expected_us, cross_domain=endpoint.domain != self.domain
            )

        return min(candidates, key=loss)

    def _body_wait_us(self, endpoint: routing.Endpoint, now_ms: int) -> float:
        until_ms = self.target_stats(endpoint.key).bodies_busy_until_ms
        return max(until_ms - now_ms, 0) * 1000.0

    def note_links(
        self, key: str, *, body_wait_ms: int, transit_us: int, now_ms: int
    ) -> None:
        """Record what an answer shows about the links to a target.

        Args:
            key: The target's key.
            body_wait_ms: How long large bodies wait for its host's link.
            transit_us: How long the answer and its request were in transit.
            now_ms: The time on the runtime's clock.
        """
        stats = self.target_stats(key)
        stats.bodies_busy_until_ms = now_ms + body_wait_ms
        stats.link_wait_us = max(transit_us - IDLE_TRANSIT_US, 0)
        stats.link_reported_ms = now_ms

    def note_limit(self, key: str, turn_after_ms: int, now_ms: int) -> None:
        """Record when this proxy may ask a target with a rate limit again.

        Args:
            key: The target's key.
            turn_after_ms: How long to wait, 0 without a limit.
            now_ms: The time on the runtime's clock.
        """
        stats = self.target_stats(key)
        stats.turn_after_ms = turn_after_ms
        stats.turn_at_ms = now_ms + turn_after_ms

    def _turn_wait_us(self, key: str, now_ms: int) -> float:
        """Return how long a call waits for this proxy's turn at a target."""
        return max(self.target_stats(key).turn_at_ms - now_ms, 0) * 1000.0

    def link_wait_us(self, key: str, now_ms: int) -> float:
        """Return how long a call to a target waits for links on its path.

        A target whose answers fill the link of its host still has free slots
        and short run times. If it were scored by these alone, it would get
        more and more calls, and its answers would queue behind each other.
        """
        stats = self.target_stats(key)
        age_ms = min(now_ms - stats.link_reported_ms, LOAD_REPORT_TTL_MS)
        return stats.link_wait_us * (1 - age_ms / LOAD_REPORT_TTL_MS)

    def set_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Exclude the targets of an unresponsive host, or readmit them."""
        if unresponsive:
            self.unresponsive.add(host)
        else:
            self.unresponsive.discard(host)

    def _sample(
        self, candidates: list[routing.Endpoint]
    ) -> list[routing.Endpoint]:
        """Return a sample of local and remote targets, to bound the work."""
        local = [e for e in candidates if e.domain == self.domain]
        local = self.rng.sample(local, min(len(local), MAX_LOCAL_COMPARED))
        remote = [e for e in candidates if e.domain != self.domain]
        remote_count = min(len(remote), MAX_COMPARED - len(local))
        return local + self.rng.sample(remote, remote_count)

    def _unseen_latency_us(
        self, candidates: list[routing.Endpoint], now_ms: int
    ) -> float:
        """Return the latency to assume for a target without measurements."""
        known = [
            self._latency_us(e, self.target_stats(e.key), now_ms)
            for e in candidates
        ]
        known = [latency_us for latency_us in known if latency_us]
        return min(known) * UNSEEN_FACTOR if known else DEFAULT_LATENCY_US

    def has_free_slots(self, endpoint: routing.Endpoint, now_ms: int) -> bool:
        """Return whether a target is estimated to have enough free slots."""
        return self._load(endpoint, now_ms) < FREE_SLOTS_LOAD

    def is_full(self, endpoint: routing.Endpoint, now_ms: int) -> bool:
        """Return whether all slots of a target are estimated to be in use."""
        return self._load(endpoint, now_ms) >= FULL_LOAD

    def _load(self, endpoint: routing.Endpoint, now_ms: int) -> float:
        """Return the estimated requests at a target, per slot.

        A target with a rate limit counts as full until this proxy's turn.
        """
        stats = self.target_stats(endpoint.key)
        if now_ms < stats.turn_at_ms:
            return FULL_LOAD
        slots = max(endpoint.target.slots, 1)
        age_ms = min(now_ms - stats.load_reported_ms, LOAD_REPORT_TTL_MS)
        other_load = stats.other_load * (1 - age_ms / LOAD_REPORT_TTL_MS)
        return (stats.running + other_load) / slots

    def target_stats(self, key: str) -> TargetStats:
        """Return the statistics of a target, created on first use."""
        stats = self.stats.get(key)
        if stats is None:
            stats = self.stats[key] = TargetStats()
        return stats

    def started(self, key: str, now_ms: int = 0) -> None:
        """Record that a request was sent to a target."""
        stats = self.target_stats(key)
        stats.running += 1
        if stats.turn_after_ms:
            stats.turn_at_ms = now_ms + stats.turn_after_ms

    def answered(
        self,
        key: str,
        latency_us: float,
        load: int = -1,
        now_ms: int = 0,
        usual_us: int = 0,
    ) -> None:
        """Record an answer.

        Args:
            key: The target's key.
            latency_us: Its latency, scaled to an average request.
            load: Requests that run or wait there, -1 if not reported.
            now_ms: The time on the runtime's clock.
            usual_us: Its usual run time as measured by its own proxy, which
                sees the requests of all proxies; 0 if not reported.
        """
        stats = self.target_stats(key)
        stats.running = max(stats.running - 1, 0)
        stats.consecutive_losses = 0
        if usual_us:
            stats.latency_us = usual_us
            stats.usual_time_reported_ms = now_ms
        elif not stats.latency_us:
            stats.latency_us = latency_us
        else:
            stats.latency_us += LATENCY_WEIGHT * (
                latency_us - stats.latency_us
            )
        self._note_load(stats, load, now_ms)

    def refused(
        self, key: str, now_ms: int, retry_after_ms: int, load: int = -1
    ) -> None:
        """Record that the target's proxy refused to run a request."""
        stats = self.target_stats(key)
        stats.running = max(stats.running - 1, 0)
        if retry_after_ms:
            pause = min(retry_after_ms, REFUSED_PAUSE_MS)
            stats.avoid_until_ms = now_ms + pause
        self._note_load(stats, load, now_ms)

    def note_outcome(self, key: str, failed: bool, now_ms: int) -> None:
        """Record whether a target's answer was a failure.

        Targets may fail some of their requests while they report themselves
        healthy, so only their answers reveal it.
        """
        stats = self.target_stats(key)
        if failed:
            stats.last_failure_ms = now_ms
        stats.failure_rate += FAILURE_WEIGHT * (failed - stats.failure_rate)

    def _note_load(self, stats: TargetStats, load: int, now_ms: int) -> None:
        if load >= 0:
            stats.other_load = max(load - stats.running, 0)
            stats.load_reported_ms = now_ms

    def lost(self, key: str, now_ms: int) -> None:
        """Record a request whose connection broke before its answer."""
        stats = self.target_stats(key)
        stats.running = max(stats.running - 1, 0)
        stats.consecutive_losses += 1
        pause = LOST_PAUSE_MS << min(stats.consecutive_losses - 1, 4)
        stats.avoid_until_ms = now_ms + min(pause, MAX_LOST_PAUSE_MS)

    def timed_out(self, key: str, now_ms: int) -> None:
        """Record a request that reached its deadline without an answer.

        A single one is weak evidence: in an overload all targets are late,
        and avoiding them would remove the remaining capacity. Several in a row
        without an answer in between mean that the target stopped answering.
        """
        stats = self.target_stats(key)
        stats.running = max(stats.running - 1, 0)
        self.note_outcome(key, True, now_ms)
        stats.consecutive_losses += 1
        if stats.consecutive_losses >= LOSSES_BEFORE_PAUSE:
            stats.avoid_until_ms = now_ms + LOST_PAUSE_MS

    def note_cancelled(self, key: str) -> None:
        """Record a request whose answer is no longer needed."""
        stats = self.target_stats(key)
        stats.running = max(stats.running - 1, 0)

    def keep_only(self, keys: collections.abc.Container[str]) -> None:
        """Drop the statistics of removed targets without open requests."""
        for key, stats in list(self.stats.items()):
            if key not in keys and not stats.running:
                del self.stats[key]

    def _speed(
        self,
        endpoint: routing.Endpoint,
        first_seen_ms: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> float:
        """Return a target's estimated speed, 1.0 once it is warm."""
        if endpoint.target.tells_warmup:
            cold = endpoint.target.state == messages.TargetState.COLD
            return COLD_SPEED if cold else 1.0
        age_ms = now_ms - first_seen_ms.get(endpoint.key, 0)
        return max(min(age_ms / SLOW_START_MS, 1.0), MIN_START_SPEED)

    def _latency_us(
        self, endpoint: routing.Endpoint, stats: TargetStats, now_ms: int
    ) -> float:
        """Return a target's usual run time, 0 if unknown.

        The value in the host's record is accurate to about a third and
        arrives within a second. A recent answer is more accurate.
        """
        reported_us = endpoint.target.usual_us or 0
        if (
            reported_us
            and now_ms - stats.usual_time_reported_ms > USUAL_TIME_TTL_MS
        ):
            return reported_us
        return stats.latency_us or reported_us

    def _cold_wait_us(self, endpoint: routing.Endpoint, ahead: float) -> float:
        """Return how long a call waits for a cold target's rate limit.

        A cold target gets a limited number of requests per second, whatever
        its number of slots.
        """
        cold = endpoint.target.state == messages.TargetState.COLD
        per_s = endpoint.target.cold_per_s or 0.0
        if not cold or not per_s:
            return 0.0
        return ahead * 1_000_000 / per_s

    def _expected_us(
        self,
        endpoint: routing.Endpoint,
        unseen_us: float,
        first_seen_ms: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> float:
        """Return when a target is expected to answer, in microseconds."""
        stats = self.target_stats(endpoint.key)
        slots = max(endpoint.target.slots, 1)
        load = self._load(endpoint, now_ms)
        queue_length = max(load + 1 / slots - 1, 0.0)
        service_us = self._latency_us(endpoint, stats, now_ms) or unseen_us
        service_us /= self._speed(endpoint, first_seen_ms, now_ms)
        slowdown = 1 + FULL_LOAD_SLOWDOWN * min(load, 1.0) ** 2
        # A failed request has to be sent again where that is allowed. The
        # factor is about two at one failure in three and nine at two in three.
        decay = (now_ms - stats.last_failure_ms) / FAILURE_DECAY_MS
        failure_rate = stats.failure_rate * max(1 - decay, 0.0)
        repeat_factor = 1 / max(1 - failure_rate, MIN_SUCCESS_RATE) ** 2
        total_us = service_us * (slowdown + queue_length) * repeat_factor
        total_us += self._cold_wait_us(endpoint, load * slots)
        if endpoint.domain != self.domain:
            total_us += CROSS_DOMAIN_US + CROSS_DOMAIN_SHARE * service_us
        return total_us
