"""A caller's request and its final answer, independent of HTTP parsing."""

import dataclasses

from trefoil_model import hashing
from trefoil_wire import messages

STATUS_REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
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
        call_id: Its id at this proxy.
        method: HTTP method.
        host: Value of the Host header, without the port.
        path: Path and query as sent.
        headers: Header lines as sent, hop-by-hop ones removed.
        body: Whole body.
        key: Idempotency key, empty without one.
        deadline_ms: Time limit given by the caller, 0 without one.
        retried: Whether an upstream proxy already retries the chain of
            calls that this one belongs to.
        caller_id: The caller's own id of the request, for logs; empty
            without one.
        entered_ms: Time from its first byte until it was received completely.
        account_key: Key of the caller's account, empty without one.
        authorization: Header lines that may hold a key. They are not part of
            ``headers`` and reach targets only if callers need no keys.
        received_boot_ms: When it was received completely, on the clock that
            goes on while the host is suspended.
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
    account_key: str = ""
    authorization: bytes = b""
    received_boot_ms: int = 0

    def fingerprint(self) -> int:
        """Return a hash that identifies resends of the same request."""
        head = f"{self.method} {self.path}\0".encode("utf-8", "replace")
        return hashing.hash64(head, self.body)


@dataclasses.dataclass(slots=True)
class Final:
    """The final answer to a call.

    Args:
        call_id: The call's id.
        status: HTTP status.
        reason: Reason phrase, or the explanation if a proxy generated it.
        headers: Header lines of the target's answer.
        body: Whole body.
        ran: False only if the request certainly did not run.
        retry_after_ms: When the caller should retry; 0 for no advice.
        own: Whether a proxy generated the answer instead of the target.
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
