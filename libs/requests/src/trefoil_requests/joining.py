"""A replica that joined a service catches up with its former replicas.

The keys of a service get other replicas when hosts join it. A claim that the
former replicas granted is unknown to the new ones; if these granted it too,
the request would run twice.
"""

import dataclasses

from trefoil_wire import messages

# Long enough for the answers of former replicas, and shorter than a claimant
# waits for the replies of its replicas.
MAX_HOLD_MS = 250
ASK_INTERVAL_MS = 100
# A former replica that is down or cut off is asked more and more rarely.
MAX_ASK_INTERVAL_MS = 5000
# The records of the other hosts reach a process that has just started within
# this time; until then hosts that appear may have been members before.
RECORDS_ARRIVE_MS = 5000


@dataclasses.dataclass(slots=True)
class Join:
    """What a host that joined a service still has to learn.

    Args:
        former: Hosts that may have been replicas of its keys before.
        joined_ms: When it joined, on the runtime's clock.
        pending: Those of them that have not sent what they granted, or do
            not know of the join yet.
        settled: Those that have, and that have run for long.
        is_needed: Whether a caller has sent a key of the service.
        ask_at_ms: When to ask them again.
        ask_interval_ms: How long to wait after that.
    """

    former: set[str]
    joined_ms: int
    pending: set[str] = dataclasses.field(init=False)
    settled: set[str] = dataclasses.field(default_factory=set)
    is_needed: bool = False
    ask_at_ms: int = 0
    ask_interval_ms: int = ASK_INTERVAL_MS

    def __post_init__(self) -> None:
        self.pending = set(self.former)

    def add_members(self, hosts: set[str], now_ms: int) -> None:
        """Add hosts that this process did not know when it joined."""
        if now_ms < self.joined_ms + RECORDS_ARRIVE_MS:
            self.former |= hosts
            self.pending |= hosts

    def has_ended(self, now_ms: int) -> bool:
        """Return whether there is nothing left to learn."""
        return self.is_complete and (
            now_ms >= self.joined_ms + RECORDS_ARRIVE_MS
        )

    @property
    def is_complete(self) -> bool:
        """Return whether every grant of the former replicas is known here.

        A claim was granted by a majority of two or three replicas, so that
        one former host may be missing. A single replica was the majority.
        """
        allowed_missing = 1 if len(self.former) > 1 else 0
        return len(self.pending) <= allowed_missing

    def ask(self, now_ms: int) -> list[str]:
        """Return the hosts to ask now."""
        if not self.is_needed or now_ms < self.ask_at_ms:
            return []
        self.ask_at_ms = now_ms + self.ask_interval_ms
        interval_ms = 2 * self.ask_interval_ms
        self.ask_interval_ms = min(interval_ms, MAX_ASK_INTERVAL_MS)
        return sorted(self.pending)


@dataclasses.dataclass(slots=True, frozen=True)
class HeldClaim:
    """A claim that waits until its replica has caught up.

    Args:
        origin: Address of the claimant, which gets the reply.
        claim: The claim.
        until_ms: When it is answered in any case, on the runtime's clock.
    """

    origin: str
    claim: messages.Claim
    until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyToClaim:
    """Send the reply to a claim that was held to its claimant."""

    origin: str
    reply: messages.ClaimReply
