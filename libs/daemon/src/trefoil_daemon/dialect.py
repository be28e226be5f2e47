"""The names that callers and targets know the proxy's headers by."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Header names towards callers and targets; empty leaves one out.

    Args:
        deadline: Milliseconds that the sender still waits.
        retried: Tells targets that a proxy retries the chain already.
        not_run: A target's word that it did not run a request.
        request_id: The caller's id of a request. Targets repeat it, which
            shows an answer to another request.
        caller_service: Service of the host where a request began.
        target: Name of the target that a request is meant for; another one
            at its address must answer 421.
        retry_fractions: Whether Retry-After may have fractions of seconds.
        warmup_left: A target's word in answers to health checks, how many
            milliseconds longer it is cold.
    """

    deadline: bytes = b"X-Trefoil-Deadline-Ms"
    retried: bytes = b"X-Trefoil-Retried"
    not_run: bytes = b"X-Trefoil-Not-Run"
    request_id: bytes = b""
    caller_service: bytes = b""
    target: bytes = b""
    retry_fractions: bool = False
    warmup_left: bytes = b"X-Trefoil-Warmup-Left-Ms"


DEFAULT = Dialect()
