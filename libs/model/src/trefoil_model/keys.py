"""Keys of client accounts, which are stored and compared as digests only."""

import hashlib

# With 128 bits, two of a billion keys share a digest with a probability
# below 1e-20.
DIGEST_BYTES = 16
MAX_KEY_BYTES = 512


def digest_of(key: bytes) -> bytes:
    """Return the digest of a key.

    Keys are looked up by their digests: how long that takes depends on the
    digest, which tells a caller nothing about other keys.
    """
    return hashlib.sha256(key).digest()[:DIGEST_BYTES]


def is_valid(key: str) -> bool:
    """Return whether a text can be a key: printable ASCII, no spaces."""
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return False
    return key.isascii() and key.isprintable() and " " not in key
