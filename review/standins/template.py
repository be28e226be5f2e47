"""Fills in the settings templates of the deploy file, as the platform does.

Only what the project's templates use is supported: values, lists joined by
commas, values as JSON, and sections.
"""

import json
import re
import typing

SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([^{}#^/]+)\}\}")


def fill_in(text: str, fields: dict[str, typing.Any]) -> str:
    """Return a template with its sections and placeholders replaced."""
    return _fill(text, [fields], fields, "", False)


def _fill(
    text: str,
    scopes: list[dict[str, typing.Any]],
    current: typing.Any,
    key: str,
    has_next: bool,
) -> str:
    def section(match: re.Match[str]) -> str:
        kind, name, body = match.groups()
        value = _value(name.strip(), scopes, current)
        if kind == "^":
            return "" if value else _fill(body, scopes, current, key, False)
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = [(str(i), item) for i, item in enumerate(value)]
        else:
            entries = [] if value in (None, False) else [("", value)]
        parts = []
        for position, (entry_key, entry) in enumerate(entries):
            inner = [entry] if isinstance(entry, dict) else []
            more = position + 1 < len(entries)
            parts.append(_fill(body, inner + scopes, entry, entry_key, more))
        return "".join(parts)

    def placeholder(match: re.Match[str]) -> str:
        name = match[1].strip()
        if name == ",":
            return "," if has_next else ""
        if name == "@":
            return key
        name, _, form = name.partition("|")
        value = _value(name, scopes, current)
        return json.dumps(value) if form == "json" else _text(value)

    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, text))


def _value(
    name: str, scopes: list[dict[str, typing.Any]], current: typing.Any
) -> typing.Any:
    if name == ".":
        return current
    for scope in scopes:
        found: typing.Any = scope
        for part in name.split("."):
            if isinstance(found, dict):
                found = found.get(part)
            elif isinstance(found, list) and part.isdigit():
                found = found[int(part)]
            else:
                found = None
        if found is not None:
            return found
    return None


def _text(value: typing.Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)
