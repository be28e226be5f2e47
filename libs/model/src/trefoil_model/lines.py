"""Log lines of key=value pairs, written and read back."""

import json

PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/#%+-"
)


def quote(value: object) -> str:
    """Return a value so that it parses back: bare, or a JSON string."""
    text = str(value)
    if text and all(letter in PLAIN for letter in text):
        return text
    return json.dumps(text)


def parse(line: str) -> dict[str, str]:
    """Return the pairs of a log line."""
    found = {}
    decoder = json.JSONDecoder()
    rest = line.strip()
    while rest:
        key, _, rest = rest.partition("=")
        if rest.startswith('"'):
            value, end = decoder.raw_decode(rest)
        else:
            end = (rest + " ").index(" ")
            value = rest[:end]
        found[key] = value
        rest = rest[end:].lstrip()
    return found
