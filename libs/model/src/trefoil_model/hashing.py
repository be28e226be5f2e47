"""Hashes that are the same in every process."""

import collections.abc

import xxhash

SIGN_BIT = 1 << 63
MODULUS = 1 << 64


def hash64(*parts: bytes) -> int:
    """Return a hash as a signed 64-bit integer, the range of Thrift's i64.

    Args:
        parts: What is hashed; several parts count as their concatenation.
    """
    hasher = xxhash.xxh3_64()
    for part in parts:
        hasher.update(part)
    value = hasher.intdigest()
    return value - MODULUS if value >= SIGN_BIT else value


def rank(
    key: str, names: collections.abc.Iterable[str]
) -> collections.abc.Sequence[str]:
    """Return names ordered by rendezvous hash of a key, highest weight first.

    Adding or removing one name never reorders the others, so at most one of
    the first n names changes. Source: highest random weight hashing (Thaler
    and Ravishankar, 1998).
    """
    prefix = key.encode()

    def weight(name: str) -> tuple[int, str]:
        return (xxhash.xxh3_64_intdigest(prefix + b"\0" + name.encode()), name)

    return sorted(names, key=weight, reverse=True)
