"""A request of a client that records its answer, for HTTP handlers."""


class RecordedExchange:
    """Records the last answer.

    ``status`` is 0 until there is one; ``body`` is empty in an answer of the
    server itself.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def answer(
        self, status: int, reason: str, headers: bytes = b"", body: bytes = b""
    ) -> None:
        """Record an answer."""
        self.status, self.body = status, body

    def answer_text(
        self, status: int, reason: str, headers: bytes = b""
    ) -> None:
        """Record an answer of the server itself."""
        self.status = status
