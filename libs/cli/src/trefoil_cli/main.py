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
EXIT_STATUS_BY_OUTCOME = {
    "done": 0,
    "not run": 1,
    "pending": 3,
    "running": 3,
    "taken back": 4,
    "expired": 5,
}
EXIT_INVALID_INPUT = 2
EXIT_UNREACHABLE = 6
EXIT_NOT_FOUND = 1


def new_id(now_ms: int) -> str:
    """Return a unique command number that starts with the time of issue."""
    return f"{now_ms}-{random.SystemRandom().getrandbits(40):010x}"


class Commands:
    """trefoilroute: query the fleet, move traffic, reverse moves.

    ``say`` takes a line of the operators' language, for example::

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
        """Send a line of the operators' language to a process.

        Args:
            words: The line.
            at: Address of the admin listener of any process.
            as_json: Print JSON instead of a table.
            operator: Name of the operator; the login name by default.
            number: Number of the command; pass the number of an earlier
                attempt to get its outcome without running it again.
            wait: Seconds to wait for the outcome.

        Raises:
            SystemExit: Always; its code tells the outcome.
        """
        text = " ".join(str(word) for word in words)
        parsed = parser.parse(text)
        if parsed.is_error():
            _exit_with_error(str(parsed.error), EXIT_INVALID_INPUT)
        line = _build_line(text, parsed.ok, operator, str(number))
        try:
            answer = client.Client(at).send_and_wait(line, float(wait))
        except client.Unreachable as error:
            _exit_with_error(
                f"{error}\nthe number was {line.command_id}", EXIT_UNREACHABLE
            )
        except client.Refused as error:
            _exit_with_error(f"not run: {error}", EXIT_INVALID_INPUT)
        _print_answer(answer, as_json)
        raise SystemExit(_exit_status(answer))

    def explain(self, request_id: str, *files: str) -> None:
        """Print the history of one request from collected logs.

        Args:
            request_id: Id that the caller gave the request.
            files: Log files of the processes, in any order.

        Raises:
            SystemExit: No line has the id.
        """
        history = explain.request_history(explain.read(files), str(request_id))
        if not history:
            _exit_with_error(f"no line tells of {request_id}", EXIT_NOT_FOUND)
        for line in history:
            print(line.text)

    def check(self, document: str) -> None:
        """Check a configuration document without applying it.

        Args:
            document: Path of the document.

        Raises:
            SystemExit: The document is invalid.
        """
        text = pathlib.Path(document).read_text(encoding="utf-8")
        result = configuration.parse(text, file=document)
        if result.is_error():
            _exit_with_error(str(result.error), EXIT_INVALID_INPUT)
        print(f"{document}: in order")


def _build_line(
    text: str, statement: typing.Any, operator: str, number: str
) -> client.Line:
    now_ms = int(time.time() * 1000)
    document = ""
    if isinstance(statement, statements.Apply):
        try:
            path = pathlib.Path(statement.file)
            document = path.read_text(encoding="utf-8")
        except OSError as error:
            _exit_with_error(str(error), EXIT_INVALID_INPUT)
    return client.Line.from_number(
        text,
        number or new_id(now_ms),
        operator or getpass.getuser(),
        document,
    )


def _print_answer(answer: dict[str, typing.Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(answer, indent=2))
    elif "rows" in answer:
        print(table.render(answer["rows"]))
        if not answer["confirmed"]:
            print(f"(as {answer['told_by']} knows it; no leader confirms it)")
    else:
        print(f"{answer['outcome']}: {answer['reason']}")
        print(f"number {answer['command_id']}")


def _exit_status(answer: dict[str, typing.Any]) -> int:
    outcome = answer.get("outcome")
    rows = answer.get("rows")
    if outcome is None and rows and len(rows) == 1:
        outcome = rows[0].get("outcome")
    return EXIT_STATUS_BY_OUTCOME.get(outcome, 0) if outcome else 0


def _exit_with_error(text: str, status: int) -> typing.NoReturn:
    print(text, file=sys.stderr)
    raise SystemExit(status)


def run() -> None:
    """Entry point of ``trefoilroute``."""
    fire.Fire(Commands(), name="trefoilroute")
