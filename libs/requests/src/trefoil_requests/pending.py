"""Buffers calls that arrive before a proxy has a confirmed configuration.

After a power loss all proxies start at the same moment, and their callers
already send requests. The confirmation that lets a proxy serve arrives
within a few hundred milliseconds. A caller that is refused meanwhile retries
too late for a timely answer; a call that is held that long is served in time.
"""

import dataclasses

from . import call as calls

# The confirmation takes an election and a few round trips. Calls that wait
# longer are refused with a retry time.
HOLD_MS = 400
# The rest of a caller's deadline must suffice for its request and one retry.
HOLD_SHARE = 0.25
MAX_PENDING_CALLS = 256


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that waits for the first configuration."""

    call: calls.Call
    since_ms: int
    until_ms: int


class PendingCalls:
    """The calls that a proxy buffers until it may serve."""

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        self.by_id: dict[int, PendingCall] = {}

    def hold(self, call: calls.Call, now_ms: int) -> bool:
        """Buffer a call; return False if the buffer is full."""
        if len(self.by_id) >= MAX_PENDING_CALLS:
            return False
        hold_ms = HOLD_MS
        if call.deadline_ms:
            hold_ms = min(hold_ms, int(call.deadline_ms * HOLD_SHARE))
        self.by_id[call.call_id] = PendingCall(call, now_ms, now_ms + hold_ms)
        return True

    def drop(self, call_id: int) -> None:
        """Remove a call whose caller disconnected."""
        self.by_id.pop(call_id, None)

    def release(self, now_ms: int) -> list[calls.Call]:
        """Remove and return all calls, with their remaining deadlines."""
        held_calls = list(self.by_id.values())
        self.by_id = {}
        for held in held_calls:
            if held.call.deadline_ms:
                left_ms = held.call.deadline_ms - (now_ms - held.since_ms)
                held.call.deadline_ms = max(left_ms, 1)
        return [held.call for held in held_calls]

    def expired(self, now_ms: int) -> list[calls.Call]:
        """Remove and return the calls that reached their wait limit."""
        expired = [
            held.call
            for held in self.by_id.values()
            if now_ms >= held.until_ms
        ]
        for call in expired:
            self.drop(call.call_id)
        return expired
