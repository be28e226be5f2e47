"""Leaves odd entries out of the messages of other processes.

A frame that can be read may hold entries without a name or with numbers that
no process makes. Stored and passed on, they fail where they are used, each
time anew: in every tick, in the choice of a target for any caller, in answers
to operators. One odd entry must cost neither the others nor the link.
"""

import functools
import math
import sys
import typing

from trefoil_model import errors

from . import messages

ENTRY_LISTS: dict[type, tuple[str, ...]] = {
    messages.RecordsDelta: ("records",),
    messages.HostRecord: ("targets", "announcement_floors"),
    messages.RecordsSummary: ("versions",),
    messages.Reports: ("reports",),
    messages.ControlHosts: ("hosts",),
    messages.AnnouncementFloors: ("floors",),
    messages.EvidenceReport: ("tallies",),
    messages.LoadReport: ("services",),
    messages.DomainLoads: ("domains",),
    messages.DomainLoad: ("services",),
    messages.LedgerPush: ("entries",),
    messages.TokenAsk: ("wishes",),
    messages.TokenReply: ("grants",),
    messages.CrashNotice: (),
    messages.ClaimReply: (),
    messages.ClaimDone: (),
    messages.Answer: (),
}
# Of the most frequent message only what would fail is checked.
CHECKED_FIELDS: dict[type, frozenset[str]] = {
    messages.Answer: frozenset(
        ("request_id", "status", "usual_us", "limit_per_s")
    ),
}
# Fields that may be missing, beside those that have a default.
OPTIONAL: dict[type, frozenset[str]] = {
    messages.HostRecord: frozenset(
        ("region", "targets", "announcement_floors")
    ),
    messages.TargetRecord: frozenset(("started_ms", "limit_per_s")),
    messages.ControlHost: frozenset(("address", "domain")),
    messages.LedgerEntry: frozenset(("answer",)),
    messages.ClaimReply: frozenset(("answer", "host")),
    messages.Answer: frozenset(("usual_us", "limit_per_s")),
    # Processes of an older release do not send these.
    messages.LedgerPush: frozenset(("service_name", "knows_members")),
    messages.CrashNotice: frozenset(("ran_ms",)),
}
# Hashes and ids that are drawn from all numbers of 64 bits.
SIGNED = frozenset(
    ("notice_id", "key", "claim_id", "fingerprint", "request_id")
)
# A host that refutes a record of itself publishes the next number.
VERSION_LIMIT = 1 << 62
# Slots are added up over the hosts of a failure domain, in 32 bits.
SLOTS_LIMIT = 1 << 24
# The buckets of a latency histogram end below 2**64 us.
BUCKETS_LIMIT = 64 * 4


class Bounds(typing.NamedTuple):
    """The least and the greatest number of a field, both finite."""

    least: float = 0
    greatest: float = sys.float_info.max


BOUNDS: dict[tuple[type, str], Bounds] = {
    (messages.HostRecord, "incarnation"): Bounds(greatest=VERSION_LIMIT),
    (messages.HostRecord, "sequence"): Bounds(greatest=VERSION_LIMIT),
    (messages.HostRecord, "state"): Bounds(
        messages.HostState.ALIVE, messages.HostState.DEAD
    ),
    (messages.TargetRecord, "state"): Bounds(
        messages.TargetState.COLD, messages.TargetState.DRAINING
    ),
    (messages.TargetRecord, "slots"): Bounds(greatest=SLOTS_LIMIT),
    (messages.ServiceLoad, "slots"): Bounds(greatest=SLOTS_LIMIT),
    (messages.Answer, "status"): Bounds(200, 999),
}


class Rule(typing.NamedTuple):
    """What is checked of one field.

    Args:
        name: Name of the field.
        required: Whether it must be there.
        least: The least number that it may be.
        greatest: The greatest number that it may be.
    """

    name: str
    required: bool
    least: float
    greatest: float


def remove_odd_entries(message: typing.Any) -> int:
    """Remove the entries of a message that no process can work with.

    Returns:
        How many were removed.

    Raises:
        FrameError: The message itself lacks a field or has an odd number.
    """
    if type(message) not in ENTRY_LISTS:
        return 0
    if not is_sound(message):
        raise errors.FrameError(f"odd fields in {type(message).__name__}")
    return _remove_odd(message)


def _remove_odd(struct: typing.Any) -> int:
    removed = 0
    for name in ENTRY_LISTS.get(type(struct), ()):
        entries = getattr(struct, name)
        if not entries:
            continue
        sound = [entry for entry in entries if is_sound(entry)]
        if len(sound) < len(entries):
            setattr(struct, name, sound)
        removed += len(entries) - len(sound) + sum(map(_remove_odd, sound))
    return removed


def is_sound(struct: typing.Any) -> bool:
    """Return whether a struct has its fields and no odd number."""
    for name, required, least, greatest in _rules(type(struct)):
        value = getattr(struct, name)
        kind = type(value)
        if kind is int or kind is float:
            # Nothing compares with a value that is not a number.
            if not least <= value <= greatest:
                return False
        elif value is None:
            if required:
                return False
        elif kind is dict and not _is_sound_histogram(value):
            return False
        elif kind is messages.Answer and not is_sound(value):
            return False
    return True


@functools.cache
def _rules(kind: type) -> tuple[Rule, ...]:
    optional = OPTIONAL.get(kind, frozenset())
    names = [field[2] for field in filter(None, kind.thrift_spec)]
    checked = CHECKED_FIELDS.get(kind, frozenset(names))
    rules = []
    for name in filter(checked.__contains__, names):
        bounds = BOUNDS.get((kind, name), Bounds())
        if name in SIGNED:
            bounds = Bounds(least=-math.inf)
        rules.append(Rule(name, name not in optional, *bounds))
    return tuple(rules)


def _is_sound_histogram(counts: dict[int, int]) -> bool:
    return all(
        0 <= bucket < BUCKETS_LIMIT and count >= 0
        for bucket, count in counts.items()
    )
