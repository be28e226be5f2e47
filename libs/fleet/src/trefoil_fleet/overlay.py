"""The links between processes: a shallow tree with a few cross links.

Control hosts serve seeds, the seeds of a failure domain serve its other
proxies, and the seeds of a domain link to each other. A proxy that can reach
none of its seeds falls back to a control host and tries a seed again later.
In a fleet without seeds every proxy links to a control host, preferably one
of its own failure domain.
"""

import random

from trefoil_model import hashing
from trefoil_wire import messages

RETRY_BASE_MS = 100
RETRY_MAX_MS = 3000
RETURN_DELAY_MS = 15_000
EXTRA_LINKS_DELAY_MS = 1500
# Range of the delay before a move to a preferred control host that was just
# listed. It is short, but random, so that proxies that receive the list at
# the same time do not all move together.
MOVE_DELAY_MS = (300, 1500)
# Long enough for the peer to dial first (one tick and a round trip), short
# compared with an election.
UNKNOWN_PEER_DIAL_MS = 400


class Overlay:
    """Chooses the links that this process dials.

    Args:
        local_host: Name of this host.
        domain: Failure domain of this host.
        control: Whether this is a control process.
        seeds: Address of each seed of the failure domain by name.
        controls: Address of each control process by name from the
            settings; more are learned from peers.
        rng: Draws the jitter that spreads simultaneous dials.
    """

    __slots__ = (
        "local_host",
        "domain",
        "control",
        "seeds",
        "configured",
        "controls",
        "domains",
        "control_hosts",
        "rng",
        "uplinks",
        "current",
        "retry_at_ms",
        "failures",
        "unlinked_ms",
        "return_at_ms",
    )

    def __init__(
        self,
        local_host: str,
        *,
        domain: str = "",
        control: bool,
        seeds: dict[str, str],
        controls: dict[str, str],
        rng: random.Random,
    ) -> None:
        self.local_host = local_host
        self.domain = domain
        self.control = control
        self.seeds = seeds
        self.configured = dict(controls)
        self.controls = dict(controls)
        self.domains: dict[str, str] = {}
        self.control_hosts = messages.ControlHosts(0, [])
        self.rng = rng
        self.uplinks = self._uplinks()
        self.current = 0
        self.retry_at_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.unlinked_ms: dict[str, int] = {}
        self.return_at_ms = 0

    @property
    def is_seed(self) -> bool:
        """Return whether this process is a seed of its failure domain."""
        return self.local_host in self.seeds

    def _uplinks(self) -> list[str]:
        if self.control:
            return []
        ranked = hashing.rank(self.local_host, self.controls)
        same_domain = [n for n in ranked if self.domains.get(n) == self.domain]
        controls = same_domain + [n for n in ranked if n not in same_domain]
        if self.is_seed:
            return controls
        return list(hashing.rank(self.local_host, self.seeds)) + controls

    @property
    def uplink(self) -> str:
        """Return the peer that serves this process or is to be dialled."""
        if not self.uplinks:
            return ""
        return self.uplinks[self.current % len(self.uplinks)]

    def address(self, host: str) -> str:
        """Return a seed's or control process's address."""
        return self.seeds.get(host) or self.controls.get(host, "")

    # Control hosts from settings, hellos and lists

    def set_configured(self, controls: dict[str, str]) -> None:
        """Use the control hosts of changed settings."""
        self.configured = dict(controls)
        self._set_controls(controls | self.controls)

    def on_hello(self, hello: messages.Hello) -> None:
        """Add the control process that sent a hello."""
        if (
            not hello.control
            or hello.host == self.local_host
            or not hello.address
        ):
            return
        self.domains[hello.host] = hello.domain or ""
        self._set_controls(self.controls | {hello.host: hello.address})

    def update_controls(
        self, control_hosts: messages.ControlHosts, now_ms: int
    ) -> bool:
        """Use a list of control hosts; return whether it is newer.

        The hosts from the settings are kept: if all listed hosts are down,
        this process can still reconnect through them.
        """
        if control_hosts.number <= self.control_hosts.number:
            return False
        self.control_hosts = control_hosts
        hosts = [h for h in control_hosts.hosts if h.name != self.local_host]
        addresses = {h.name: h.address for h in hosts if h.address}
        self.domains.update({h.name: h.domain or "" for h in hosts})
        self._set_controls(self.configured | addresses)
        if self.uplinks and self.uplink != self.uplinks[0]:
            pause_ms = int(self.rng.uniform(*MOVE_DELAY_MS))
            self.return_at_ms = min(
                self.return_at_ms or now_ms + pause_ms, now_ms + pause_ms
            )
        return True

    def _set_controls(self, controls: dict[str, str]) -> None:
        old_uplink = self.uplink
        self.controls = controls
        self.uplinks = self._uplinks()
        if old_uplink in self.uplinks:
            self.current = self.uplinks.index(old_uplink)

    # Links

    def wanted(self, *, extra: bool, now_ms: int = 0) -> list[str]:
        """Return the peers to keep a link to.

        Args:
            extra: Link to every seed as well, or to every control host in
                a fleet without seeds, to receive their confirmations of the
                floor while no leader answers.
            now_ms: The time on the runtime's clock.
        """
        wanted = set()
        if self.uplinks:
            wanted.add(self.uplink)
        if self.control:
            wanted |= self._wanted_controls(now_ms)
        if self.is_seed:
            wanted |= {name for name in self.seeds if name > self.local_host}
        if extra:
            wanted |= set(self.seeds or self.controls)
        wanted.discard(self.local_host)
        return sorted(wanted)

    def _wanted_controls(self, now_ms: int) -> set[str]:
        """Return the control hosts to dial.

        Of two control hosts that know each other, the one whose name sorts
        first dials, so that they do not replace each other's links. A host
        that its peer does not know yet would never be dialled, so it dials
        the peer itself after ``UNKNOWN_PEER_DIAL_MS``.
        """
        wanted = set()
        for name in self.controls:
            since_ms = self.unlinked_ms.setdefault(name, now_ms)
            if (
                name > self.local_host
                or now_ms - since_ms >= UNKNOWN_PEER_DIAL_MS
            ):
                wanted.add(name)
        return wanted

    def may_dial(self, host: str, now_ms: int) -> bool:
        """Return whether a dial is due, and delay the next one."""
        if now_ms < self.retry_at_ms.get(host, 0):
            return False
        self.retry_at_ms[host] = now_ms + RETRY_MAX_MS
        return True

    def failed(self, host: str, now_ms: int, retry_after_ms: int = 0) -> None:
        """Record a link that broke or was refused, and try the next uplink.

        The retry delay grows with each failure and is jittered: otherwise
        all proxies that lost the same seed would redial at the same time.
        """
        self.unlinked_ms[host] = now_ms
        count = self.failures.get(host, 0) + 1
        self.failures[host] = count
        pause = min(RETRY_BASE_MS << min(count - 1, 4), RETRY_MAX_MS)
        pause = max(int(pause * self.rng.uniform(0.5, 1.5)), retry_after_ms)
        self.retry_at_ms[host] = now_ms + pause
        if host == self.uplink and not retry_after_ms:
            self.current += 1

    def linked(self, host: str, now_ms: int) -> None:
        """Record that a link is established."""
        self.failures.pop(host, None)
        self.retry_at_ms.pop(host, None)
        spread = self.rng.uniform(1.0, 2.0)
        self.return_at_ms = now_ms + int(RETURN_DELAY_MS * spread)

    def return_to_preferred(self, now_ms: int) -> str:
        """Return to the preferred uplink after a while on a fallback.

        When all seeds of a domain are unreachable, its proxies link to
        control hosts. Without this they would stay there, and the control
        hosts would serve every proxy of the fleet directly.

        Returns:
            The uplink that is to be replaced, empty if none is.
        """
        on_fallback = self.uplinks and self.current % len(self.uplinks) != 0
        if not on_fallback or now_ms < self.return_at_ms:
            return ""
        old = self.uplink
        self.current = 0
        self.return_at_ms = now_ms + RETURN_DELAY_MS
        return old
