"""Proxies and targets that die, freeze and leave under traffic."""

import asyncio
import collections.abc
import concurrent.futures
import pathlib
import socket
import threading
import time

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
HOSTS = {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process, four proxies and a target of tables on each."""
    made = fleets.LocalFleet(
        tmp_path, domains=["ariana", "manouba"], controls=1
    )
    with made:
        made.add_controls()
        made.add_proxies(HOSTS)
        for host in HOSTS:
            made.add_target(
                f"t-{host}",
                host,
                service="tables",
                version="v1",
                resources="listings,payments",
            )
        made.start()
        made.wait_leader()
        made.execute("apply matbakh.yaml", document=DOCUMENT)
        made.wait_ready(4)
        for host in HOSTS:
            fleets.wait_for(
                "targets", lambda: made.call(host, "/slots").status == 200
            )
        fleets.wait_for("records", lambda: _targets(made) == 4)
        yield made


def _targets(fleet: fleets.LocalFleet) -> int:
    answer = fleet.try_execute("show targets")
    return len(answer["rows"]) if answer else 0


def runs(fleet: fleets.LocalFleet, names: list[str]) -> dict[str, int]:
    """Return how often each named request ran, over the live targets."""
    total: dict[str, int] = {}
    for name in names:
        for request, count in fleet.stats(name)["runs"].items():
            total[request] = total.get(request, 0) + count
    return total


def pay(
    fleet: fleets.LocalFleet, host: str, name: str, tries: int = 3
) -> list[fleets.HttpAnswer]:
    """Pay once, sending again with the same key until answered 200."""
    key = f"{int(time.time() * 1000) + 20_000}-{name}"
    answers = []
    names = list(HOSTS)
    for attempt in range(tries):
        at = names[(names.index(host) + attempt) % len(names)]
        answer = fleet.call(
            at,
            "/deposits",
            method="POST",
            body=name.encode(),
            headers={"Idempotency-Key": key, "X-Request-Name": name},
            timeout_s=5,
        )
        answers.append(answer)
        if answer.status == 200:
            break
        time.sleep(0.2)
    return answers


@pytest.mark.parametrize("victim", ["t-h2", "h2", "h1"])
def test_a_process_is_killed_amid_payments(fleet, victim) -> None:
    """Forty payments are sent, each again until it is answered.

    A target, its proxy or the proxies' entry dies in the middle. Counted at
    the targets, no payment ran twice; what ran on the dead is not sent on.
    """
    for host in HOSTS:
        fleet.behave(f"t-{host}", delay_ms=60)
    with concurrent.futures.ThreadPoolExecutor(10) as pool:
        jobs = [
            pool.submit(pay, fleet, "h1" if n % 2 else "h3", f"n{n}")
            for n in range(40)
        ]
        time.sleep(0.1)
        fleet.kill(victim)
        answers = [job.result() for job in jobs]
    alive = [f"t-{h}" for h in HOSTS if f"t-{h}" != victim]
    counted = runs(fleet, alive)
    assert max(counted.values()) == 1
    good = sum(found[-1].status == 200 for found in answers)
    assert good >= 20


def test_callers_are_answered_whatever_single_process_dies(fleet) -> None:
    """A target, a seed proxy and the control process die, one by one.

    Callers of the other proxies may see what ran on the dead; within two
    seconds every request is answered again.
    """
    addresses = [fleet.members[h].address("callers") for h in ("h1", "h3")]
    for victim in ("t-h2", "h2", "control1"):
        fleet.kill(victim)
        sender = load.Load(addresses, 60, seed=3)
        asyncio.run(sender.run(4, [load.RequestTemplate(path="/slots")]))
        late = [s for s in sender.samples if s.due_s > 2]
        assert [s.status for s in late if s.status != 200] == [], victim


def test_a_frozen_target_costs_only_its_own_requests(fleet) -> None:
    """A target stops answering without closing anything.

    Its requests end at their deadline or are sent on; the others serve.
    """
    fleet.pause("t-h2")
    sender = load.Load(
        [fleet.members[h].address("callers") for h in HOSTS], 60, seed=3
    )
    asyncio.run(sender.run(5, [load.RequestTemplate(path="/slots")]))
    late = [s for s in sender.samples if s.due_s > 2.5]
    good = sum(sample.status == 200 for sample in late)
    assert good >= 0.9 * len(late)
    fleet.resume("t-h2")


def test_a_poison_request_stops_after_two_targets(fleet) -> None:
    """A caller sends a request again that crashes what runs it."""
    for host in HOSTS:
        fleet.behave(f"t-{host}", crash_word="poison")
    statuses = []
    for attempt in range(5):
        at = list(HOSTS)[attempt % 4]
        answer = fleet.call(at, "/deposits", method="POST", body=b"poison")
        statuses.append(answer.status)
        time.sleep(0.4)
    dead = [
        host
        for host in HOSTS
        if fleet.members[f"t-{host}"].process.poll() is not None
    ]
    assert len(dead) == 2
    assert statuses[-1] == 422
    served = [h for h in HOSTS if h not in dead][0]
    assert fleet.call(served, "/slots").status == 200


def test_a_rolling_restart_cuts_no_payment(fleet) -> None:
    """Every proxy is told to leave in turn, under payments.

    What runs there ends with its answer; a proxy that leaves refuses new
    requests as not run and then ends by itself.
    """
    for host in HOSTS:
        fleet.behave(f"t-{host}", delay_ms=40)
    stopping = threading.Event()
    found: list[fleets.HttpAnswer] = []

    def traffic() -> None:
        number = 0
        while not stopping.is_set():
            number += 1
            answer = fleet.call(
                "h4",
                "/deposits",
                method="POST",
                body=b"x",
                headers={"X-Request-Name": f"r{number}"},
            )
            found.append(answer)

    threads = [threading.Thread(target=traffic) for _ in range(3)]
    for thread in threads:
        thread.start()
    for host in ("h1", "h2", "h3"):
        fleet.terminate(host)
        process = fleet.members[host].process
        fleets.wait_for("its end", lambda: process.poll() is not None, 15)
        assert "clean=True" in fleet.log(host)
        fleet.start(host)
        fleets.wait_for(
            "its return", lambda: fleet.call(host, "/slots").status == 200
        )
    stopping.set()
    for thread in threads:
        thread.join()
    cut = [a for a in found if a.status not in (200, 503)]
    refused = [a for a in found if a.status == 503]
    assert cut == []
    assert all(a.headers["X-Trefoil-Outcome"] == "not-run" for a in refused)
    assert len(found) > 50


class SilentRelay:
    """A relay that can go silent on open connections, as a NAT does."""

    def __init__(self, ip: str, port: int) -> None:
        self.target = (ip, port)
        self.listener = socket.create_server((ip, 0))
        self.port = self.listener.getsockname()[1]
        self.silent_before = 0.0
        self.closing = False
        threading.Thread(target=self._accept, daemon=True).start()

    def go_silent(self) -> None:
        """Carry nothing more on the connections that are open now."""
        self.silent_before = time.monotonic()

    def _accept(self) -> None:
        while not self.closing:
            try:
                inner, _ = self.listener.accept()
            except OSError:
                return
            outer = socket.create_connection(self.target)
            born = time.monotonic()
            for one, other in ((inner, outer), (outer, inner)):
                threading.Thread(
                    target=self._pump, args=(one, other, born), daemon=True
                ).start()

    def _pump(
        self, one: socket.socket, other: socket.socket, born: float
    ) -> None:
        while True:
            try:
                data = one.recv(65536)
                if not data:
                    other.close()
                    return
                if born >= self.silent_before:
                    other.sendall(data)
            except OSError:
                return

    def close(self) -> None:
        """Take no more connections."""
        self.closing = True
        self.listener.close()


def test_connections_that_went_silent_are_replaced(fleet) -> None:
    """Something between proxy and target forgets all open connections.

    Bytes vanish without an error while new connections work. Requests are
    served again within seconds, on fresh connections.
    """
    member = fleet.members["t-h1"]
    relay = SilentRelay(member.ip, member.ports["http"])
    try:
        fleets.http(
            f"http://{fleet.members['h1'].address('admin')}"
            "/v1/targets/t-relayed",
            method="PUT",
            body=(
                '{"service": "fourneau", "version": "v1", "slots": 12, '
                f'"resources": ["kitchen"], "port": {relay.port}}}'
            ).encode(),
        )
        _keep_announced(fleet, relay.port)
        fleets.wait_for(
            "the relayed target",
            lambda: fleet.call("h1", "/kitchen/1").status == 200,
        )
        sender = load.Load(
            [fleet.members["h1"].address("callers")], 80, seed=3
        )
        silence = threading.Timer(2, relay.go_silent)
        silence.start()
        asyncio.run(sender.run(7, [load.RequestTemplate(path="/kitchen/1")]))
        late = [s for s in sender.samples if s.due_s > 5]
        good = sum(sample.status == 200 for sample in late)
        assert good >= 0.95 * len(late)
    finally:
        relay.close()


def _keep_announced(fleet: fleets.LocalFleet, port: int) -> None:
    def renew() -> None:
        for _ in range(20):
            fleets.http(
                f"http://{fleet.members['h1'].address('admin')}"
                "/v1/targets/t-relayed",
                method="PUT",
                body=(
                    '{"service": "fourneau", "version": "v1", "slots": 12, '
                    f'"resources": ["kitchen"], "port": {port}}}'
                ).encode(),
            )
            time.sleep(1)

    threading.Thread(target=renew, daemon=True).start()
