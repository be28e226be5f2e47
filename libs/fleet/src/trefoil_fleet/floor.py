"""The floor: the minimum revision of a restarted proxy.

A proxy keeps nothing on disk, so after a restart it does not know which
revision it had in force. It may serve only at or above the floor, which is
proved in one of two ways:

* by the leader's reply: the newest agreed revision, read through a quorum
  after the proxy started, is at least as new as any that was ever in force;
* in a failure domain that is cut off, by the replies of enough of its seeds.
  A seed puts a revision in force, and sends it on, only once a majority of
  the domain's seeds hold it. So among any ``n - majority + 1`` seeds that
  have not restarted since, one holds every revision that was in force here.

A seed that restarted confirms no revision until its own floor is proved.

In a fleet without seeds the Raft voters confirm in the same way: an
acknowledged entry is on the disks of a majority, so among any
``n - majority + 1`` voters one has it in its log. This lets proxies serve
callers while no leader is known, or while the control hosts are partitioned
into two halves.

What seeds and voters confirm is an upper bound. A voter cannot know whether
the newest entries of its log will be agreed on, or whether their commands
will be refused, so its bound may be a revision that never exists. Each proof
covers all that was in force before this process started. Therefore the lowest
one counts, and replies are collected until a revision in force reaches it.
"""

import collections.abc


def confirmations_needed(count: int) -> int:
    """Return how many hosts must confirm when the leader does not.

    Args:
        count: Number of hosts, a majority of which holds every revision
            that was in force.
    """
    majority = count // 2 + 1
    return count - majority + 1


class Floor:
    """Collects the proofs of the floor until a revision reaches it.

    Args:
        local_host: Name of this host.
        seeds: Names of the domain's seeds.
        proved: True for control processes, whose floor Raft guarantees.

    Attributes:
        given_by: The hosts whose replies proved the floor.
    """

    __slots__ = (
        "local_host",
        "seeds",
        "revision",
        "proved",
        "given_by",
        "seed_revisions",
        "voter_revisions",
    )

    def __init__(
        self, local_host: str, seeds: list[str], *, proved: bool = False
    ) -> None:
        self.local_host = local_host
        self.seeds = sorted(seeds)
        self.revision = 0
        self.proved = proved
        self.given_by: list[str] = []
        self.seed_revisions: dict[str, int] = {}
        self.voter_revisions: dict[str, int] = {}

    def add_reply(
        self,
        host: str,
        revision: int,
        confirmed_by_leader: bool,
        voters: collections.abc.Collection[str] = (),
    ) -> None:
        """Add a floor reply.

        Args:
            host: The host that replied.
            revision: The newest revision that it knows of; a negative one
                confirms nothing.
            confirmed_by_leader: Whether the leader confirmed the revision
                through its quorum.
            voters: The Raft voters, if one of them replied on its own
                behalf.
        """
        if host in voters and revision >= 0:
            self._add_voter_reply(host, revision, voters)
            return
        if confirmed_by_leader:
            self._prove(revision, [host])
            return
        if revision < 0 or host not in self.seeds or host == self.local_host:
            return
        self.seed_revisions[host] = max(
            self.seed_revisions.get(host, 0), revision
        )
        if len(self.seed_revisions) >= confirmations_needed(len(self.seeds)):
            highest = max(self.seed_revisions.values())
            self._prove(highest, sorted(self.seed_revisions))

    def _add_voter_reply(
        self,
        host: str,
        revision: int,
        voters: collections.abc.Collection[str],
    ) -> None:
        self.voter_revisions[host] = revision
        replied = [voter for voter in voters if voter in self.voter_revisions]
        if len(replied) >= confirmations_needed(len(voters)):
            highest = max(self.voter_revisions[voter] for voter in replied)
            self._prove(highest, replied)

    def _prove(self, revision: int, given_by: list[str]) -> None:
        """Use a proof if it is the first one or lower than all others."""
        if self.proved and revision >= self.revision:
            return
        self.revision = revision
        self.proved = True
        self.given_by = given_by

    def reached_by(self, revision: int) -> bool:
        """Return whether the floor allows a revision to be put in force."""
        return self.proved and revision >= self.revision
