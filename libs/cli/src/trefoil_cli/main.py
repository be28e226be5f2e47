"""``trefoilroute``: the operators' command line."""

import getpass
import json
import pathlib
import random
import sys
import time
import typing

import fire

from trefoil_language import parser
from trefoil_language import statements
from trefoil_settings import configuration

from . import client
from . import explain
from . import table

DEFAULT_ADDRESS = "127.0.0.1:7102"
DEFAULT_WAIT_S = 30.0
STATUS = {
    "done": 0,
    "not run": 1,
    "pending": 3,
    "running": 3,
    "taken back": 4,
    "expired": 5,
}
WRONG_LINE = 2
UNREACHABLE = 6
NOT_FOUND = 1


def new_id(now_ms: int) -> str:
    """Return a command number that nobody else draws."""
    return f"{now_ms}-{random.SystemRandom().getrandbits(40):010x}"


class Commands:
    """trefoilroute: ask what is in force, move traffic, take it back.

    A line of the operators' language follows ``say``, for example::

        trefoilroute say in force by host
        trefoilroute say apply configuration.yaml
        trefoilroute say move tables from v1 to v2 in 10m risk 5%
        trefoilroute say is move of tables done
    """

    def say(
        self,
        *words: str,
        at: str = DEFAULT_ADDRESS,
        as_json: bool = False,
        operator: str = "",
        number: str = "",
        wait: float = DEFAULT_WAIT_S,
    ) -> None:
        """Say a line to a process.

        Args:
            words: The line.
            at: Address of the operators' interface of any process.
            as_json: Print JSON in place of a table.
            operator: Your name; the login name by default.
            number: Number of the command; give the one of an earlier try to
                learn its outcome without running it again.
            wait: Seconds to wait for the outcome.
        """
        text = " ".join(str(word) for word in words)
        parsed = parser.parse(text)
        if parsed.is_error():
            _fail(str(parsed.error), WRONG_LINE)
        line = _line_from(text, parsed.ok, operator, str(number))
        try:
            answer = client.Client(at).settle(line, float(wait))
        except client.Unreachable as error:
            _fail(f"{error}\nthe number was {line.command_id}", UNREACHABLE)
        except client.Refused as error:
            _fail(f"not run: {error}", WRONG_LINE)
        _show(answer, as_json)
        raise SystemExit(_status(answer))

    def explain(self, request_id: str, *files: str) -> None:
        """Print what collected logs tell of one request.

        Args:
            request_id: The caller's id of the request.
            files: Logs of the processes, in any order.
        """
        told = explain.story(explain.read(files), str(request_id))
        if not told:
            _fail(f"no line tells of {request_id}", NOT_FOUND)
        for line in told:
            print(line.text)

    def check(self, document: str) -> None:
        """Check a configuration document without applying it."""
        text = pathlib.Path(document).read_text(encoding="utf-8")
        checked = configuration.parse(text, file=document)
        if checked.is_error():
            _fail(str(checked.error), WRONG_LINE)
        print(f"{document}: in order")


def _line_from(
    text: str, statement: typing.Any, operator: str, number: str
) -> client.Line:
    now_ms = int(time.time() * 1000)
    document = ""
    if isinstance(statement, statements.Apply):
        try:
            path = pathlib.Path(statement.file)
            document = path.read_text(encoding="utf-8")
        except OSError as error:
            _fail(str(error), WRONG_LINE)
    return client.Line.numbered(
        text,
        number or new_id(now_ms),
        operator or getpass.getuser(),
        document,
    )


def _show(answer: dict[str, typing.Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(answer, indent=2))
    elif "rows" in answer:
        print(table.render(answer["rows"]))
        if not answer["confirmed"]:
            print(f"(as {answer['told_by']} knows it; no leader confirms it)")
    else:
        print(f"{answer['outcome']}: {answer['reason']}")
        print(f"number {answer['command_id']}")


def _status(answer: dict[str, typing.Any]) -> int:
    outcome = answer.get("outcome")
    rows = answer.get("rows")
    if outcome is None and rows and len(rows) == 1:
        outcome = rows[0].get("outcome")
    return STATUS.get(outcome, 0) if outcome else 0


def _fail(text: str, status: int) -> typing.NoReturn:
    print(text, file=sys.stderr)
    raise SystemExit(status)


def run() -> None:
    """Entry point of ``trefoilroute``."""
    fire.Fire(Commands(), name="trefoilroute")
