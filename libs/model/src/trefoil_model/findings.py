"""Findings: problems in an input, with their positions."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Place:
    """A position in an input; lines and columns are numbered from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Finding:
    """One problem and its place in the input."""

    place: Place
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class Findings:
    """All findings of one input; iterates and prints in sorted order."""

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
