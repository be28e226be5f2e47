"""Fills in the settings templates, as the platform does."""

import json
import re
import typing

TOKEN = re.compile(r"\{\{([#^/]?)([^{}]+?)\}\}")
Fields = dict[str, typing.Any]


def render(text: str, fields: Fields) -> str:
    """Return a template with its placeholders replaced.

    Args:
        text: The template.
        fields: The fields of the settings.
    """
    return _render(text, [fields], "", False)


def _render(text: str, scopes: list[typing.Any], key: str, last: bool) -> str:
    parts = []
    position = 0
    while match := TOKEN.search(text, position):
        parts.append(text[position : match.start()])
        kind, name = match[1], match[2]
        position = match.end()
        if kind in ("#", "^"):
            end = "{{/" + name + "}}"
            stop = text.index(end, position)
            body = text[position:stop]
            position = stop + len(end)
            parts.append(_section(kind, name, body, scopes))
        else:
            parts.append(_value(name, scopes, key, last))
    parts.append(text[position:])
    return "".join(parts)


def _section(kind: str, name: str, body: str, scopes: list[typing.Any]) -> str:
    value = _look_up(name, scopes)
    if kind == "^":
        return "" if value else _render(body, scopes, "", False)
    if value is None or value is False:
        return ""
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        entries = [("", value)]
    return "".join(
        _render(body, [entry, *scopes], str(key), number == len(entries) - 1)
        for number, (key, entry) in enumerate(entries)
    )


def _value(name: str, scopes: list[typing.Any], key: str, last: bool) -> str:
    if name == ",":
        return "" if last else ","
    if name == "@":
        return key
    name, _, style = name.partition("|")
    value = _look_up(name, scopes)
    if style == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    if isinstance(value, dict | bool):
        return json.dumps(value)
    return str(value)


def _look_up(name: str, scopes: list[typing.Any]) -> typing.Any:
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None
