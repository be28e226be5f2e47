"""Whom a process links to: a shallow tree with a few links across.

Control hosts serve seeds, the seeds of a failure domain serve its other
proxies, and the seeds of a domain link to each other. A proxy whose seeds
are all away falls back to a control host and looks for a seed again later.
"""

import random

from trefoil_model import hashing

RETRY_MS = 200
RETRY_MAX_MS = 3000
HOME_AGAIN_MS = 15_000
SPARE_LINK_MS = 1500


class Overlay:
    """Choice of the links that this process dials.

    Args:
        me: Name of this host.
        control: Whether this is a control process.
        seeds: Address of each seed of the failure domain by name.
        controls: Address of each control process by name.
        rng: Draws the jitter that spreads herds.
    """

    __slots__ = (
        "me",
        "control",
        "seeds",
        "controls",
        "rng",
        "uplinks",
        "at",
        "retry_at_ms",
        "failures",
        "home_at_ms",
    )

    def __init__(
        self,
        me: str,
        *,
        control: bool,
        seeds: dict[str, str],
        controls: dict[str, str],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.control = control
        self.seeds = seeds
        self.controls = controls
        self.rng = rng
        self.uplinks = self._uplinks()
        self.at = 0
        self.retry_at_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.home_at_ms = 0

    @property
    def is_seed(self) -> bool:
        """Tell whether this process is a seed of its failure domain."""
        return self.me in self.seeds

    def _uplinks(self) -> list[str]:
        controls = list(hashing.rank(self.me, self.controls))
        if self.control:
            return []
        if self.is_seed:
            return controls
        return list(hashing.rank(self.me, self.seeds)) + controls

    @property
    def uplink(self) -> str:
        """Return the peer that serves this process, or its candidate."""
        return (
            self.uplinks[self.at % len(self.uplinks)] if self.uplinks else ""
        )

    def address(self, host: str) -> str:
        """Return a seed's or control process's address."""
        return self.seeds.get(host) or self.controls.get(host, "")

    def wanted(self, *, spare: bool) -> list[str]:
        """Return the peers to keep a link to.

        Args:
            spare: Link to every seed as well, to hear their word of the
                floor while no control host answers.
        """
        wanted = set()
        if self.uplinks:
            wanted.add(self.uplink)
        if self.control:
            wanted |= {name for name in self.controls if name > self.me}
        if self.is_seed:
            wanted |= {name for name in self.seeds if name > self.me}
        if spare:
            wanted |= set(self.seeds)
        wanted.discard(self.me)
        return sorted(wanted)

    def may_dial(self, host: str, now_ms: int) -> bool:
        """Tell whether a dial is due, and hold the next one back."""
        if now_ms < self.retry_at_ms.get(host, 0):
            return False
        self.retry_at_ms[host] = now_ms + RETRY_MAX_MS
        return True

    def failed(self, host: str, now_ms: int, retry_after_ms: int = 0) -> None:
        """Note a link that broke or was refused, and move on.

        Retries wait longer each time and are jittered: a herd that lost the
        same seed would else knock in step.
        """
        count = self.failures.get(host, 0) + 1
        self.failures[host] = count
        pause = min(RETRY_MS << min(count - 1, 4), RETRY_MAX_MS)
        pause = max(int(pause * self.rng.uniform(0.5, 1.5)), retry_after_ms)
        self.retry_at_ms[host] = now_ms + pause
        if host == self.uplink and not retry_after_ms:
            self.at += 1

    def linked(self, host: str, now_ms: int) -> None:
        """Note a link that works."""
        self.failures.pop(host, None)
        self.retry_at_ms.pop(host, None)
        spread = self.rng.uniform(1.0, 2.0)
        self.home_at_ms = now_ms + int(HOME_AGAIN_MS * spread)

    def go_home(self, now_ms: int) -> str:
        """Return to the first choice after a while on another.

        A domain whose seeds were all away leaves its proxies on control
        hosts; without this they would stay there and the control hosts
        would serve the fleet one by one.

        Returns:
            The uplink that was given up, empty if none was.
        """
        away = self.uplinks and self.at % len(self.uplinks) != 0
        if not away or now_ms < self.home_at_ms:
            return ""
        old = self.uplink
        self.at = 0
        self.home_at_ms = now_ms + HOME_AGAIN_MS
        return old
