"""Hashes that every process computes alike."""

import collections.abc

import xxhash

SIGN_BIT = 1 << 63
WRAP = 1 << 64


def hash64(data: bytes) -> int:
    """Return a signed 64-bit hash, which fits a Thrift i64."""
    value = xxhash.xxh3_64_intdigest(data)
    return value - WRAP if value >= SIGN_BIT else value


def rank(
    key: str, names: collections.abc.Iterable[str]
) -> collections.abc.Sequence[str]:
    """Order names by rendezvous hash of a key, best first.

    Adding or removing one name never reorders the others, so the first few
    change by one at most. Source: highest random weight hashing (Thaler and
    Ravishankar, 1998).
    """
    prefix = key.encode()

    def weight(name: str) -> tuple[int, str]:
        return (xxhash.xxh3_64_intdigest(prefix + b"\0" + name.encode()), name)

    return sorted(names, key=weight, reverse=True)
