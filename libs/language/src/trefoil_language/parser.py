"""Parser of the operators' language."""

import functools
import pathlib
import typing

import expression
import lark

from . import statements

GRAMMAR_PATH = pathlib.Path(__file__).with_name("language.lark")
UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
MAX_LINE_CHARS = 1000
TERMINAL_TEXTS = {
    "NAME": "a name",
    "NUMBER": "a number",
    "DURATION": "a time such as 30s",
    "INSTANT": "a date and time such as 2026-12-03T10:00:00Z",
    "PERCENT": "a share such as 5%",
    "FILE": "a file",
    "$END": "the end of the line",
}


class LanguageError(Exception):
    """A syntax error in a line.

    Args:
        line: The line.
        column: Column of the error, counted from 1.
        expected: Descriptions of the tokens that are valid there.
    """

    def __init__(self, line: str, column: int, expected: list[str]) -> None:
        super().__init__(line)
        self.line = line
        self.column = column
        self.expected = expected

    def __str__(self) -> str:
        marker = " " * (self.column - 1) + "^"
        choices = ", ".join(self.expected)
        return f"{self.line}\n{marker}\nexpected {choices}"


@functools.cache
def load_parser() -> lark.Lark:
    """Return the parser; it is built on the first call only."""
    return lark.Lark(
        GRAMMAR_PATH.read_text(encoding="utf-8"),
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=False,
    )


def parse(line: str) -> expression.Result[typing.Any, LanguageError]:
    """Return the statement of a line, or its syntax error."""
    if len(line) > MAX_LINE_CHARS or "\n" in line:
        error = LanguageError(line[:MAX_LINE_CHARS], 1, ["one short line"])
        return expression.Error(error)
    try:
        tree = load_parser().parse(line)
        return expression.Ok(StatementBuilder().transform(tree))
    except lark.exceptions.UnexpectedInput as error:
        return expression.Error(_syntax_error(line, error))
    except lark.exceptions.VisitError as error:
        if not isinstance(error.orig_exc, OverflowError):
            raise
        return expression.Error(LanguageError(line, 1, ["smaller numbers"]))


def _syntax_error(
    line: str, error: lark.exceptions.UnexpectedInput
) -> LanguageError:
    column = getattr(error, "column", -1)
    token = getattr(error, "token", None)
    at_end = token is not None and token.type == "$END"
    if at_end or column is None or column < 1:
        column = len(line) + 1
    terminals = getattr(error, "accepts", None) or getattr(
        error, "expected", None
    )
    terminals = terminals or getattr(error, "allowed", None) or ()
    expected = sorted({_terminal_text(name) for name in terminals})
    return LanguageError(line, column, expected)


def _terminal_text(name: str) -> str:
    return TERMINAL_TEXTS.get(name, name.strip("_").lower())


def duration_ms(text: str) -> int:
    """Return a duration such as ``1.5s`` in milliseconds."""
    number = text.rstrip("hms")
    return int(float(number) * UNIT_MS[text[len(number) :]])


class StatementBuilder(lark.Transformer):
    """Builds a statement from the syntax tree of a line.

    Each method handles the grammar rule of its name.
    """

    def name(self, parts: list[str]) -> str:
        """Return a name."""
        return str(parts[0])

    def file(self, parts: list[str]) -> str:
        """Return the path of a file."""
        return str(parts[0])

    def by(self, parts: list[str]) -> tuple[str, str]:
        """Return a grouping as an option of ``in force``."""
        return ("by", str(parts[0]))

    def at(self, parts: list[str]) -> tuple[str, str]:
        """Return a filter as an option of ``in force``."""
        return (str(parts[0]), parts[1])

    def in_force(self, parts: list[tuple[str, str]]) -> typing.Any:
        """Build ``InForce``."""
        options = dict(parts)
        default = (
            "host" if "host" in options or "domain" in options else "domain"
        )
        return statements.InForce(
            by=options.get("by", default),
            host=options.get("host", ""),
            domain=options.get("domain", ""),
        )

    def show_moves(self, parts: list[str]) -> typing.Any:
        """Build ``ShowMoves``."""
        return statements.ShowMoves(*parts)

    def move_done(self, parts: list[str]) -> typing.Any:
        """Build ``MoveDone``."""
        return statements.MoveDone(*parts)

    def explain(self, parts: list[str]) -> typing.Any:
        """Build ``Explain``."""
        return statements.Explain(*parts)

    def show_targets(self, parts: list[str]) -> typing.Any:
        """Build ``ShowTargets``."""
        return statements.ShowTargets(*parts)

    def show_routes(self, parts: list[str]) -> typing.Any:
        """Build ``ShowRoutes``."""
        return statements.ShowRoutes()

    def show_services(self, parts: list[str]) -> typing.Any:
        """Build ``ShowServices``."""
        return statements.ShowServices()

    def show_controls(self, parts: list[str]) -> typing.Any:
        """Build ``ShowControls``."""
        return statements.ShowControls()

    def show_latency(self, parts: list[str]) -> typing.Any:
        """Build ``ShowLatency``."""
        return statements.ShowLatency()

    def show_bytes(self, parts: list[str]) -> typing.Any:
        """Build ``ShowBytes``."""
        return statements.ShowBytes()

    def show_document(self, parts: list[str]) -> typing.Any:
        """Build ``ShowDocument``."""
        return statements.ShowDocument()

    def show_accounts(self, parts: list[str]) -> typing.Any:
        """Build ``ShowAccounts``."""
        return statements.ShowAccounts()

    def show_account(self, parts: list[str]) -> typing.Any:
        """Build ``ShowAccounts`` for one account."""
        return statements.ShowAccounts(parts[0])

    def show_evacuations(self, parts: list[str]) -> typing.Any:
        """Build ``ShowEvacuations``."""
        return statements.ShowEvacuations()

    def apply(self, parts: list[str]) -> typing.Any:
        """Build ``Apply``."""
        expected = int(parts[1]) if len(parts) > 1 else 0
        return statements.Apply(parts[0], expected)

    def deadline(self, parts: list[lark.Token]) -> dict[str, typing.Any]:
        """Return the deadline as an argument of ``Move``."""
        token = parts[0]
        if token.type == "INSTANT":
            return {"deadline": str(token)}
        return {"deadline_in_ms": duration_ms(str(token))}

    def risk(self, parts: list[str]) -> dict[str, typing.Any]:
        """Return the risk as an argument of ``Move``, 1 to 1000 permille."""
        share = float(parts[0].rstrip("%"))
        return {"risk_permille": max(1, min(int(share * 10), 1000))}

    def watch(self, parts: list[str]) -> dict[str, typing.Any]:
        """Return the watch time as an argument of ``Move``."""
        return {"watch_ms": duration_ms(str(parts[0]))}

    def move(self, parts: list[typing.Any]) -> typing.Any:
        """Build ``Move``."""
        names = [part for part in parts if isinstance(part, str)]
        options: dict[str, typing.Any] = {}
        for part in parts[len(names) :]:
            options.update(part)
        from_version = names[1] if len(names) > 2 else ""
        return statements.Move(names[0], from_version, names[-1], **options)

    def reverse(self, parts: list[str]) -> typing.Any:
        """Build ``Reverse``."""
        return statements.Reverse(*parts)

    def drain(self, parts: list[str]) -> typing.Any:
        """Build ``Drain``."""
        return statements.Drain(parts[0], True)

    def undrain(self, parts: list[str]) -> typing.Any:
        """Build ``Drain`` that ends a drain."""
        return statements.Drain(parts[0], False)

    def reason(self, parts: list[str]) -> str:
        """Return a reason as one text."""
        return " ".join(parts)

    def evacuate(self, parts: list[str]) -> typing.Any:
        """Build ``Evacuate``."""
        return statements.Evacuate(parts[0], True, *parts[1:])

    def readmit(self, parts: list[str]) -> typing.Any:
        """Build ``Evacuate`` that ends an evacuation."""
        return statements.Evacuate(parts[0], False)

    def cancel(self, parts: list[str]) -> typing.Any:
        """Build ``Cancel``."""
        return statements.Cancel(*parts)
