"""Names of the proxy's headers towards callers and targets."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Header names; an empty name disables the header.

    Args:
        deadline: How many milliseconds longer the sender waits.
        retried: Informs targets that a proxy already retries this call
            chain.
        not_run: Set by a target on an answer to a request that it did not
            run.
        request_id: The caller's id of a request. Targets return it, so that
            an answer to another request is detected.
        caller_service: Service of the host where a request began.
        target: Name of the target that a request is meant for; another one
            at its address must answer 421.
        retry_fractions: Whether Retry-After may have fractions of seconds.
        warmup_left: Set by a target in answers to health checks: how many
            milliseconds longer it is cold.
        rate_limit: Set by a target on its answers for as long as it takes
            only this many requests per second, a decimal number, from all
            hosts together.
        leaving: Set to 1 by a target on all its answers once it is leaving.
        account: Name of the caller's account, for the target.
        key_scheme: Scheme of the Authorization header that carries a key.
    """

    deadline: bytes = b"X-Trefoil-Deadline-Ms"
    retried: bytes = b"X-Trefoil-Retried"
    not_run: bytes = b"X-Trefoil-Not-Run"
    request_id: bytes = b""
    caller_service: bytes = b""
    target: bytes = b""
    retry_fractions: bool = False
    warmup_left: bytes = b"X-Trefoil-Warmup-Left-Ms"
    rate_limit: bytes = b"X-Trefoil-Rate-Limit"
    leaving: bytes = b"X-Trefoil-Leaving"
    account: bytes = b"X-Trefoil-Account"
    key_scheme: bytes = b"Bearer"


DEFAULT = Dialect()
