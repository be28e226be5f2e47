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

Without seeds the voters of the agreement vouch in the same way: what was
acknowledged is on the disks of a majority, so among any ``n - majority + 1``
voters one has it in its log. That serves callers while no leader is known,
or while the control hosts are cut in two halves.
"""

import collections.abc


def confirmations_needed(count: int) -> int:
    """Return how many of some hosts must vouch without the leader.

    Args:
        count: How many hosts there are; a majority of them holds whatever
            was in force.
    """
    majority = count // 2 + 1
    return count - majority + 1


class Floor:
    """Collects the proof for one process's life.

    Args:
        me: Name of this host.
        seeds: Names of the domain's seeds.
        certain: True for control processes, which know by agreement.
    """

    __slots__ = (
        "me",
        "seeds",
        "revision",
        "proved",
        "seed_revisions",
        "voter_revisions",
    )

    def __init__(
        self, me: str, seeds: list[str], *, certain: bool = False
    ) -> None:
        self.me = me
        self.seeds = sorted(seeds)
        self.revision = 0
        self.proved = certain
        self.seed_revisions: dict[str, int] = {}
        self.voter_revisions: dict[str, int] = {}

    def add_reply(
        self,
        host: str,
        revision: int,
        certain: bool,
        voters: collections.abc.Collection[str] = (),
    ) -> None:
        """Take a floor reply; a negative revision vouches for nothing.

        Args:
            host: Who gives its word.
            revision: The revision that it knows of.
            certain: Whether the leader's quorum confirmed it.
            voters: The agreement's voters, where one of them speaks for
                itself.
        """
        if self.proved:
            return
        if host in voters and revision >= 0:
            self._add_voter_reply(host, revision, voters)
            return
        if certain:
            self.revision = max(self.revision, revision)
            self.proved = True
            return
        if revision < 0 or host not in self.seeds or host == self.me:
            return
        self.seed_revisions[host] = max(
            self.seed_revisions.get(host, 0), revision
        )
        if len(self.seed_revisions) >= confirmations_needed(len(self.seeds)):
            self.revision = max(self.seed_revisions.values())
            self.proved = True

    def _add_voter_reply(
        self,
        host: str,
        revision: int,
        voters: collections.abc.Collection[str],
    ) -> None:
        self.voter_revisions[host] = revision
        revisions = [
            self.voter_revisions[v]
            for v in voters
            if v in self.voter_revisions
        ]
        if len(revisions) >= confirmations_needed(len(voters)):
            self.revision = max(revisions)
            self.proved = True

    def reached_by(self, revision: int) -> bool:
        """Tell whether a revision may be put in force."""
        return self.proved and revision >= self.revision
