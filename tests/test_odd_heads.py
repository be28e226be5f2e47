"""Answers and requests whose heads two readers would read differently."""

import collections.abc
import socket

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_emulator import sink_target

DOCUMENT = """
services: [{name: troubled, version: v1}]
routes:
  - {name: troubled, prefix: /, service: troubled, tenant: t, timeout: 5s,
     repeat: once}
"""
HOSTS = ("near", "far")
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet(tmp_path_factory) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process and two proxies without targets."""
    folder = tmp_path_factory.mktemp("heads")
    with fleets.LocalFleet(folder, domains=["d"], controls=1) as local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(dict.fromkeys(HOSTS, "d"))
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply x.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        yield local_fleet


@pytest.fixture
def target(
    fleet,
) -> collections.abc.Iterator[sink_target.SinkTarget]:
    """A target at the first proxy that both proxies know."""
    member = fleet.members["near"]
    sink = sink_target.SinkTarget(member.ip)
    announcer = sink_target.Announcer(
        member.address("admin"), "t", "troubled", sink.port, slots=4
    )
    for host in HOSTS:
        fleets.wait_for(
            "the target", lambda: fleet.call(host, "/known").status == 200
        )
    yield sink
    announcer.close()
    sink.close()


@pytest.mark.parametrize("host", HOSTS)
@pytest.mark.parametrize(
    "answer",
    [
        SOUND + b"Content Type: a\r\n\r\nok",
        SOUND + b"A\x00b: a\r\n\r\nok",
        SOUND + b"A: b\nTransfer-Encoding: chunked\r\n\r\nok",
        SOUND + b"A: b\rC: d\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
        SOUND.replace(b"200", b"000") + b"\r\nok",
        SOUND.replace(b"200", b"600") + b"\r\nok",
    ],
)
def test_an_answer_whose_head_is_none_reaches_no_caller(
    fleet, target, host: str, answer: bytes
) -> None:
    """Callers got the odd line, another body or the status 000."""
    target.answer = answer
    received = fleet.call(host, "/odd")
    assert received.status == 502
    assert received.headers["X-Trefoil-Outcome"] == "unknown"


@pytest.mark.parametrize(
    "line",
    [
        b"Content Length: 2",
        b"A\x01b: a",
        b"A: b\nTransfer-Encoding: chunked",
        b"A: b\r\r\nTransfer-Encoding: chunked",
        b"A: b\x00",
    ],
)
def test_a_request_whose_head_is_none_reaches_no_target(
    fleet, target, line: bytes
) -> None:
    """A target read a field that the proxy had not seen."""
    member = fleet.members["near"]
    host, _, port = member.address("callers").rpartition(":")
    head = b"POST /odd HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        caller.sendall(head + line + b"\r\n\r\n")
        answer = caller.recv(4096)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert fleet.call("near", "/sound").status == 200
    assert "/odd" not in target.bodies
