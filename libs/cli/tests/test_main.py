"""Tests of the command line: numbers, tables and exit status."""

import pytest

from trefoil_cli import client
from trefoil_cli import main
from trefoil_cli import table


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        ({"outcome": "done"}, 0),
        ({"outcome": "not run"}, 1),
        ({"outcome": "pending"}, 3),
        ({"outcome": "expired"}, 5),
        ({"rows": [{"outcome": "taken back"}]}, 4),
        ({"rows": [{"outcome": "running"}]}, 3),
        ({"rows": [{"outcome": "not run"}]}, 1),
        ({"rows": [{"host": "h1"}]}, 0),
        ({"rows": []}, 0),
    ],
)
def test_exit_status(answer: dict, status: int) -> None:
    assert main._exit_status(answer) == status


def test_issue_time_is_read_from_command_number() -> None:
    """A resend has the time of the first issue, not of the resend.

    With another time of issue, the command would differ from the first one
    and be refused as a reuse of its number.
    """
    number = main.new_id(1_796_256_000_000)
    first = client.Line.from_number("drain h1", number, "ann")
    second = client.Line.from_number("drain h1", number, "ann")
    assert first == second
    assert first.issued_ms == 1_796_256_000_000


def test_tables_are_aligned() -> None:
    rows = [
        {"host": "h1", "age_s": None},
        {"host": "host-2", "age_s": 1.5},
    ]
    assert table.render(rows) == "HOST    AGE S\nh1      -\nhost-2  1.5"
    assert table.render([]) == "(nothing)"


def test_say_reports_unreachable_process(capsys) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main.Commands().say("in", "force", at="127.0.0.1:1", wait=0)
    assert exit_info.value.code == main.EXIT_UNREACHABLE
    assert "the number was" in capsys.readouterr().err


def test_say_marks_syntax_error(capsys) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main.Commands().say("in", "farce")
    assert exit_info.value.code == main.EXIT_INVALID_INPUT
    assert "in farce\n   ^\nexpected force" in capsys.readouterr().err
