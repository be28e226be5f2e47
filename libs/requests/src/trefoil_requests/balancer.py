"""The balancer: which target of a version gets a request.

It goes by what this proxy sees itself (requests running, latency, refusals);
announced slots scale it; health and load pages are not asked, since they lag
or mislead.
"""

import collections.abc
import dataclasses
import random

from trefoil_wire import messages

from . import crossing as cross_domain
from . import routing

LATENCY_WEIGHT = 0.12
# Before anything was seen; only its relation to the far penalty counts.
FIRST_LATENCY_US = 20_000.0
# A target not seen yet is thought a little better than the best, so that it
# is tried; what runs there already holds the others back.
NEWCOMER_FACTOR = 0.8
# A hop to another failure domain and back.
FAR_US = 3000.0
# A way there and back on idle links, and what milliseconds round off.
IDLE_WAY_US = 4000
FAR_SHARE = 0.1
# Targets slow down as they fill.
CROWDED_SHARE = 0.3
# What a target told of its load says little after this.
LOAD_FADES_MS = 2000
# Ten answers decide: what fails half of its answers is avoided within a
# second at ten requests a second, and found again as it recovers.
FAILING_WEIGHT = 0.15
LEAST_WORKING = 0.1
# A failing target gets too few requests to show that it works again; what
# was seen of it fades within seconds.
FAILING_FADES_MS = 3000
# An answer's word on its target's usual time is newer than the record's for
# about as long as the record's takes to be told anew.
PACE_FADES_MS = 2000
MOST_COMPARED = 12
# Far targets are compared for the case that the near ones are full or slow;
# the more near ones are looked at, the less goes between failure domains.
MOST_NEAR = 9
# A quarter of the slots is left for requests that were not sent before.
ROOM = 0.75
JITTER = 0.05
REFUSED_PAUSE_MS = 50
LOST_PAUSE_MS = 1000
LOST_PAUSE_MAX_MS = 10_000
SILENT_LOSSES = 3
# Where the caller's aim is not told, the soonest answer is the best.
NO_URGENCY = cross_domain.Urgency(1_000_000, 1_000_000)
SLOW_START_MS = 5000
MIN_START_WEIGHT = 0.1
# Targets that tell of their warm-up take about twice as long in it.
COLD_WEIGHT = 0.5


@dataclasses.dataclass(slots=True)
class Seen:
    """What this proxy has seen of a target.

    Args:
        running: Requests of this proxy that wait for its answer.
        latency_us: Its usual time for an average request; 0 if unknown.
        avoid_until_ms: Until when it gets nothing.
        losses: Answers in a row that never came.
        others: Requests of other proxies there, when it last told.
        told_ms: When that was.
        failing: Part of its latest answers that failed, 0 to 1.
        failed_ms: When one last did.
        paced_ms: When its own proxy last told its usual time in an answer.
        bodies_until_ms: Until when its host's link is taken by large bodies.
        link_wait_us: How long its latest answer and its request waited for
            the links on their way.
        link_told_ms: When that answer came.
    """

    running: int = 0
    latency_us: float = 0.0
    avoid_until_ms: int = 0
    losses: int = 0
    others: int = 0
    told_ms: int = 0
    failing: float = 0.0
    failed_ms: int = 0
    paced_ms: int = 0
    bodies_until_ms: int = 0
    link_wait_us: int = 0
    link_told_ms: int = 0


class Balancer:
    """Choice among the targets of a version.

    Args:
        domain: This proxy's failure domain, preferred while it can serve.
        rng: Draws the candidates that are compared.
        host: This proxy's host.
    """

    __slots__ = ("host", "domain", "rng", "seen", "doubted")

    def __init__(
        self, domain: str, rng: random.Random, host: str = ""
    ) -> None:
        self.host = host
        self.domain = domain
        self.rng = rng
        self.seen: dict[str, Seen] = {}
        self.doubted: set[str] = set()

    def pick(
        self,
        endpoints: collections.abc.Sequence[routing.Endpoint],
        first_seen_ms: collections.abc.Mapping[str, int],
        *,
        tried: collections.abc.Collection[str] = (),
        now_ms: int,
        urgency: cross_domain.Urgency = NO_URGENCY,
        away_us: float = 0.0,
        large: bool = False,
    ) -> routing.Endpoint | None:
        """Return the target for a request, None if none can take it.

        The one that loses its caller least: among near ones the one that is
        expected to answer first. Proxies hear of a target's load with each
        answer, so that they neither pile up on the fastest nor keep to a
        near one that is full.

        Args:
            endpoints: The targets to choose among.
            first_seen_ms: When each was first seen.
            tried: Targets that are left out.
            now_ms: The time on the runtime's clock.
            hurry: How long the call can wait, and what it costs to send it
                to another failure domain.
            away_us: How much sooner a target of another host must answer to
                be worth the bytes between them.
            large: Whether the call's body waits for its turn on the link of
                another host.
        """
        fit = [
            endpoint
            for endpoint in endpoints
            if endpoint.key not in tried
            and endpoint.host not in self.doubted
            and self.view(endpoint.key).avoid_until_ms <= now_ms
        ]
        if len(fit) > MOST_COMPARED:
            fit = self._some(fit)
        if not fit:
            return None
        usual_us = self._usual_us(fit, now_ms)

        def loss(endpoint: routing.Endpoint) -> float:
            expected_us = self._cost(endpoint, usual_us, first_seen_ms, now_ms)
            if endpoint.host != self.host:
                expected_us += away_us
                expected_us += self.link_wait_us(endpoint.key, now_ms)
                if large:
                    expected_us += self._body_wait_us(endpoint, now_ms)
            expected_us *= self.rng.uniform(1 - JITTER, 1 + JITTER)
            return urgency.loss(
                expected_us, far=endpoint.domain != self.domain
            )

        return min(fit, key=loss)

    def _body_wait_us(self, endpoint: routing.Endpoint, now_ms: int) -> float:
        until_ms = self.view(endpoint.key).bodies_until_ms
        return max(until_ms - now_ms, 0) * 1000.0

    def note_links(
        self, key: str, *, body_wait_ms: int, way_us: int, now_ms: int
    ) -> None:
        """Note what an answer tells of the links to a target.

        Args:
            key: The target.
            body_wait_ms: How long large bodies wait for its host's link.
            way_us: How long the answer and its request were on the way.
            now_ms: The time on the runtime's clock.
        """
        seen = self.view(key)
        seen.bodies_until_ms = now_ms + body_wait_ms
        seen.link_wait_us = max(way_us - IDLE_WAY_US, 0)
        seen.link_told_ms = now_ms

    def link_wait_us(self, key: str, now_ms: int) -> float:
        """Return how long a call to a target waits for links on its way.

        A target whose answers fill the link of its host has free slots and
        works fast. By these alone it would get more and more calls, and its
        answers would wait for each other.
        """
        seen = self.view(key)
        age_ms = min(now_ms - seen.link_told_ms, LOAD_FADES_MS)
        return seen.link_wait_us * (1 - age_ms / LOAD_FADES_MS)

    def doubt(self, host: str, doubted: bool) -> None:
        """Leave the targets of a host out, or take them in again."""
        if doubted:
            self.doubted.add(host)
        else:
            self.doubted.discard(host)

    def _some(self, fit: list[routing.Endpoint]) -> list[routing.Endpoint]:
        """Return the near targets and a few others, to bound the work."""
        near = [e for e in fit if e.domain == self.domain]
        near = self.rng.sample(near, min(len(near), MOST_NEAR))
        far = [e for e in fit if e.domain != self.domain]
        room = min(len(far), MOST_COMPARED - len(near))
        return near + self.rng.sample(far, room)

    def _usual_us(self, fit: list[routing.Endpoint], now_ms: int) -> float:
        """Return the latency to expect of a target not seen yet."""
        known = [self._known_us(e, self.view(e.key), now_ms) for e in fit]
        known = [latency_us for latency_us in known if latency_us]
        return min(known) * NEWCOMER_FACTOR if known else FIRST_LATENCY_US

    def has_room(self, endpoint: routing.Endpoint, now_ms: int) -> bool:
        """Tell whether a target is thought to have slots to spare."""
        return self._load(endpoint, now_ms) < ROOM

    def is_full(self, endpoint: routing.Endpoint, now_ms: int) -> bool:
        """Tell whether all slots of a target are thought to be taken."""
        return self._load(endpoint, now_ms) >= 1.0

    def _load(self, endpoint: routing.Endpoint, now_ms: int) -> float:
        """Return the part of a target's slots that is in use or wanted."""
        seen = self.view(endpoint.key)
        slots = max(endpoint.target.slots, 1)
        age_ms = min(now_ms - seen.told_ms, LOAD_FADES_MS)
        others = seen.others * (1 - age_ms / LOAD_FADES_MS)
        return (seen.running + others) / slots

    def view(self, key: str) -> Seen:
        """Return what was seen of a target."""
        seen = self.seen.get(key)
        if seen is None:
            seen = self.seen[key] = Seen()
        return seen

    def started(self, key: str) -> None:
        """Note a request on its way to a target."""
        self.view(key).running += 1

    def answered(
        self,
        key: str,
        latency_us: float,
        load: int = -1,
        now_ms: int = 0,
        usual_us: int = 0,
    ) -> None:
        """Note an answer.

        Args:
            key: The target.
            latency_us: Its time, as if for an average request.
            load: Requests that run or wait there, -1 if not told.
            now_ms: The time on the runtime's clock.
            usual_us: Its usual time as its own proxy measured it, which saw
                the requests of all proxies; 0 if not told.
        """
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        seen.losses = 0
        if usual_us:
            seen.latency_us = usual_us
            seen.paced_ms = now_ms
        elif not seen.latency_us:
            seen.latency_us = latency_us
        else:
            seen.latency_us += LATENCY_WEIGHT * (latency_us - seen.latency_us)
        self._note_load(seen, load, now_ms)

    def refused(
        self, key: str, now_ms: int, retry_after_ms: int, load: int = -1
    ) -> None:
        """Note a refusal: the target's proxy did not run the request."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        if retry_after_ms:
            pause = min(retry_after_ms, REFUSED_PAUSE_MS)
            seen.avoid_until_ms = now_ms + pause
        self._note_load(seen, load, now_ms)

    def judged(self, key: str, failed: bool, now_ms: int) -> None:
        """Note whether a target did what it was asked.

        Targets may fail part of their requests while they say that they
        are well; only their answers show it.
        """
        seen = self.view(key)
        if failed:
            seen.failed_ms = now_ms
        seen.failing += FAILING_WEIGHT * (failed - seen.failing)

    def _note_load(self, seen: Seen, load: int, now_ms: int) -> None:
        if load >= 0:
            seen.others = max(load - seen.running, 0)
            seen.told_ms = now_ms

    def lost(self, key: str, now_ms: int) -> None:
        """Note a request whose answer never came."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        seen.losses += 1
        pause = LOST_PAUSE_MS << min(seen.losses - 1, 4)
        seen.avoid_until_ms = now_ms + min(pause, LOST_PAUSE_MAX_MS)

    def timed_out(self, key: str, now_ms: int) -> None:
        """Note a request that was given up at its deadline.

        One alone says little: in an overload all targets are late, and to
        leave them alone would take the rest of the capacity away. Some in a
        row without an answer in between are a target that went silent.
        """
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        self.judged(key, True, now_ms)
        seen.losses += 1
        if seen.losses >= SILENT_LOSSES:
            seen.avoid_until_ms = now_ms + LOST_PAUSE_MS

    def given_up(self, key: str) -> None:
        """Note a request whose answer nobody needs any more."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)

    def keep_only(self, keys: collections.abc.Container[str]) -> None:
        """Forget the targets that are gone and have nothing running."""
        for key, seen in list(self.seen.items()):
            if key not in keys and not seen.running:
                del self.seen[key]

    def _warmth(
        self,
        endpoint: routing.Endpoint,
        first_seen_ms: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> float:
        """Return the part of its speed that a target is thought to have."""
        if endpoint.target.tells_warmup:
            cold = endpoint.target.state == messages.TargetState.COLD
            return COLD_WEIGHT if cold else 1.0
        age_ms = now_ms - first_seen_ms.get(endpoint.key, 0)
        return max(min(age_ms / SLOW_START_MS, 1.0), MIN_START_WEIGHT)

    def _known_us(
        self, endpoint: routing.Endpoint, seen: Seen, now_ms: int
    ) -> float:
        """Return a target's usual time, 0 if nothing is known of it.

        What its record tells is good to a third and travels within a
        second; a recent answer knows better.
        """
        told_us = endpoint.target.usual_us or 0
        if told_us and now_ms - seen.paced_ms > PACE_FADES_MS:
            return told_us
        return seen.latency_us or told_us

    def _paced_us(self, endpoint: routing.Endpoint, ahead: float) -> float:
        """Return how long a call waits for a cold target's next turn.

        A cold target gets some requests a second, however many slots it has.
        """
        cold = endpoint.target.state == messages.TargetState.COLD
        per_s = endpoint.target.cold_per_s or 0.0
        if not cold or not per_s:
            return 0.0
        return ahead * 1_000_000 / per_s

    def _cost(
        self,
        endpoint: routing.Endpoint,
        usual_us: float,
        first_seen_ms: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> float:
        """Return when a target is expected to answer, in microseconds."""
        seen = self.view(endpoint.key)
        slots = max(endpoint.target.slots, 1)
        load = self._load(endpoint, now_ms)
        wait = max(load + 1 / slots - 1, 0.0)
        service_us = self._known_us(endpoint, seen, now_ms) or usual_us
        service_us /= self._warmth(endpoint, first_seen_ms, now_ms)
        crowded = 1 + CROWDED_SHARE * min(load, 1.0) ** 2
        # A request that fails has to be asked again, if it may: twice the
        # time at one failure in three, nine times at two in three.
        faded = (now_ms - seen.failed_ms) / FAILING_FADES_MS
        failing = seen.failing * max(1 - faded, 0.0)
        again = 1 / max(1 - failing, LEAST_WORKING) ** 2
        cost_us = service_us * (crowded + wait) * again
        cost_us += self._paced_us(endpoint, load * slots)
        if endpoint.domain != self.domain:
            cost_us += FAR_US + FAR_SHARE * service_us
        return cost_us
