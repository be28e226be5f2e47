"""What a target states about itself in the headers of an answer."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """Statements of a target about the requests that it takes.

    Args:
        limit_per_s: Requests per second that it takes from all hosts
            together; None if it names no limit.
        leaving: Whether it is about to end.
        malformed_limit: The stated limit if that is not a decimal number;
            empty otherwise.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    malformed_limit: str = ""


NONE = Notice()
