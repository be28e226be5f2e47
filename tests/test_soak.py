"""The soak: its own parts, one short run, and seeds that failed before."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import threading

import pytest

from soak import callers
from soak import checks
from soak import deployment
from soak import plan as plans
from soak import relays as relay_store

ROOT = pathlib.Path(__file__).parent.parent
MEMBERS = plans.Members(["c1", "c2", "c3"], ["h1", "h2"], ["t1"])
SHORT_S = 5.0


def failed_before() -> list[int]:
    """Return the seeds that a run of the soak ever failed on."""
    lines = (ROOT / "soak" / "seeds.txt").read_text("utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def play(*options: str) -> dict[str, object]:
    """Run the soak and return the report of its first seed."""
    found = subprocess.run(
        [sys.executable, "-m", "soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    lines = found.stdout.splitlines()
    assert lines, found.stderr
    return json.loads(lines[0])


@pytest.mark.processes
def test_a_short_run_keeps_every_promise() -> None:
    """Faults come for five seconds, drawn from a seed of their own.

    Callers, targets and the operator see no promise broken, and all serve
    again afterwards.
    """
    report = play("--seed", "1001", "--lasts_s", str(SHORT_S))
    assert report["problems"] == []


@pytest.mark.processes
def test_seeds_that_failed_before_hold() -> None:
    """The whole run of each seed in soak/seeds.txt, its cause beside it."""
    found = {seed: play("--seed", str(seed)) for seed in failed_before()}
    broken = {s: r["problems"] for s, r in found.items() if r["problems"]}
    assert broken == {}


def test_a_seed_always_draws_the_same_faults() -> None:
    first = plans.Plan.from_seed(7, MEMBERS, 12.0).faults
    assert first == plans.Plan.from_seed(7, MEMBERS, 12.0).faults
    assert first != plans.Plan.from_seed(8, MEMBERS, 12.0).faults


def test_at_most_one_disk_is_lost() -> None:
    for seed in range(200):
        faults = plans.Plan.from_seed(seed, MEMBERS, 12.0).faults
        assert sum(fault.kind == plans.Kind.WIPE for fault in faults) <= 1


def attempt(name: str, status: int, sent_s: float = 0.0) -> callers.Attempt:
    """Return a request to h1 that was answered at once."""
    return callers.Attempt(name, "pay1", "h1", sent_s, sent_s, status)


def test_checks_find_what_they_are_for() -> None:
    """Each promise, broken once in what callers and targets saw."""
    crossed = attempt("read1", 200)
    crossed.own = False
    assert checks.answers_are_own([crossed])
    assert checks.payments_run_once(["pay1.0", "pay1.1"])
    assert not checks.payments_run_once(["pay1.0", "pay2.0"])
    assert checks.not_run_is_true([attempt("pay1.0", 503)], ["pay1.0"])
    assert not checks.not_run_is_true([attempt("pay1.0", 502)], ["pay1.0"])


def test_only_a_calm_leave_is_judged() -> None:
    """A proxy cuts a payment as it leaves; once, its target was killed."""
    cut = attempt("pay1.0", 0, 5.0)
    leaves = [deployment.Leave("h1", 4.0, 6.0)]
    killed = [plans.Fault(3.0, plans.Kind.KILL, "t1", 1.0)]
    runs = ["pay1.0"]
    assert checks.leaving_cuts_nothing([cut], runs, leaves, [], 0.0)
    assert not checks.leaving_cuts_nothing([cut], runs, leaves, killed, 0.0)
    assert not checks.leaving_cuts_nothing([cut], [], leaves, [], 0.0)


class Echo:
    """A server that sends back what it gets."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self.sock.accept()
            except OSError:
                # The test is over.
                return
            threading.Thread(
                target=self._serve, args=(stream,), daemon=True
            ).start()

    def _serve(self, stream: socket.socket) -> None:
        with stream, contextlib.suppress(ConnectionResetError):
            while data := stream.recv(100):
                stream.sendall(data)


def test_a_relay_resets_and_silences_what_is_open() -> None:
    """What is open breaks or falls silent; what is opened next works."""
    echo = Echo()
    relays = relay_store.Relays()
    relay = relays.before("127.0.0.1", echo.port)

    def opened() -> socket.socket:
        stream = socket.create_connection(("127.0.0.1", relay.port), 10)
        stream.sendall(b"first")
        assert stream.recv(100) == b"first"
        return stream

    silent = opened()
    relays.call(relay.silence)
    silent.sendall(b"lost")
    silent.setblocking(False)
    broken = opened()
    with pytest.raises(BlockingIOError):
        silent.recv(100)
    relays.call(relay.reset)
    with pytest.raises(OSError):
        broken.recv(100)
        broken.sendall(b"more")
        broken.recv(100)
    opened().close()
    silent.close()
    relays.stop()
    echo.sock.close()
