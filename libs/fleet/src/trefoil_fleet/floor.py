"""The floor: the revision a restarted proxy must reach before it serves.

A proxy has no disk, so after a restart it does not know what it had in
force. Two proofs allow it to serve:

* the leader's word: the newest agreed revision, read through a quorum after
  the proxy started, is at least everything that was ever in force;
* in a failure domain that is cut off, the word of enough of its seeds. A
  seed puts a revision in force, and passes it on, only once a majority of
  the domain's seeds hold it; so among any ``n - majority + 1`` seeds that
  have not restarted since, one holds all that was in force here.

A seed that restarted itself vouches for nothing until it has its own proof.
"""


class Floor:
    """Collects the proof for one process's life.

    Args:
        me: Name of this host.
        seeds: Names of the domain's seeds.
        certain: True for control processes, which know by agreement.
    """

    __slots__ = ("me", "seeds", "revision", "proved", "words")

    def __init__(
        self, me: str, seeds: list[str], *, certain: bool = False
    ) -> None:
        self.me = me
        self.seeds = sorted(seeds)
        self.revision = 0
        self.proved = certain
        self.words: dict[str, int] = {}

    @property
    def words_needed(self) -> int:
        """Return how many seeds must vouch without the leader."""
        majority = len(self.seeds) // 2 + 1
        return len(self.seeds) - majority + 1

    def hear(self, host: str, revision: int, certain: bool) -> None:
        """Take a floor reply; a negative revision vouches for nothing."""
        if self.proved:
            return
        if certain:
            self.revision = max(self.revision, revision)
            self.proved = True
            return
        if revision < 0 or host not in self.seeds or host == self.me:
            return
        self.words[host] = max(self.words.get(host, 0), revision)
        if len(self.words) >= self.words_needed:
            self.revision = max(self.words.values())
            self.proved = True

    def reached_by(self, revision: int) -> bool:
        """Tell whether a revision may be put in force."""
        return self.proved and revision >= self.revision
