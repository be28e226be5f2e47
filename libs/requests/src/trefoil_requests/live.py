"""The state of a call until its final answer, with its attempts."""

import collections.abc
import dataclasses

from trefoil_accounts import expiring_tokens
from trefoil_wire import messages

from . import call as calls
from . import routing


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request in flight to a target.

    Args:
        request_id: Its id at this proxy.
        endpoint: The target.
        version: The target's version.
        sent_us: When it was sent, on the runtime's clock.
        paid: Whether it was charged to the retry budget.
    """

    request_id: int
    endpoint: routing.Endpoint
    version: str
    sent_us: int
    paid: bool = False


@dataclasses.dataclass(slots=True)
class LiveCall:
    """A call that has no final answer yet.

    Args:
        call: The caller's request.
        route: The route that it matched.
        fingerprint: Hash that identifies resends of the same request.
        started_us: When it arrived.
        deadline_at_ms: When its caller stops waiting for it.
        due_at_ms: When its answer exceeds its route's latency target.
        account: Name of the caller's account, empty for none.
        priority: Priority of the call; 0 is the most urgent.
        token: The token of its account that it took, None without one.
        claim: The claim on its idempotency key, for once-only requests.
        service: The service that was drawn for it.
        drawn_version: The version that was drawn for it.
        version: Version of the target that it was sent to last.
        endpoint: That target.
        request_id: Id of the current attempt; 0 without one.
        first_request_id: Id of the first attempt.
        sent_us: When the current attempt was sent.
        paid: Whether the current attempt was charged to the retry budget.
        repeat: Probability that it was sent by a run that was a repeat.
        attempts: Number of targets that may have run it, including the
            current one.
        sends: Number of attempts and of refusals by targets' proxies.
        may_queue: Whether it may wait in a target's queue.
        crashes: Number of targets that crashed while running it.
        may_have_run: Whether an attempt ended without it being known whether
            it ran.
        retry_after_ms: The longest wait that a refusal asked for.
        hedge: The other of two parallel attempts.
        tried: Keys of targets that it is not sent to again.
        full_targets: Keys of targets that rejected it because they were full.
    """

    call: calls.Call
    route: messages.Route
    fingerprint: int
    started_us: int
    deadline_at_ms: int
    due_at_ms: int
    account: str = ""
    priority: int = 0
    token: expiring_tokens.Token | None = None
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
        """Return whether it may be sent again after it may have run."""
        return self.route.repeat != messages.Repeat.ONCE

    @property
    def attempt(self) -> Attempt:
        """Return the current attempt."""
        return Attempt(
            self.request_id,
            self.endpoint,
            self.version,
            self.sent_us,
            self.paid,
        )

    def attempt_of(self, request_id: int) -> Attempt | None:
        """Return the attempt with a request id, None without one."""
        if self.request_id == request_id:
            return self.attempt
        if self.hedge is not None and self.hedge.request_id == request_id:
            return self.hedge
        return None

    def attempts_in_flight(
        self, request_ids: collections.abc.Container[int]
    ) -> list[Attempt]:
        """Return the attempts without an answer.

        Args:
            request_ids: Ids of the requests that have no answer.
        """
        attempts = [self.attempt] if self.request_id in request_ids else []
        return attempts + ([self.hedge] if self.hedge is not None else [])

    def swap_attempts(self) -> None:
        """Make the other of two parallel attempts the current one."""
        other, self.hedge = self.hedge, self.attempt
        self.request_id = other.request_id
        self.endpoint = other.endpoint
        self.version = other.version
        self.sent_us = other.sent_us
        self.paid = other.paid
