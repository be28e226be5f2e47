"""Claims of idempotency keys that a proxy makes for its callers."""

import dataclasses
import typing

from trefoil_model import effects as common
from trefoil_wire import messages

from . import effects
from . import ledger

MAX_ANSWER_BYTES = 8192
CLAIM_TIMEOUT_MS = 400


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim that waits for the replies of its replicas.

    Args:
        call_id: The call that it was made for.
        claim: The claim as sent.
        deadline_at_ms: When it ends undecided, on the runtime's clock.
        grants: Hosts of the replicas that granted it.
        replies: Hosts of the replicas that granted it or abstained.
    """

    call_id: int
    claim: messages.Claim
    deadline_at_ms: int
    grants: set[str] = dataclasses.field(default_factory=set)
    replies: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class ClaimGranted:
    """The claim was granted: the call may run, once."""

    call_id: int


@dataclasses.dataclass(slots=True)
class KeyUsed:
    """The key was used before.

    Args:
        call_id: The call that sent the key.
        answer: The stored answer to the first request with the key; None if
            it is unknown or this request differs from the first.
    """

    call_id: int
    answer: messages.Answer | None


@dataclasses.dataclass(slots=True)
class ClaimUndecided:
    """It is unknown whether the key was used before."""

    call_id: int


class Claims:
    """The claims that this proxy makes for its callers."""

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: dict[int, PendingClaim] = {}

    def begin(
        self, call_id: int, claim: messages.Claim, now_ms: int
    ) -> list[typing.Any]:
        """Return the messages that send a claim to its replicas.

        Without replicas the claim is undecided immediately.
        """
        self.pending[claim.claim_id] = PendingClaim(
            call_id, claim, now_ms + CLAIM_TIMEOUT_MS
        )
        if not claim.keepers:
            del self.pending[claim.claim_id]
            return [ClaimUndecided(call_id)]
        return [effects.Send(host, "", claim) for host in claim.keepers]

    def receive_reply(self, reply: messages.ClaimReply) -> list[typing.Any]:
        """Process the reply of a replica.

        Returns:
            The outcome of the claim, once it is decided, and the messages that
            release it if it was not granted.
        """
        pending = self.pending.get(reply.claim_id)
        if pending is None or reply.host not in pending.claim.keepers:
            return []
        if reply.verdict == ledger.TAKEN:
            del self.pending[reply.claim_id]
            release_messages = self._release(pending)
            return release_messages + [KeyUsed(pending.call_id, reply.answer)]
        pending.replies.add(reply.host)
        if reply.verdict == ledger.GRANTED:
            pending.grants.add(reply.host)
        majority = len(pending.claim.keepers) // 2 + 1
        if len(pending.grants) >= majority:
            del self.pending[reply.claim_id]
            return [ClaimGranted(pending.call_id)]
        if len(pending.replies) == len(pending.claim.keepers):
            return self._end_undecided(pending)
        return []

    def tick(self, now_ms: int) -> list[typing.Any]:
        """End the claims whose replicas did not reply in time."""
        results: list[typing.Any] = []
        for pending in list(self.pending.values()):
            if now_ms >= pending.deadline_at_ms:
                results.extend(self._end_undecided(pending))
        return results

    def drop(self, call_id: int) -> list[typing.Any]:
        """Release the claim of a call that has ended."""
        for pending in list(self.pending.values()):
            if pending.call_id == call_id:
                del self.pending[pending.claim.claim_id]
                return self._release(pending)
        return []

    def _end_undecided(self, pending: PendingClaim) -> list[typing.Any]:
        self.pending.pop(pending.claim.claim_id, None)
        return self._release(pending) + [ClaimUndecided(pending.call_id)]

    def _release(self, pending: PendingClaim) -> list[typing.Any]:
        return release(pending.claim)


def release(claim: messages.Claim) -> list[typing.Any]:
    """Return the messages that release a claim at its replicas."""
    message = messages.ClaimRelease(claim.key, claim.claim_id)
    return [effects.Send(host, "", message) for host in claim.keepers]


def store_answer(
    claim: messages.Claim, answer: messages.Answer
) -> list[typing.Any]:
    """Return the messages that store an answer at the replicas.

    An answer with a body over ``MAX_ANSWER_BYTES`` is counted and not stored.
    """
    body = answer.body or b""
    stored = answer if len(body) <= MAX_ANSWER_BYTES else None
    if stored is None:
        return [common.Count("ledger.answer_too_large")]
    done = messages.ClaimDone(claim.key, claim.claim_id, stored)
    return [effects.Send(host, "", done) for host in claim.keepers]
