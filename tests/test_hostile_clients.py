"""Clients that stop short, send without end or do not read their answers.

The processes live, stay within the memory of their hosts and go on answering
ordinary callers while the crowd keeps its connections open.
"""

import collections.abc
import concurrent.futures
import json
import time

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_emulator import hostile_crowd
from trefoil_emulator import sink_target
from trefoil_wire import frames
from trefoil_wire import messages

MIB = 1024 * 1024
# What the smallest hosts of either kind have, in bytes.
PROXY_MEMORY = 200_000_000
CONTROL_MEMORY = 296_000_000
# A host allows 4,100 descriptors, of which 200 are reserved.
MAX_DESCRIPTORS = 3900
BODY = 8 * MIB
BODIES = 32
LARGEST_BODY = 64 * MIB
SETTLED_S = 1.0
DOCUMENT = """
services:
  - {name: sound, version: v1}
  - {name: near, version: v1}
  - {name: far, version: v1}
  - {name: few-near, version: v1}
  - {name: few-far, version: v1}
routes:
  - {name: sound, prefix: /sound, service: sound, tenant: t, timeout: 5s,
     repeat: any}
  - {name: near, prefix: /near, service: near, tenant: t, timeout: 60s,
     repeat: any}
  - {name: far, prefix: /far, service: far, tenant: t, timeout: 60s,
     repeat: any}
  - {name: few-near, prefix: /few-near, service: few-near, tenant: t,
     timeout: 60s, repeat: any}
  - {name: few-far, prefix: /few-far, service: few-far, tenant: t,
     timeout: 60s, repeat: any}
  - {name: once, prefix: /once, service: near, tenant: t, timeout: 60s,
     repeat: once}
"""
HOSTS = ("near", "far")
PATHS = ("/sound", "/near", "/far", "/few-near", "/few-far", "/once")
WIDE = "-wide"
pytestmark = pytest.mark.processes


@pytest.fixture(params=[{"max_body_mib": 8}])
def fleet(tmp_path, request) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process and two proxies with three targets each."""
    with fleets.LocalFleet(
        tmp_path, domains=["d"], controls=1, proxy_extra=request.param
    ) as local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(dict.fromkeys(HOSTS, "d"))
        for host in HOSTS:
            for name, service, slots in (
                (f"sound-{host}", "sound", 12),
                (host + WIDE, host, 200),
                (f"few-{host}", f"few-{host}", 4),
            ):
                local_fleet.add_target(
                    name, host, service=service, version="v1", slots=slots
                )
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply x.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        for host in HOSTS:
            for path in PATHS:
                fleets.wait_for(
                    "the targets",
                    lambda: local_fleet.call(host, path).status == 200,
                )
        yield local_fleet


def check(fleet: fleets.LocalFleet) -> None:
    """Check that all live within their hosts' limits and answer."""
    for host in HOSTS:
        fleets.wait_for(
            f"an ordinary answer at {host}",
            lambda: fleet.call(host, "/sound").status == 200,
        )
    fleets.wait_for("an answer to an operator", fleet.leader)
    memory = dict.fromkeys(HOSTS, PROXY_MEMORY) | {"control1": CONTROL_MEMORY}
    for name, bound in memory.items():
        member = fleet.members[name]
        assert member.process.poll() is None, name
        assert member.peak_bytes + member.queued_bytes < bound, name
        assert member.open_descriptors < MAX_DESCRIPTORS, name


def settle(value: collections.abc.Callable[[], object]) -> None:
    """Wait until a value no longer changes."""
    last = value()
    since_s = time.monotonic()
    while time.monotonic() - since_s < SETTLED_S:
        time.sleep(0.1)
        current = value()
        if current != last:
            last, since_s = current, time.monotonic()


def crowd_of(
    fleet: fleets.LocalFleet,
    scripts: list[hostile_crowd.Script],
    *,
    at: str = "near",
    port: str = "callers",
    in_turns: bool = False,
) -> hostile_crowd.Crowd:
    """Return a crowd that has sent what it will."""
    address = fleet.members[at].address(port)
    return hostile_crowd.Crowd(address, scripts, in_turns=in_turns)


@pytest.mark.parametrize("in_turns", [False, True])
@pytest.mark.parametrize("path", ["/near", "/far"])
def test_bodies_that_stop_short_take_no_more_than_the_host_has(
    fleet, path: str, in_turns: bool
) -> None:
    """Each body was within its limit, and all together ended the process."""
    scripts = [hostile_crowd.body(path, BODY, short_by=1)] * BODIES
    with crowd_of(fleet, scripts, in_turns=in_turns):
        check(fleet)


@pytest.mark.parametrize("chunk_bytes", [1, 100, 64 * 1024])
@pytest.mark.parametrize("in_turns", [False, True])
def test_chunks_that_stop_short_take_no_more_than_the_host_has(
    fleet, chunk_bytes: int, in_turns: bool
) -> None:
    """Chunked bodies, which announce no length, ended the process."""
    size = min(BODY - MIB, chunk_bytes * 100_000)
    scripts = [hostile_crowd.chunks("/near", chunk_bytes, size)] * BODIES
    with crowd_of(fleet, scripts, in_turns=in_turns):
        check(fleet)


@pytest.mark.parametrize("announced", [False, True])
def test_bodies_far_over_the_limit_are_not_held(
    fleet, announced: bool
) -> None:
    """Bodies without an end ended the process before they were refused."""
    if announced:
        script = hostile_crowd.Script(
            hostile_crowd.head("/near", f"Content-Length: {1 << 40}"),
            bytes(MIB),
            4 * BODY // MIB,
        )
    else:
        script = hostile_crowd.chunks("/near", MIB, 4 * BODY)
    with crowd_of(fleet, [script] * BODIES, in_turns=True):
        check(fleet)


@pytest.mark.parametrize("host", HOSTS)
@pytest.mark.parametrize("few_slots", [False, True])
def test_whole_bodies_that_wait_take_no_more_than_the_host_has(
    fleet, host: str, few_slots: bool
) -> None:
    """Whole bodies that waited for slots or answers ended the process."""
    fleet.behave(f"few-{host}" if few_slots else host + WIDE, hang=True)
    path = f"/few-{host}" if few_slots else f"/{host}"
    with crowd_of(fleet, [hostile_crowd.body(path, BODY)] * BODIES):
        check(fleet)


@pytest.mark.parametrize("host", HOSTS)
def test_answers_that_are_not_read_take_no_more_than_the_host_has(
    fleet, host: str
) -> None:
    """Callers who asked for long answers and read none ended the process."""
    fleet.behave(host + WIDE, padding_bytes=3 * MIB)
    request = hostile_crowd.head(f"/{host}", method="GET")
    script = hostile_crowd.Script(request, reads=False)
    with crowd_of(fleet, [script] * 150):
        settle(lambda: fleet.stats(host + WIDE)["served"])
        check(fleet)


@pytest.mark.parametrize("host", HOSTS)
def test_answers_to_requests_sent_ahead_take_no_more_than_the_host_has(
    fleet, host: str
) -> None:
    """A few callers who sent ahead were answered without a bound."""
    fleet.behave(host + WIDE, padding_bytes=3 * MIB)
    request = hostile_crowd.head(f"/{host}", method="GET")
    script = hostile_crowd.Script(request * 16, reads=False)
    with crowd_of(fleet, [script] * 16):
        settle(lambda: fleet.stats(host + WIDE)["served"])
        check(fleet)


def test_short_answers_that_are_not_read_take_no_more_than_the_host_has(
    fleet,
) -> None:
    """Each was short, and the kernel and the process held all of them."""
    fleet.behave("near" + WIDE, padding_bytes=15_000)
    request = hostile_crowd.head("/near", method="GET")
    script = hostile_crowd.Script(b"", request, 800, reads=False)
    with crowd_of(fleet, [script] * 20, in_turns=True):
        settle(lambda: fleet.stats("near" + WIDE)["served"])
        check(fleet)


def test_long_answers_to_a_crowd_cost_no_other_answer_of_their_host(
    fleet,
) -> None:
    """The link to a host was closed under the answers to its other callers."""
    fleet.behave("few-far", delay_ms=3000, jitter=0)
    fleet.behave("far" + WIDE, padding_bytes=3 * MIB)
    request = hostile_crowd.head("/far", method="GET")
    script = hostile_crowd.Script(request, reads=False)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        ordinary = [
            pool.submit(fleet.call, "near", "/few-far", timeout_s=60)
            for _ in range(4)
        ]
        fleets.wait_for(
            "the runs", lambda: fleet.stats("few-far")["running"] == 4
        )
        with crowd_of(fleet, [script] * 150):
            assert [job.result().status for job in ordinary] == [200] * 4
            check(fleet)


@pytest.mark.parametrize(
    ("field_bytes", "fields", "clients"), [(1000, 28, 300), (1, 2500, 150)]
)
def test_heads_of_waiting_requests_take_no_more_than_the_host_has(
    fleet, field_bytes: int, fields: int, clients: int
) -> None:
    """Heads counted for nothing while their requests waited."""
    fleet.behave("near" + WIDE, hang=True)
    padding = [f"X-{n}: {'x' * field_bytes}" for n in range(fields)]
    request = hostile_crowd.head("/once", "Content-Length: 0", *padding)
    script = hostile_crowd.Script(request * 16)
    with crowd_of(fleet, [script] * clients):
        check(fleet)


def test_heads_that_stop_short_take_no_more_than_the_host_has(fleet) -> None:
    """Each of many heads was within its limit."""
    script = hostile_crowd.Script(b"GET / HTTP/1.1\r\nX: " + b"x" * 30_000)
    with crowd_of(fleet, [script] * 400):
        check(fleet)


def test_bytes_behind_a_last_request_are_not_held(fleet) -> None:
    """What came behind a request that ends its connection piled up."""
    fleet.behave("near" + WIDE, hang=True)
    request = hostile_crowd.head("/near", "Connection: close", method="GET")
    script = hostile_crowd.Script(request, bytes(MIB), 64)
    with crowd_of(fleet, [script] * 4, in_turns=True):
        check(fleet)


def test_bodies_to_a_proxys_admin_address_take_no_more_than_the_host_has(
    fleet,
) -> None:
    """Bodies that stopped short at the admin address ended the process."""
    script = hostile_crowd.body("/v1/command", MIB, short_by=1)
    with crowd_of(fleet, [script] * 300, port="admin"):
        check(fleet)


def test_bodies_to_a_control_host_take_no_more_than_the_host_has(
    fleet,
) -> None:
    """Bodies that stopped short ended a control process."""
    script = hostile_crowd.body("/v1/command", 4 * MIB, short_by=1)
    with crowd_of(fleet, [script] * 90, at="control1", port="admin"):
        check(fleet)


@pytest.mark.parametrize("host", ["near", "control1"])
def test_documents_of_many_values_take_no_more_than_the_host_has(
    fleet, host: str
) -> None:
    """One document within its limit took a hundred times its length."""
    size = MIB - MIB // 16 if host == "near" else 3 * MIB
    document = "[" + ",".join(["[]"] * (size // 3)) + "]"
    line = {"line": "apply x.yaml", "id": "1-1", "document": document}
    text = json.dumps(line).encode()
    length = f"Content-Length: {len(text)}"
    script = hostile_crowd.Script(
        hostile_crowd.head("/v1/command", length) + text
    )
    with crowd_of(fleet, [script] * 12, at=host, port="admin") as crowd:
        crowd.listen(within_s=60)
        check(fleet)


@pytest.mark.parametrize("greets", [False, True])
@pytest.mark.parametrize("host", ["near", "control1"])
def test_frames_that_stop_short_take_no_more_than_the_host_has(
    fleet, host: str, greets: bool
) -> None:
    """Incomplete frames of strangers ended the process."""
    length = 4 * MIB - MIB // 2
    hello = frames.encode(
        messages.Hello("stranger", "d", "127.0.0.1:1", 1, False, 0, False)
    )
    script = hostile_crowd.Script(
        (hello if greets else b"") + frames.HEADER.pack(length, 0),
        bytes(MIB // 2),
        length // (MIB // 2) - 1,
        bytes(MIB // 2 - 2),
    )
    with crowd_of(fleet, [script] * 100, at=host, port="peers"):
        check(fleet)


@pytest.mark.parametrize("fleet", [{"max_body_mib": 64}], indirect=True)
@pytest.mark.parametrize("host", HOSTS)
@pytest.mark.parametrize("chunked", [False, True])
def test_one_body_at_the_limit_is_served_within_the_hosts_memory(
    fleet, host: str, chunked: bool
) -> None:
    """One body took most of what two hosts have, in four copies."""
    script = hostile_crowd.body("/near/big", LARGEST_BODY)
    if chunked:
        script = hostile_crowd.chunks(
            "/near/big", 64 * 1024, LARGEST_BODY, ends=True
        )
    member = fleet.members[host]
    target = sink_target.SinkTarget(member.ip)
    announcer = sink_target.Announcer(
        member.address("admin"), "sink", "near", target.port, slots=4
    )
    fleet.kill("near" + WIDE)
    fleets.wait_for(
        "the target",
        lambda: fleet.call("near", "/near/small").status == 200
        and "/near/small" in target.bodies,
    )
    with crowd_of(fleet, [script]) as crowd:
        crowd.listen(within_s=60)
    assert crowd.statuses == [200]
    assert target.bodies["/near/big"] == LARGEST_BODY
    check(fleet)
    announcer.close()
    target.close()
