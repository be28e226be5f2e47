"""Format of log lines: key=value pairs."""

import json

BARE_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/#%+-"
)


def quote(value: object) -> str:
    """Return a value as ``parse`` reads it: bare, or as a JSON string."""
    text = str(value)
    if text and all(character in BARE_CHARACTERS for character in text):
        return text
    return json.dumps(text)


def parse(line: str) -> dict[str, str]:
    """Return the keys and values of a log line.

    Raises:
        ValueError: A quoted value is not a valid JSON string.
    """
    pairs = {}
    decoder = json.JSONDecoder()
    rest = line.strip()
    while rest:
        key, _, rest = rest.partition("=")
        if rest.startswith('"'):
            value, end = decoder.raw_decode(rest)
        else:
            end = (rest + " ").index(" ")
            value = rest[:end]
        pairs[key] = value
        rest = rest[end:].lstrip()
    return pairs
