"""Validation of YAML nodes against a schema, with the place of each finding.

The classes describe the kinds of values; ``read`` converts a node to a value
of a kind and records what is wrong with it.
"""

import dataclasses
import functools
import ipaddress
import math
import re
import typing

import yaml

from trefoil_model import findings as finding_store
from trefoil_model import keys

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
DURATION_MS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
MAX_PORT = 65535
# libyaml reads a file of a hundred thousand keys in seconds instead of half a
# minute; it is missing on some platforms.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Scalars, lists and mappings in one text. Each takes some 400 bytes while it
# is read: a list of empty lists takes a hundred times its length.
MAX_NODES = 150_000
FLAG_VALUES = {"true": True, "false": False}


@dataclasses.dataclass(slots=True, frozen=True)
class Text:
    """A scalar as text.

    Args:
        choices: The allowed texts; empty for any.
    """

    choices: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Name:
    """A name of up to 64 letters, digits, dots, dashes and underscores."""


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """A client account's key, read as its digest.

    Findings tell the place of a key but never the key itself.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class Number:
    """A number within bounds.

    Args:
        minimum: Smallest allowed value.
        maximum: Largest allowed value.
        integer: Whether it must be an integer.
    """

    minimum: float
    maximum: float
    integer: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Flag:
    """``true`` or ``false``."""


@dataclasses.dataclass(slots=True, frozen=True)
class Duration:
    """A duration such as ``250ms``, ``2s`` or ``10m``, in milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IPv4 address and port, such as ``127.0.0.1:8080``."""


@dataclasses.dataclass(slots=True, frozen=True)
class ListOf:
    """A list.

    Args:
        kind: Kind of its items.
    """

    kind: typing.Any


@dataclasses.dataclass(slots=True, frozen=True)
class MapOf:
    """A mapping from names to values.

    Args:
        kind: Kind of its values.
    """

    kind: typing.Any


@dataclasses.dataclass(slots=True, frozen=True)
class Field:
    """One key of a record.

    Args:
        kind: Kind of its value.
        required: Whether the key must be present.
        default: Value if the key is absent.
    """

    kind: typing.Any
    required: bool = False
    default: typing.Any = None


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """A mapping with a fixed set of keys; any other key is a finding.

    Args:
        fields: The keys and their fields.
        make: Called with the fields' values as keywords; returns the record.
    """

    fields: tuple[tuple[str, Field], ...]
    make: typing.Callable[..., typing.Any]


class Reader:
    """Reads one YAML text and collects its findings.

    ``places`` holds the place of each record, by the record's ``id``.

    Args:
        file: Name of the file, for the places of findings.
    """

    __slots__ = ("file", "findings", "places")

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings = finding_store.Findings()
        self.places: dict[int, finding_store.Place] = {}

    def parse(self, text: str, kind: typing.Any) -> typing.Any:
        """Return the value of a text, or None after a finding.

        Args:
            text: The YAML text.
            kind: Kind of its value.
        """
        try:
            if _has_too_many_nodes(text):
                place = finding_store.Place(self.file, 1, 1)
                self.findings.add(place, f"more than {MAX_NODES} values")
                return None
            node = yaml.compose(text, Loader=LOADER)
        except yaml.YAMLError as error:
            mark = getattr(error, "problem_mark", None)
            line = mark.line + 1 if mark else 1
            column = mark.column + 1 if mark else 1
            place = finding_store.Place(self.file, line, column)
            problem = getattr(error, "problem", None) or str(error)
            self.findings.add(place, f"not YAML: {problem}")
            return None
        except RecursionError:
            place = finding_store.Place(self.file, 1, 1)
            self.findings.add(place, "nested too deeply")
            return None
        if node is None:
            self.findings.add(
                finding_store.Place(self.file, 1, 1), "the file is empty"
            )
            return None
        return read(kind, self, node)

    def place(self, node: yaml.Node) -> finding_store.Place:
        """Return the place where a node starts."""
        mark = node.start_mark
        return finding_store.Place(self.file, mark.line + 1, mark.column + 1)

    def problem(self, node: yaml.Node, text: str) -> None:
        """Record a finding at a node."""
        self.findings.add(self.place(node), text)

    def scalar(self, node: yaml.Node, expected: str) -> str | None:
        """Return a scalar's text, or None after a finding.

        Args:
            node: The node.
            expected: What the finding says was expected.
        """
        if isinstance(node, yaml.ScalarNode):
            return node.value
        self.problem(node, f"expected {expected}")
        return None


def _has_too_many_nodes(text: str) -> bool:
    """Return whether a text has more nodes than are read.

    Raises:
        YAMLError: The text is malformed before it has too many.
    """
    nodes = 0
    for event in yaml.parse(text, Loader=LOADER):
        nodes += isinstance(event, yaml.NodeEvent)
        if nodes > MAX_NODES:
            return True
    return False


@functools.singledispatch
def read(kind: typing.Any, reader: Reader, node: yaml.Node) -> typing.Any:
    """Return a node's value, or None after a finding.

    A list or a mapping of names is returned even if some of its values are
    None; the reader's findings tell whether the text is valid.

    Args:
        kind: Kind of the value, an instance of one of the classes above.
        reader: Collects the findings.
        node: The node.

    Raises:
        TypeError: There is no such kind.
    """
    raise TypeError(f"no such kind: {kind!r}")


@read.register
def _(kind: Text, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "text")
    if text is not None and kind.choices and text not in kind.choices:
        expected = ", ".join(kind.choices)
        reader.problem(node, f"{text!r} is none of {expected}")
        return None
    return text


@read.register
def _(kind: Name, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "a name")
    if text is not None and not NAME.fullmatch(text):
        reader.problem(node, f"{text!r} is not a name")
        return None
    return text


@read.register
def _(kind: Key, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "a key")
    if text is None:
        return None
    if not keys.is_valid(text):
        reader.problem(
            node,
            f"a key has 1 to {keys.MAX_KEY_BYTES} printable ASCII characters "
            "and no space",
        )
        return None
    return keys.digest_of(text.encode("ascii"))


@read.register
def _(kind: Number, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "a number")
    if text is None:
        return None
    try:
        value = int(text) if kind.integer else float(text)
    except ValueError:
        reader.problem(node, f"{text!r} is not a number")
        return None
    if not kind.minimum <= value <= kind.maximum:
        reader.problem(
            node, f"{text} is not between {kind.minimum} and {kind.maximum}"
        )
        return None
    return value


@read.register
def _(kind: Flag, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "true or false")
    if text is not None and text not in FLAG_VALUES:
        reader.problem(node, f"{text!r} is neither true nor false")
        return None
    return FLAG_VALUES.get(text)


@read.register
def _(kind: Duration, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "a time such as 2s")
    if text is None:
        return None
    match = DURATION.fullmatch(text)
    if match is None:
        reader.problem(node, f"{text!r} is not a time such as 250ms or 2s")
        return None
    duration_ms = float(match.group(1)) * DURATION_MS[match.group(2)]
    if not math.isfinite(duration_ms):
        reader.problem(node, "the time is too long")
        return None
    return int(duration_ms)


@read.register
def _(kind: Address, reader: Reader, node: yaml.Node) -> typing.Any:
    text = reader.scalar(node, "an address such as 127.0.0.1:8080")
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = 0 <= int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        reader.problem(node, f"{text!r} is not an IPv4 address and port")
        return None
    return text


@read.register
def _(kind: ListOf, reader: Reader, node: yaml.Node) -> typing.Any:
    if not isinstance(node, yaml.SequenceNode):
        reader.problem(node, "expected a list")
        return None
    return [read(kind.kind, reader, item) for item in node.value]


@read.register
def _(kind: MapOf, reader: Reader, node: yaml.Node) -> typing.Any:
    if not isinstance(node, yaml.MappingNode):
        reader.problem(node, "expected a mapping")
        return None
    values = {}
    for key, value in node.value:
        name = read(Name(), reader, key)
        if name in values:
            reader.problem(key, f"{name!r} stands twice")
        values[name] = read(kind.kind, reader, value)
    return values


@read.register
def _(kind: Record, reader: Reader, node: yaml.Node) -> typing.Any:
    if not isinstance(node, yaml.MappingNode):
        reader.problem(node, "expected a mapping")
        return None
    before = len(reader.findings)
    fields = dict(kind.fields)
    values: dict[str, typing.Any] = {}
    for key, value in node.value:
        name = key.value if isinstance(key, yaml.ScalarNode) else "?"
        if name not in fields:
            known = ", ".join(fields)
            reader.problem(key, f"unknown key {name!r}; known are {known}")
        elif name in values:
            reader.problem(key, f"{name!r} stands twice")
        else:
            values[name] = read(fields[name].kind, reader, value)
    for name, field in fields.items():
        if name not in values:
            if field.required:
                reader.problem(node, f"{name!r} is missing")
            values[name] = field.default
    if len(reader.findings) > before:
        return None
    record = kind.make(**values)
    reader.places[id(record)] = reader.place(node)
    return record
