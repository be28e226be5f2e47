"""Shares one question for the newest revision among all hosts that ask it.

Hundreds of proxies ask every second. Each process on their way to the leader
asks once for all of them. An answer is passed on only to those that asked
before its own question was sent, since only for them it includes every change
that was acknowledged before they asked.
"""

import dataclasses

# Answers take milliseconds; a leader that does not answer within this time is
# probably suspended, or there is a new one.
ROUND_TIMEOUT_MS = 250
MAX_WAITING = 4096
NONCE_BITS = 48


@dataclasses.dataclass(slots=True, frozen=True)
class Waiter:
    """A host that asked.

    Args:
        host: Its name; empty for this process itself.
        nonce: The number of its question.
    """

    host: str
    nonce: int


class RevisionRounds:
    """The questions that a process received and the one that it asks itself.

    Args:
        first_nonce: Number of its first question. It is drawn at random: a
            late answer to a process that has restarted must not be taken for
            an answer to the new one.
    """

    __slots__ = ("waiting", "asked", "nonce", "asked_ms")

    def __init__(self, first_nonce: int) -> None:
        self.waiting: list[Waiter] = []
        self.asked: list[Waiter] = []
        self.nonce = first_nonce
        self.asked_ms = 0

    def add(self, host: str, nonce: int) -> None:
        """Add a question; of too many the oldest are dropped."""
        self.waiting.append(Waiter(host, nonce))
        del self.waiting[:-MAX_WAITING]

    def begin(self, now_ms: int) -> int:
        """Return the number of the question to ask now, 0 for none.

        A question that was not answered in time is asked again, together with
        those that came after it.
        """
        if self.asked and now_ms < self.asked_ms + ROUND_TIMEOUT_MS:
            return 0
        self.waiting = (self.asked + self.waiting)[-MAX_WAITING:]
        self.asked, self.waiting = self.waiting, []
        if not self.asked:
            return 0
        self.nonce += 1
        self.asked_ms = now_ms
        return self.nonce

    def fail(self, nonce: int) -> None:
        """Let the question be asked again without waiting for its answer."""
        if nonce == self.nonce:
            self.waiting = self.asked + self.waiting
            self.asked = []

    def complete(self, nonce: int) -> list[Waiter]:
        """Return those that the answer to a question is passed on to."""
        if nonce != self.nonce:
            return []
        answered, self.asked = self.asked, []
        return answered
