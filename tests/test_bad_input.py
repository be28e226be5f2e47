"""Sends malformed input to every port of real processes."""

import collections.abc
import json
import pathlib
import socket

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_wire import frames
from trefoil_wire import messages

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
pytestmark = pytest.mark.processes

HELLO = frames.encode(
    messages.Hello("stranger", "ariana", "127.0.0.1:1", 1, False, 0, True)
)
EMPTY_HELLO = frames.encode(messages.Hello())
BINARY_DATA = bytes(range(256)) * 40
CASES = [
    ("binary data to callers", "h1", "callers", BINARY_DATA),
    ("TLS to callers", "h1", "callers", b"\x16\x03\x01\x02\x00\x01\x00"),
    ("endless head", "h1", "callers", b"GET / HTTP/1.1\r\n" + b"a" * 70_000),
    (
        "huge body",
        "h1",
        "callers",
        b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
    ),
    ("no host", "h1", "callers", b"GET /slots HTTP/1.1\r\n\r\n"),
    ("binary data to peers", "h1", "peers", BINARY_DATA),
    ("huge frame", "h1", "peers", b"\xff\xff\xff\xff\x00" * 10),
    ("no hello", "h1", "peers", frames.encode(messages.Ping(1))),
    ("empty hello", "h1", "peers", EMPTY_HELLO),
    (
        "empty messages",
        "h1",
        "peers",
        HELLO + b"".join(frames.encode(kind()) for kind in frames.TYPES),
    ),
    ("binary data to targets' port", "h1", "admin", BINARY_DATA),
    ("binary data to control peers", "control1", "peers", BINARY_DATA),
    (
        "empty votes",
        "control1",
        "peers",
        HELLO + frames.encode(messages.VoteRequest()),
    ),
    (
        "empty command",
        "control1",
        "peers",
        HELLO + frames.encode(messages.CommandRequest()),
    ),
    ("binary data to operators", "control1", "admin", BINARY_DATA),
]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory) -> collections.abc.Iterator[fleets.LocalFleet]:
    """A control process, a proxy and a target."""
    folder = tmp_path_factory.mktemp("fleet")
    local_fleet = fleets.LocalFleet(folder, domains=["ariana"], controls=1)
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies({"h1": "ariana"})
        local_fleet.add_target(
            "t1",
            "h1",
            service="tables",
            version="v1",
            resources="listings,payments",
        )
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply matbakh.yaml", document=DOCUMENT)
        fleets.wait_for(
            "an answer", lambda: local_fleet.call("h1", "/slots").status == 200
        )
        yield local_fleet


@pytest.mark.parametrize(
    ("case", "name", "port", "data"), CASES, ids=[case[0] for case in CASES]
)
def test_malformed_bytes_fail_only_their_connection(
    fleet, case, name, port, data
) -> None:
    """A client sends bytes that violate the protocol of the port.

    It gets an error or its connection is closed. The process must keep
    running and serve a caller on another connection as before.
    """
    member = fleet.members[name]
    address = (member.ip, member.ports[port])
    with socket.create_connection(address, timeout=5) as connection:
        try:
            connection.sendall(data)
            connection.settimeout(1)
            while connection.recv(65536):
                pass
        except OSError:
            pass
    assert member.process.poll() is None
    assert fleet.call("h1", "/slots").status == 200
    assert fleet.leader() == "control1"


@pytest.mark.parametrize(
    ("case", "path", "method", "body", "status"),
    [
        ("not JSON", "/v1/targets/x", "PUT", b"{", 400),
        ("no slots", "/v1/targets/x", "PUT", b'{"service": "a"}', 400),
        (
            "many slots",
            "/v1/targets/x",
            "PUT",
            b'{"service": "a", "version": "v", "slots": 1e9, "port": 1}',
            400,
        ),
        ("bad method", "/v1/targets/x", "POST", b"", 405),
        ("no such path", "/v2", "GET", None, 404),
        ("no line", "/v1/command", "POST", b"{}", 400),
        ("not a mapping", "/v1/command", "POST", b"[]", 400),
        ("wrong line", "/v1/command", "POST", b'{"line": "fly"}', 400),
        (
            "no number",
            "/v1/command",
            "POST",
            b'{"line": "drain h1"}',
            200,
        ),
    ],
)
def test_malformed_requests_are_answered_with_a_reason(
    fleet, case, path, method, body, status
) -> None:
    address = fleet.members["h1"].address("admin")
    answer = fleets.http(f"http://{address}{path}", method=method, body=body)
    assert answer.status == status
    assert answer.body.strip()


def test_a_command_without_a_number_is_not_run(fleet) -> None:
    address = fleet.members["control1"].address("admin")
    answer = fleets.http(
        f"http://{address}/v1/command",
        method="POST",
        body=b'{"line": "drain h1", "operator": "ann"}',
    )
    assert json.loads(answer.body)["outcome"] == "not run"


def test_malformed_input_is_logged(fleet) -> None:
    assert "event=http.malformed" in fleet.log("h1")
    assert "event=peer.malformed" in fleet.log("h1")
    assert "runtime.exception" not in fleet.log("h1")
    assert "runtime.exception" not in fleet.log("control1")
