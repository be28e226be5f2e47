"""Simulated fleet whose targets name rate limits and departures.

Arrivals are counted at the targets, over all hosts where their requests
began. No single proxy observes that sum.
"""

import dataclasses
import typing

from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import notices
from trefoil_requests import target_side
from trefoil_wire import messages

from . import core_fleet
from . import troubled_fleet

WINDOW_MS = 4000
# Time from the first naming of a limit until it has to hold.
SETTLING_MS = 3000
# A host counts from this long after it passed on an answer with the limit.
TOLD_MS = 500
DRAIN_MS = 2000
OVERAGE = 1.5
SLACK_REQUESTS = 5
PUBLISH_MS = 100
ROUNDING = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached a target.

    Args:
        at_ms: When it arrived.
        origin: Host where it began.
        told: Whether that host had passed on the target's limit before.
    """

    at_ms: float
    origin: str
    told: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NamedFrom:
    """A limit that a target names from some time on; None for none."""

    from_ms: float
    per_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The end of one attempt of a caller.

    Args:
        served: Whether it was answered with success.
        in_time: Whether that was within the latency target, counted from the
            caller's first attempt.
    """

    served: bool
    in_time: bool


@dataclasses.dataclass(slots=True)
class LimitedTarget:
    """What a target states, and what reached it.

    Args:
        named: Its limits, in the order in which it named them.
        leaving: Whether its answers state that it is leaving.
        arrivals: Requests that reached it.
        told_ms: When each host passed on an answer with its limit.
        parted_ms: When each host passed on an answer with its departure.
        after_departure: Hosts of requests that reached it although they were
            sent too long after their host had learned of its departure.
    """

    named: list[NamedFrom] = dataclasses.field(default_factory=list)
    leaving: bool = False
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    told_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    parted_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    after_departure: list[str] = dataclasses.field(default_factory=list)

    @property
    def per_s(self) -> float | None:
        """Return the limit that it names now."""
        return self.named[-1].per_s if self.named else None

    def excess(self) -> float:
        """Return the most requests above the allowed number in a window."""
        if not self.named:
            return 0.0
        start_ms = self.named[0].from_ms + SETTLING_MS
        told = [a.at_ms for a in self.arrivals if a.told]
        worst = 0.0
        first = 0
        for index, at_ms in enumerate(told):
            while told[first] <= at_ms - WINDOW_MS:
                first += 1
            if at_ms >= start_ms:
                count = index - first + 1
                worst = max(worst, count - self._allowed(at_ms) - ROUNDING)
        return worst

    def _allowed(self, until_ms: float) -> float:
        """Return the requests allowed in the window that ends at a time."""
        from_ms = until_ms - WINDOW_MS
        named_requests = 0.0
        ends = [named.from_ms for named in self.named[1:]] + [until_ms]
        for named, end_ms in zip(self.named, ends):
            if named.per_s is None:
                # Without a limit, no number of requests is too many.
                overlap_ms = min(end_ms, until_ms) - max(
                    named.from_ms, from_ms
                )
                if overlap_ms > 0:
                    return float("inf")
                continue
            begin_ms = max(named.from_ms, from_ms)
            lasts_ms = max(min(end_ms, until_ms) - begin_ms, 0.0)
            named_requests += named.per_s * lasts_ms / 1000
        if from_ms < self.named[0].from_ms:
            return float("inf")
        return OVERAGE * named_requests + SLACK_REQUESTS


class LimitedFleet(troubled_fleet.FaultyFleet):
    """Simulated hosts whose targets may name limits and departures."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        self.limited: dict[str, LimitedTarget] = {}
        self.stated: dict[int, notices.Notice] = {}
        self.began: dict[int, float] = {}
        self.refused_remotely = 0
        self.ended: list[Ended] = []
        super().__init__(*args, **options)
        self._publish()

    def name_limit(self, name: str, per_s: float | None) -> None:
        """Let the target of a host name a limit from now on, or none."""
        self._limited(name).named.append(NamedFrom(self.now_ms, per_s))

    def leave(self, name: str) -> None:
        """Let the target of a host state that it is leaving."""
        self._limited(name).leaving = True

    def excesses(self) -> dict[str, float]:
        """Return the targets that got too many requests, with the excess."""
        found = {name: t.excess() for name, t in self.limited.items()}
        return {name: excess for name, excess in found.items() if excess > 0}

    def late_arrivals(self) -> dict[str, list[str]]:
        """Return targets that got requests after their departure was known."""
        return {
            name: target.after_departure
            for name, target in self.limited.items()
            if target.after_departure
        }

    def arrivals_since(self, name: str, since_ms: float) -> int:
        """Return how many requests reached a target since some time."""
        return sum(
            arrival.at_ms >= since_ms
            for arrival in self._limited(name).arrivals
        )

    def restart(self, name: str) -> None:
        """Kill and restart a host's proxy, which excuses its callers."""
        self._excuse(name)
        super().restart(name)

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a host, which excuses its callers."""
        self._excuse(name)
        super().pause(name, duration_ms)

    def resume(self, name: str) -> None:
        """Resume a host."""
        self._excuse(name)
        super().resume(name)

    def _excuse(self, name: str) -> None:
        for target in self.limited.values():
            target.told_ms.pop(name, None)
            target.parted_ms.pop(name, None)

    def _limited(self, name: str) -> LimitedTarget:
        return self.limited.setdefault(name, LimitedTarget())

    # Between the hosts

    def _publish(self) -> None:
        """Exchange the records of hosts whose targets have changed."""
        for name, host in self.hosts.items():
            if name not in self.paused:
                self._publish_host(name, host)
        self._schedule_after(PUBLISH_MS, self._publish)

    def _publish_host(self, name: str, host: core_fleet.Host) -> None:
        record = self.known[name].get(name)
        now_ms = int(self.now_ms)
        advertised = [
            host.targets.advertised_record(target.name, now_ms)
            for target in record.targets
        ]
        if advertised == record.targets or None in advertised:
            return
        changed = messages.HostRecord(
            record.host,
            record.domain,
            record.region,
            record.address,
            record.incarnation,
            record.sequence + 1,
            record.state,
            advertised,
        )
        for other in self.hosts:
            if self.known[other].get(name) is not None:
                self.known[other].put(changed, now_ms)
                self._deliver(other, lambda o=other: self._apply_records(o))

    def _send_answer(
        self, host: core_fleet.Host, effect: effects.Reply
    ) -> None:
        answer = effect.answer
        is_local = effect.origin == troubled_fleet.LOCAL
        origin = host.name if is_local else effect.origin
        notice = self.stated.pop(answer.request_id, None)
        is_limited = answer.reason == target_side.LIMITED
        if is_limited and origin != host.name:
            self.refused_remotely += 1
        if notice is not None:
            self._hop(
                host.name, origin, lambda: self._told(host, origin, notice)
            )
        super()._send_answer(host, effect)

    def _told(
        self, host: core_fleet.Host, origin: str, notice: notices.Notice
    ) -> None:
        """Record that a host passes on an answer with a notice."""
        target = self._limited(host.name)
        if notice.limit_per_s is not None:
            target.told_ms.setdefault(origin, self.now_ms)
        if notice.leaving:
            target.parted_ms.setdefault(origin, self.now_ms)

    # Callers and targets

    def _finish_call(self, host: core_fleet.Host, final: calls.Final) -> None:
        caller = host.calls.get(final.call_id)
        if caller is not None:
            served = final.status == core_fleet.OK
            took_ms = self.now_ms - caller.created_ms
            in_time = took_ms <= caller.kind.latency_target_ms
            self.ended.append(Ended(served, served and in_time))
        super()._finish_call(host, final)

    def _send_request(
        self, caller: troubled_fleet.Caller, name: str = ""
    ) -> None:
        super()._send_request(caller, name)
        number = next(reversed(self.attempts))
        self.began[number] = self.now_ms

    def _run_request(
        self, host: core_fleet.Host, request: messages.Request
    ) -> None:
        origin = host.targets.running[request.request_id].origin
        origin = host.name if origin == troubled_fleet.LOCAL else origin
        target = self._limited(host.name)
        told_ms = target.told_ms.get(origin)
        target.arrivals.append(
            Arrival(
                self.now_ms,
                origin,
                told_ms is not None and self.now_ms >= told_ms + TOLD_MS,
            )
        )
        parted_ms = target.parted_ms.get(origin)
        number = int(request.path.rpartition("/")[2])
        if parted_ms is not None:
            if self.began.get(number, 0.0) > parted_ms + DRAIN_MS:
                target.after_departure.append(origin)
        super()._run_request(host, request)

    def _notice(
        self, host: core_fleet.Host, request: messages.Request
    ) -> notices.Notice:
        target = self._limited(host.name)
        notice = notices.Notice(target.per_s, target.leaving)
        self.stated[request.request_id] = notice
        return notice
