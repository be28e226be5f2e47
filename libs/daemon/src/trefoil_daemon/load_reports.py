"""Tells and hears how loaded the failure domains are."""

import typing

from trefoil_requests import mean_load
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process
    from . import proxy_process

# Loads follow bursts of seconds.
REPORT_INTERVAL_MS = 200
TELL_INTERVAL_MS = 250
# A report without a change is repeated before others forget it.
REPEAT_MS = 600
# Smaller changes per slot decide nothing.
NOTABLE_CHANGE = 0.04
# A host that has not reported for this long is gone.
REPORT_LIFETIME_MS = 1500
# Links from this rate on carry what crosses without a word.
NARROW_LINK_MBPS = 10.0


class LoadReporter:
    """Reports the load of a proxy's targets to its control host.

    Args:
        process: The proxy process.
    """

    __slots__ = ("process", "mean", "next_ms", "reported_ms", "reported")

    def __init__(self, process: "proxy_process.ProxyProcess") -> None:
        self.process = process
        self.mean = mean_load.MeanLoad()
        self.next_ms = 0
        self.reported_ms = 0
        self.reported: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether this host's link is narrow."""
        return 0 < self.process.settings.link_mbps < NARROW_LINK_MBPS

    def tick(self, now_ms: int) -> None:
        """Measure, and report a notable change."""
        if not self.is_enabled:
            return
        self.mean.measure(self.process.targets.targets.values(), now_ms)
        if now_ms < self.next_ms:
            return
        self.next_ms = now_ms + REPORT_INTERVAL_MS
        loads = list(self.mean.by_service.values())
        per_slot = {
            load.service_name: load.load / max(load.slots, 1) for load in loads
        }
        due = now_ms >= self.reported_ms + REPEAT_MS
        peer = self.process.node.report_peer
        if peer and (due or _differs(per_slot, self.reported)):
            self.reported_ms = now_ms
            self.reported = per_slot
            report = messages.LoadReport(self.process.settings.domain, loads)
            self.process.driver.link_send(peer, report)


def _differs(now: dict[str, float], before: dict[str, float]) -> bool:
    """Return whether loads per slot differ notably."""
    if now.keys() != before.keys():
        return True
    return any(
        abs(load - before[name]) >= NOTABLE_CHANGE
        for name, load in now.items()
    )


class LoadRelay:
    """Adds up the reports of proxies and passes the sums on.

    Args:
        process: The control process.
    """

    __slots__ = (
        "process",
        "reports",
        "reported_ms",
        "peers",
        "next_ms",
        "told",
    )

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        self.reports: dict[str, messages.LoadReport] = {}
        self.reported_ms: dict[str, int] = {}
        self.peers: dict[str, list[messages.DomainLoad]] = {}
        self.next_ms = 0
        self.told: dict[str, float] = {}

    def on_report(self, host: str, report: messages.LoadReport) -> None:
        """Keep the newest report of a proxy."""
        self.reports[host] = report
        self.reported_ms[host] = self.process.clock.now_ms()

    def on_loads(self, host: str, loads: messages.DomainLoads) -> None:
        """Keep the newest sums of another control host."""
        self.peers[host] = loads.domains
        self.reported_ms[host] = self.process.clock.now_ms()

    def tick(self, now_ms: int) -> None:
        """Tell the sums to other control hosts, and all of them to proxies."""
        if now_ms < self.next_ms or not (self.reports or self.peers):
            return
        self.next_ms = now_ms + TELL_INTERVAL_MS
        self._forget_old(now_ms)
        own = self._sums()
        links = self.process.node.links.values()
        self._tell_controls(own, [li.host for li in links if li.control])
        every = [load for loads in self.peers.values() for load in loads]
        loads = messages.DomainLoads(own + every)
        for link in links:
            if not link.control and loads.domains:
                self.process.driver.link_send(link.host, loads)

    def _tell_controls(
        self, own: list[messages.DomainLoad], controls: list[str]
    ) -> None:
        per_slot = {
            f"{domain.domain}/{load.service_name}": load.load
            / max(load.slots, 1)
            for domain in own
            for load in domain.services
        }
        repeat = self.next_ms % REPEAT_MS < TELL_INTERVAL_MS
        if own and (repeat or _differs(per_slot, self.told)):
            self.told = per_slot
            for name in controls:
                loads = messages.DomainLoads(own)
                self.process.driver.link_send(name, loads)

    def _sums(self) -> list[messages.DomainLoad]:
        sums: dict[str, dict[str, messages.ServiceLoad]] = {}
        for report in self.reports.values():
            services = sums.setdefault(report.domain, {})
            for load in report.services:
                name = load.service_name
                total = services.setdefault(
                    name, messages.ServiceLoad(name, 0.0, 0)
                )
                total.load += load.load
                total.slots += load.slots
        control = self.process.settings.host
        return [
            messages.DomainLoad(control, domain, list(services.values()))
            for domain, services in sorted(sums.items())
        ]

    def _forget_old(self, now_ms: int) -> None:
        for host, reported_ms in list(self.reported_ms.items()):
            if now_ms >= reported_ms + REPORT_LIFETIME_MS:
                del self.reported_ms[host]
                self.reports.pop(host, None)
                self.peers.pop(host, None)
