"""Compares the catalogue of log events with the code and the documentation."""

import ast
import collections.abc
import pathlib
import re

from trefoil_model import events

ROOT = pathlib.Path(__file__).parents[3]
SOURCES = sorted((ROOT / "libs").glob("*/src/**/*.py"))
PAGES = ("docs/OPERATIONS.md", "docs/operators/logs-and-metrics.md")
EVENT = re.compile(r"[a-z]+\.[a-z_]+")
LOG_FUNCTIONS = {"Note", "_note", "_write"}


def logged_events() -> collections.abc.Iterator[tuple[str, str]]:
    """Yield each event that the code logs, with its file name."""
    for path in SOURCES:
        if "gen" in path.parts or path.name == "events.py":
            continue
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and _name_of(node) in LOG_FUNCTIONS:
                for found in ast.walk(node):
                    if _is_event(found):
                        yield found.value, path.name


def _name_of(call: ast.Call) -> str:
    return getattr(call.func, "attr", "") or getattr(call.func, "id", "")


def _is_event(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and EVENT.fullmatch(node.value) is not None
    )


def test_every_event_is_in_the_catalogue() -> None:
    unknown = [
        found for found in logged_events() if found[0] not in events.CATALOGUE
    ]
    assert unknown == []


def test_the_catalogue_lists_no_event_that_is_never_logged() -> None:
    text = "".join(path.read_text("utf-8") for path in SOURCES)
    unused = [e for e in events.CATALOGUE if text.count(f'"{e}"') < 2]
    assert unused == []


def test_the_documentation_lists_exactly_the_catalogue() -> None:
    text = "".join((ROOT / page).read_text("utf-8") for page in PAGES)
    explained = {
        event
        for line in text.splitlines()
        if line.startswith("|")
        for event in EVENT.findall(line.split("|")[1])
    }
    assert explained == set(events.CATALOGUE)
