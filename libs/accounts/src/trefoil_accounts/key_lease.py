"""How long a proxy may honour the keys that it knows.

A key that was taken away must not be honoured anywhere once a given time has
passed since the change was acknowledged: not by a proxy that is partitioned
from the control hosts, nor by one that was suspended. A proxy therefore asks
regularly which revision is the newest. The answer includes every change that
was acknowledged before the question was sent, so the keys of that revision
may be honoured for the revocation time from then on.
"""

import collections

from trefoil_wire import messages

# The clocks of two hosts differ in pace by less than this share.
CLOCK_TOLERANCE = 0.005
# Without contact to the control hosts, callers with sound keys are served for
# the rest of the lease. Renewing it at this share of its term leaves them at
# least three quarters of it.
RENEWAL_SHARE = 0.2
# An answer takes milliseconds, or an election of a second.
RETRY_MS = 200
MAX_QUESTIONS = 64


class KeyLease:
    """The lease of one proxy on the keys that it knows.

    All times are from a clock that goes on while the host is suspended: a
    proxy that wakes up must not honour keys by a lease that has ended.

    Args:
        revocation_ms: How long after its change was acknowledged a key that
            was taken away may be honoured; 0 if there is no limit.
    """

    __slots__ = (
        "revocation_ms",
        "revision",
        "expires_ms",
        "questions",
        "unapplied",
        "last_nonce",
        "asked_ms",
        "next_ask_ms",
        "renewed",
    )

    def __init__(self, revocation_ms: int = 0) -> None:
        self.revocation_ms = revocation_ms
        self.revision = 0
        self.expires_ms = 0
        self.questions: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.unapplied: dict[int, int] = {}
        self.last_nonce = 0
        self.asked_ms = 0
        self.next_ask_ms = 0
        self.renewed = False

    @property
    def is_limited(self) -> bool:
        """Return whether keys are honoured for a limited time only."""
        return self.revocation_ms > 0

    @property
    def is_first(self) -> bool:
        """Return whether a lease is needed and none was ever obtained."""
        return self.is_limited and not self.renewed

    @property
    def term_ms(self) -> int:
        """Return how long an answer holds from the time of its question."""
        return int(self.revocation_ms * (1 - CLOCK_TOLERANCE))

    def is_valid(self, at_ms: int) -> bool:
        """Return whether keys may be honoured for a request read then."""
        return not self.is_limited or at_ms < self.expires_ms

    def question_due(self, now_ms: int) -> messages.RevisionQuery | None:
        """Return the question to send now, None if none is due."""
        if not self.is_limited or now_ms < self.next_ask_ms:
            return None
        self.next_ask_ms = now_ms + RETRY_MS
        self.last_nonce += 1
        self.questions[self.last_nonce] = now_ms
        if len(self.questions) > MAX_QUESTIONS:
            self.questions.popitem(last=False)
        return messages.RevisionQuery(self.last_nonce)

    def on_reply(self, reply: messages.RevisionReply) -> None:
        """Renew the lease by an answer to one of its questions.

        Keys are honoured by it once its revision is in force here.
        """
        asked_ms = self.questions.pop(reply.nonce, None)
        if asked_ms is None:
            return
        pause_ms = int(self.revocation_ms * RENEWAL_SHARE)
        self.next_ask_ms = max(self.next_ask_ms, asked_ms + pause_ms)
        known_ms = self.unapplied.get(reply.revision, 0)
        self.unapplied[reply.revision] = max(known_ms, asked_ms)
        self._apply()

    def put_in_force(self, revision: int) -> None:
        """Record the revision that is in force here."""
        self.revision = max(self.revision, revision)
        self._apply()

    def _apply(self) -> None:
        """Extend the lease by the answers whose revisions are in force."""
        for revision in [r for r in self.unapplied if r <= self.revision]:
            asked_ms = self.unapplied.pop(revision)
            self.expires_ms = max(self.expires_ms, asked_ms + self.term_ms)
            self.renewed = True
        while len(self.unapplied) > MAX_QUESTIONS:
            del self.unapplied[next(iter(self.unapplied))]
