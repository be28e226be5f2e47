"""The command line: numbers, tables and exit status."""

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
def test_scripts_can_go_by_the_status(answer: dict, status: int) -> None:
    assert main._status(answer) == status


def test_a_number_tells_when_its_command_was_issued() -> None:
    """A resend must be the same command to the last byte."""
    number = main.new_id(1_796_256_000_000)
    first = client.Line.numbered("drain h1", number, "ann")
    again = client.Line.numbered("drain h1", number, "ann")
    assert first == again
    assert first.issued_ms == 1_796_256_000_000


def test_tables_are_aligned() -> None:
    rows = [
        {"host": "h1", "age_s": None},
        {"host": "host-2", "age_s": 1.5},
    ]
    assert table.render(rows) == "HOST    AGE S\nh1      -\nhost-2  1.5"
    assert table.render([]) == "(nothing)"


def test_nothing_answers(capsys) -> None:
    with pytest.raises(SystemExit) as ended:
        main.Commands().say("in", "force", at="127.0.0.1:1", wait=0)
    assert ended.value.code == main.UNREACHABLE
    assert "the number was" in capsys.readouterr().err


def test_a_wrong_line_is_marked(capsys) -> None:
    with pytest.raises(SystemExit) as ended:
        main.Commands().say("in", "farce")
    assert ended.value.code == main.WRONG_LINE
    assert "in farce\n   ^\nexpected force" in capsys.readouterr().err
