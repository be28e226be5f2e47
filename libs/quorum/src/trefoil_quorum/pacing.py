"""How long elections wait, given how long this host's disk takes.

An election takes four writes in a row: the candidate's term, the voters'
votes, the new leader's first entry and its copies. If other candidates raise
the term before that, none of them is ever elected.
"""

import collections
import random
import statistics

# The process ticks this often when it is not blocked.
TICK_MS = 50
# A longer gap is a suspended process rather than a write.
MAX_WRITE_MS = 2000
WRITES_PER_ELECTION = 4
RECENT_WRITES = 5
# Limits the growth of the timeout over elections without a leader.
MAX_GROWTH = 8


class ElectionPacing:
    """Draws the timeouts of elections.

    Args:
        election_ms: Minimum election timeout with a quick disk.

    Attributes:
        failed_elections: Elections of this process since an entry of the
            current term was last committed.
    """

    __slots__ = (
        "election_ms",
        "failed_elections",
        "recent_writes_ms",
        "writing_since_ms",
    )

    def __init__(self, election_ms: int) -> None:
        self.election_ms = election_ms
        self.failed_elections = 0
        self.recent_writes_ms: collections.deque[int] = collections.deque(
            maxlen=RECENT_WRITES
        )
        self.writing_since_ms: int | None = None

    def write_begins(self, now_ms: int) -> None:
        """Record that the process is blocked by a write from now on."""
        self.writing_since_ms = now_ms

    def stalled_ms(self, now_ms: int) -> int:
        """Return how long a write blocked the process since it began."""
        if self.writing_since_ms is None:
            return 0
        gap_ms = now_ms - self.writing_since_ms - TICK_MS
        self.writing_since_ms = None
        took_ms = min(max(gap_ms, 0), MAX_WRITE_MS)
        self.recent_writes_ms.append(took_ms)
        return took_ms

    @property
    def write_ms(self) -> int:
        """Return how long a write usually takes; 0 if that is not felt."""
        if not self.recent_writes_ms:
            return 0
        return int(statistics.median_low(self.recent_writes_ms))

    @property
    def timeout_ms(self) -> int:
        """Return after what silence a leader counts as gone."""
        return self.election_ms + WRITES_PER_ELECTION * self.write_ms

    def draw_ms(
        self, rng: random.Random, *, min_part: int, spread_part: int
    ) -> int:
        """Return the time to the next election.

        It doubles with each election that gave no leader, since the disks of
        the others may be slower than this one.

        Args:
            rng: Draws the time.
            min_part: The minimum is this part of the election timeout.
            spread_part: The spread is this part of it.
        """
        growth = min(1 << max(self.failed_elections - 1, 0), MAX_GROWTH)
        writes_ms = WRITES_PER_ELECTION * self.write_ms
        min_ms = growth * (self.election_ms // min_part + writes_ms)
        spread_ms = growth * (self.election_ms // spread_part + writes_ms)
        return min_ms + rng.randrange(spread_ms)
