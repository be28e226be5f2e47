"""A caller's request and the final answer to it, as the cores see them."""

import dataclasses

from trefoil_model import hashing
from trefoil_wire import messages

STATUS_REASONS = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request.

    Args:
        call_id: This proxy's number for it.
        method: HTTP method.
        host: Value of the Host header, without the port.
        path: Path and query as sent.
        headers: Header lines as sent, hop-by-hop ones removed.
        body: Whole body.
        key: Idempotency key, empty without one.
        deadline_ms: What the caller allows, 0 without a limit.
        retried: Whether a proxy before this one already retries the chain
            that this call belongs to.
        caller_id: The caller's own id of the request, for logs; empty
            without one.
        entered_ms: How long it took from its first byte until it was whole.
    """

    call_id: int
    method: str
    host: str
    path: str
    headers: bytes = b""
    body: bytes = b""
    key: str = ""
    deadline_ms: int = 0
    retried: bool = False
    caller_id: str = ""
    entered_ms: int = 0

    def fingerprint(self) -> int:
        """Return a hash by which a resend of the request is known."""
        head = f"{self.method} {self.path}\0".encode("utf-8", "replace")
        return hashing.hash64(head + self.body)


@dataclasses.dataclass(slots=True)
class Final:
    """The final answer to a call.

    Args:
        call_id: The call's number.
        status: HTTP status.
        reason: Reason phrase, or the explanation of a proxy's own answer.
        headers: Header lines of the target's answer.
        body: Whole body.
        ran: False only where the request certainly did not run.
        retry_after_ms: When to come back; 0 says nothing.
        own: Whether a proxy made the answer, not the target.
    """

    call_id: int
    status: int
    reason: str = ""
    headers: bytes = b""
    body: bytes = b""
    ran: bool = False
    retry_after_ms: int = 0
    own: bool = True

    @classmethod
    def from_answer(cls, call_id: int, answer: messages.Answer) -> "Final":
        """Build the final answer to a call from a target's answer."""
        return cls(
            call_id,
            answer.status,
            answer.reason or "",
            answer.headers or b"",
            answer.body or b"",
            ran=True,
            own=False,
        )
