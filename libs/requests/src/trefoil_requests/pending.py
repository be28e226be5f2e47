"""Calls that come before a proxy may serve by any configuration.

The load that this answers: all proxies start at the same moment, after a
loss of power, and their callers are there already. The proof that lets a
proxy serve comes within a few hundred milliseconds. A caller that is refused
meanwhile comes back after its answer would have been in time; one that is
held that long is served in time.
"""

import dataclasses

from . import call as calls

# The proof takes an election and a few round trips; who waited longer is told
# to come back.
MAX_HOLD_MS = 400
# What is left of a caller's patience must do for its request and for one
# more try.
MAX_HOLD_SHARE = 0.25
MAX_HELD = 256


@dataclasses.dataclass(slots=True)
class HeldCall:
    """A call that waits for the first configuration."""

    call: calls.Call
    since_ms: int
    until_ms: int


class PendingCalls:
    """The calls that a proxy holds until it may serve."""

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        self.by_id: dict[int, HeldCall] = {}

    def hold(self, call: calls.Call, now_ms: int) -> bool:
        """Hold a call; return whether there was room."""
        if len(self.by_id) >= MAX_HELD:
            return False
        hold_ms = MAX_HOLD_MS
        if call.deadline_ms:
            hold_ms = min(hold_ms, int(call.deadline_ms * MAX_HOLD_SHARE))
        self.by_id[call.call_id] = HeldCall(call, now_ms, now_ms + hold_ms)
        return True

    def drop(self, call_id: int) -> None:
        """Forget a call whose caller went away."""
        self.by_id.pop(call_id, None)

    def release(self, now_ms: int) -> list[calls.Call]:
        """Return all calls, each with what is left of its time."""
        held_calls = list(self.by_id.values())
        self.by_id = {}
        for held in held_calls:
            if held.call.deadline_ms:
                left_ms = held.call.deadline_ms - (now_ms - held.since_ms)
                held.call.deadline_ms = max(left_ms, 1)
        return [held.call for held in held_calls]

    def expired(self, now_ms: int) -> list[calls.Call]:
        """Take out the calls that waited long enough."""
        expired = [
            held.call
            for held in self.by_id.values()
            if now_ms >= held.until_ms
        ]
        for call in expired:
            self.drop(call.call_id)
        return expired
