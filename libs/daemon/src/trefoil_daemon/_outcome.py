"""Header lines with which a proxy states what became of a request."""


def header_lines(
    *, ran: bool, retry_after_ms: int = 0, fractions: bool = False
) -> bytes:
    """Return the lines of an answer that a proxy generated itself.

    Args:
        ran: False only if the request certainly did not run.
        retry_after_ms: When its caller should come back; 0 for no advice.
        fractions: Whether Retry-After may have fractions of seconds.
    """
    lines = b"X-Trefoil-Outcome: %s\r\n" % (b"unknown" if ran else b"not-run")
    if not retry_after_ms:
        return lines
    seconds = b"%d" % -(-retry_after_ms // 1000)
    if fractions:
        seconds = b"%.3f" % (retry_after_ms / 1000)
    lines += b"Retry-After: %s\r\n" % seconds
    return lines + b"X-Trefoil-Retry-After-Ms: %d\r\n" % retry_after_ms
