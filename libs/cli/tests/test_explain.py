"""Tests of the history of a request, from its id to related events."""

import pytest

from trefoil_cli import explain
from trefoil_cli import main


def log(*entries: str) -> str:
    """Return a log; each entry is a second and the text after the level."""
    return "noise that is no line\n" + "".join(
        f"at=2026-01-01T10:00:{entry.partition(' ')[0]}Z level=INFO "
        f"{entry.partition(' ')[2]}\n"
        for entry in entries
    )


ENTRY_LOG = log(
    "00.1 event=config.in_force process=p1 revision=3",
    "00.4 event=config.in_force process=p1 revision=4",
    "02.0 event=request.refused process=p1 id=77 target=p2/t1",
    "03.0 event=request.refused process=p1 id=78 why=x",
)
TARGET_LOG = log(
    "01.0 event=target.announced process=p2 target=t1 state=3",
    '01.9 event=target.refused process=p2 id=77 target=t1 why="it drains"',
    "02.5 event=target.left process=p2 target=t1",
)


@pytest.fixture
def logs(tmp_path) -> list[str]:
    """Return the logs of two processes, not in order of time."""
    files = []
    for name, text in (("p2.log", TARGET_LOG), ("p1.log", ENTRY_LOG)):
        path = tmp_path / name
        path.write_text(text)
        files.append(str(path))
    return files


def test_history_of_refusal_includes_target_events(logs) -> None:
    """A refused call shows the earlier events of its target.

    Without them, the history does not show that the target was draining.
    Lines of other requests and lines logged later are left out.
    """
    history = explain.request_history(explain.read(logs), "77")
    assert [line.pairs["event"] for line in history] == [
        "config.in_force",
        "target.announced",
        "target.refused",
        "request.refused",
    ]
    assert history[0].pairs["revision"] == "4"


def test_explain_rejects_unknown_request_id(logs, capsys) -> None:
    with pytest.raises(SystemExit):
        main.Commands().explain("99", *logs)
    assert "99" in capsys.readouterr().err


def test_history_includes_last_retry_budget_event(tmp_path) -> None:
    path = tmp_path / "p.log"
    path.write_text(
        log(
            "01.0 event=budget.spent process=p1 service=s left=0.1 refused=9",
            "01.0 event=budget.spent process=p1 service=t left=3.0 lost=1",
            "01.5 event=request.out_of_budget process=p1 service=s id=7",
        )
    )
    history = explain.request_history(explain.read([str(path)]), "7")
    assert [line.pairs.get("left") for line in history] == ["0.1", None]
