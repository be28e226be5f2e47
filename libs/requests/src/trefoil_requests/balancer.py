"""The balancer: which target of a version gets a request.

It goes by what this proxy sees itself (requests running, latency, refusals);
announced slots scale it; health and load pages are not asked, since they lag
or mislead.
"""

import collections.abc
import dataclasses
import random

from trefoil_wire import messages

from . import routing

LATENCY_WEIGHT = 0.2
REFUSED_PAUSE_MS = 50
LOST_PAUSE_MS = 1000
LOST_PAUSE_MAX_MS = 10_000
SLOW_START_MS = 5000
MIN_START_WEIGHT = 0.1
# Targets that tell of their warm-up take about twice as long in it.
COLD_WEIGHT = 0.5
NEAR_FULL = 0.9


@dataclasses.dataclass(slots=True)
class Seen:
    """What this proxy has seen of a target."""

    running: int = 0
    latency_us: float = 1000.0
    avoid_until_ms: int = 0
    losses: int = 0


class Balancer:
    """Choice among the targets of a version.

    Args:
        domain: This proxy's failure domain, preferred while it can serve.
        rng: Draws the two candidates that are compared.
    """

    __slots__ = ("domain", "rng", "seen")

    def __init__(self, domain: str, rng: random.Random) -> None:
        self.domain = domain
        self.rng = rng
        self.seen: dict[str, Seen] = {}

    def pick(
        self,
        endpoints: collections.abc.Sequence[routing.Endpoint],
        first_seen_ms: collections.abc.Mapping[str, int],
        *,
        tried: collections.abc.Collection[str] = (),
        now_ms: int,
    ) -> routing.Endpoint | None:
        """Return the target for a request, None if none can take it.

        The better of two at random (Mitzenmacher, 2001): always taking the
        best would send every proxy's next request to the same target.
        """
        fit = [
            endpoint
            for endpoint in endpoints
            if endpoint.key not in tried
            and self.view(endpoint.key).avoid_until_ms <= now_ms
        ]
        if not fit:
            return None
        near = [e for e in fit if e.domain == self.domain]
        able = [e for e in near if self._load(e) < NEAR_FULL]
        pool = able or fit
        if len(pool) == 1:
            return pool[0]
        pair = self.rng.sample(pool, 2)
        return min(pair, key=lambda e: self._cost(e, first_seen_ms, now_ms))

    def view(self, key: str) -> Seen:
        """Return what was seen of a target."""
        seen = self.seen.get(key)
        if seen is None:
            seen = self.seen[key] = Seen()
        return seen

    def started(self, key: str) -> None:
        """Note a request on its way to a target."""
        self.view(key).running += 1

    def answered(self, key: str, latency_us: int) -> None:
        """Note an answer."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        seen.losses = 0
        seen.latency_us += LATENCY_WEIGHT * (latency_us - seen.latency_us)

    def refused(self, key: str, now_ms: int, retry_after_ms: int) -> None:
        """Note a refusal: the target's proxy did not run the request."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        pause = min(max(retry_after_ms, 1), REFUSED_PAUSE_MS)
        seen.avoid_until_ms = now_ms + pause

    def lost(self, key: str, now_ms: int) -> None:
        """Note a request whose answer never came."""
        seen = self.view(key)
        seen.running = max(seen.running - 1, 0)
        seen.losses += 1
        pause = LOST_PAUSE_MS << min(seen.losses - 1, 4)
        seen.avoid_until_ms = now_ms + min(pause, LOST_PAUSE_MAX_MS)

    def keep_only(self, keys: collections.abc.Container[str]) -> None:
        """Forget the targets that are gone and have nothing running."""
        for key, seen in list(self.seen.items()):
            if key not in keys and not seen.running:
                del self.seen[key]

    def _load(self, endpoint: routing.Endpoint) -> float:
        slots = max(endpoint.target.slots, 1)
        return self.view(endpoint.key).running / slots

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

    def _cost(
        self,
        endpoint: routing.Endpoint,
        first_seen_ms: collections.abc.Mapping[str, int],
        now_ms: int,
    ) -> float:
        """Return a target's expected wait, raised while it is cold."""
        seen = self.view(endpoint.key)
        slots = max(endpoint.target.slots, 1)
        warm = self._warmth(endpoint, first_seen_ms, now_ms)
        return (seen.running + 1) / (slots * warm) * seen.latency_us
