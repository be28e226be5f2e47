"""A call on its way: what was tried for it, and what may still be."""

import dataclasses

from trefoil_wire import messages

from . import call as calls
from . import routing


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request on its way to a target.

    Args:
        request_id: This proxy's number for it.
        endpoint: The target.
        version: The target's version.
        sent_us: When it was sent, on the runtime's clock.
        paid: Whether the retry budget paid for it.
    """

    request_id: int
    endpoint: routing.Endpoint
    version: str
    sent_us: int
    paid: bool = False


@dataclasses.dataclass(slots=True)
class LiveCall:
    """A call without its final answer yet.

    Args:
        call: The caller's request.
        route: The route that took it.
        fingerprint: Hash by which a resend is known.
        started_us: When it came.
        deadline_at_ms: When nobody waits for it any more.
        aim_at_ms: When its answer is late for its route's aim.
        claim: The claim on its key, for once-only requests with one.
        service: The service that was drawn for it.
        drawn: The version that was drawn for it.
        version: Version of the target that it was sent to last.
        endpoint: That target.
        request_id: Number of the attempt that counts; 0 without one.
        first_id: Number of the first attempt.
        sent_us: When the attempt that counts was sent.
        paid: Whether the retry budget paid for it.
        repeat: How likely it is a call of a run that was a repeat.
        attempts: Targets that may have run it, the present one among them.
        sends: Attempts and refusals by targets' proxies together.
        settled: Whether it may wait in a target's queue.
        crashes: Targets that broke down under it.
        may_have_run: Whether an attempt ended without a word on whether it
            ran.
        retry_after_ms: The longest wait that a refusal told.
        hedge: The other of two attempts at the same time.
        tried: Targets that are left out from now on.
        bounced: Targets that were full.
    """

    call: calls.Call
    route: messages.Route
    fingerprint: int
    started_us: int
    deadline_at_ms: int
    aim_at_ms: int
    claim: messages.Claim | None = None
    service: str = ""
    drawn_version: str | None = None
    version: str = ""
    endpoint: routing.Endpoint | None = None
    request_id: int = 0
    first_request_id: int = 0
    sent_us: int = 0
    paid: bool = False
    repeat: float = 0.0
    attempts: int = 0
    sends: int = 0
    may_queue: bool = False
    crashes: int = 0
    may_have_run: bool = False
    retry_after_ms: int = 0
    hedge: Attempt | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    full_targets: set[str] = dataclasses.field(default_factory=set)

    @property
    def may_repeat(self) -> bool:
        """Tell whether it may be asked for again after it may have run."""
        return self.route.repeat != messages.Repeat.ONCE

    @property
    def attempt(self) -> Attempt:
        """Return the attempt that counts."""
        return Attempt(
            self.request_id,
            self.endpoint,
            self.version,
            self.sent_us,
            self.paid,
        )

    def attempt_of(self, request_id: int) -> Attempt | None:
        """Return the one of its attempts that has a number."""
        if self.request_id == request_id:
            return self.attempt
        if self.hedge is not None and self.hedge.request_id == request_id:
            return self.hedge
        return None

    def swap_attempts(self) -> None:
        """Make the other of two attempts the one that counts."""
        other, self.hedge = self.hedge, self.attempt
        self.request_id = other.request_id
        self.endpoint = other.endpoint
        self.version = other.version
        self.sent_us = other.sent_us
        self.paid = other.paid
