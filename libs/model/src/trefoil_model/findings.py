"""Findings: what is wrong with an input, and where."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Place:
    """A position in an input; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Finding:
    """One thing that is wrong, with its place."""

    place: Place
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Findings:
    """A collection of findings that are reported together."""

    __slots__ = ("found",)

    def __init__(self) -> None:
        self.found: list[Finding] = []

    def add(self, place: Place, problem: str) -> None:
        """Record a problem at a place."""
        self.found.append(Finding(place, problem))

    def __bool__(self) -> bool:
        return bool(self.found)

    def __iter__(self) -> typing.Iterator[Finding]:
        return iter(sorted(self.found))

    def __len__(self) -> int:
        return len(self.found)

    def __str__(self) -> str:
        return "\n".join(str(finding) for finding in self)
