"""Parsing of settings and configuration: defaults, findings and places."""

import tracemalloc

import pytest

from trefoil_model import keys
from trefoil_settings import configuration
from trefoil_settings import schema
from trefoil_settings import settings

PROXY = """\
host: h1
domain: ariana
callers: 127.0.0.1:1
peers: 127.0.0.1:2
admin: 127.0.0.1:3
controls: {c1: 127.0.0.1:4}
seeds: {h1: 127.0.0.1:2}
"""


def test_defaults_are_filled_in_and_rendered() -> None:
    parsed = settings.parse(PROXY, "proxy").ok
    assert (parsed.lease_ms, parsed.max_body_mib, parsed.region) == (
        3000,
        1,
        "default",
    )
    rendered = settings.render(parsed)
    assert "lease: 3000ms" in rendered
    assert settings.parse(rendered, "proxy").ok == parsed


def test_all_findings_are_reported_in_order() -> None:
    text = PROXY.replace("127.0.0.1:1\n", "localhost\n")
    text = text.replace("ariana", "a b").replace("{h1", "{'h 1'")
    text += "colour: red\nlease: soon\nhost: twice\n"
    found = settings.parse(text, "proxy", file="p.yaml").error
    assert [str(finding).partition(": ")[0] for finding in found] == [
        "p.yaml:2:9",
        "p.yaml:3:10",
        "p.yaml:7:9",
        "p.yaml:8:1",
        "p.yaml:9:8",
        "p.yaml:10:1",
    ]


@pytest.mark.parametrize(
    ("case", "text", "problem"),
    [
        ("empty", "", "the file is empty"),
        ("not YAML", "a: [", "not YAML"),
        ("a list", "- a", "expected a mapping"),
        ("missing", "host: h", "'callers' is missing"),
        ("tags", "!!python/object:os.system {}", "missing"),
        ("endless", PROXY + f"lease: {'9' * 400}h", "the time is too long"),
        ("deep", "[" * 100_000, "not YAML"),
    ],
)
def test_invalid_settings_files(case: str, text: str, problem: str) -> None:
    assert problem in str(settings.parse(text, "proxy").error)


def test_a_control_process_must_be_among_the_controls() -> None:
    text = (
        "host: c9\ndomain: d\npeers: 127.0.0.1:1\nadmin: 127.0.0.1:2\n"
        "controls: {c1: 127.0.0.1:1}\nvoters: [c1, c2]\n"
        "data_folder: x\nelection: 100ms\n"
    )
    found = str(settings.parse(text, "control").error)
    assert "host 'c9' is not in controls" in found
    assert "voter 'c2' is not in controls" in found
    assert "twice heartbeat" in found


CONTROL = """\
host: c1
domain: d
peers: 127.0.0.1:1
admin: 127.0.0.1:2
controls: {c1: 127.0.0.1:1}
voters: [c1]
data_folder: x
profile: cautious
moves: {first_share: 2.5, compare: 20s}
"""


def test_parameters_of_moves_are_rendered_and_checked() -> None:
    parsed = settings.parse(CONTROL, "control").ok
    assert (parsed.moves.first_share, parsed.moves.compare_ms) == (2.5, 20_000)
    assert settings.parse(settings.render(parsed), "control").ok == parsed
    invalid = CONTROL.replace("2.5", "250").replace("compare", "comparing")
    found = [str(f) for f in settings.parse(invalid, "control").error]
    assert "9:22: 250 is not between" in found[0]
    assert "9:27: unknown key 'comparing'" in found[1]


DOCUMENT = """\
services:
  - {name: tables, version: v1, resources: [pay]}
routes:
  - {name: a, prefix: /a, service: tables, resource: pay}
"""


def test_requests_of_a_route_are_not_repeated_by_default() -> None:
    parsed = configuration.parse(DOCUMENT).ok
    assert parsed.routes[0].repeat == configuration.REPEAT["once"]
    assert parsed.routes[0].timeout_ms == 2000


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        (("service: tables", "service: x"), "4:5: there is no service 'x'"),
        (("resource: pay}", "resource: z}"), "4:5: service 'tables' has no"),
        (("/a", "a"), "4:5: prefix must start with /"),
        (("name: a,", "name: a, methods: [GO],"), "'GO' is none of GET"),
        (("version: v1", "version: v 1"), "2:29: 'v 1' is not a name"),
    ],
)
def test_invalid_documents(change: tuple[str, str], problem: str) -> None:
    text = DOCUMENT.replace(*change)
    assert problem in str(configuration.parse(text).error)


ACCOUNTS = """\
accounts:
  - {name: alice, keys: [sesame], priority: 1, rate_per_s: 5, burst: 10}
  - {name: bob, keys: [other]}
"""


def test_accounts_are_read_with_digests_of_their_keys() -> None:
    alice, bob = configuration.parse(DOCUMENT + ACCOUNTS).ok.accounts
    assert (alice.priority, alice.rate_per_s, alice.burst) == (1, 5, 10)
    assert alice.key_digests == [keys.digest_of(b"sesame")]
    assert (bob.priority, bob.rate_per_s) == (None, 0)


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        (("other", "sesame"), "7:5: a key is also one of account 'alice'"),
        (("name: bob", "name: alice"), "7:5: account 'alice' stands twice"),
        (("[other]", "['']"), "7:24: a key has 1 to 512 printable"),
        (("[other]", "['a b']"), "7:24: a key has 1 to 512 printable"),
        (("[other]", "[[other]]"), "7:24: expected a key"),
        (("rate_per_s: 5", "rate_per_s: -1"), "-1 is not between 0"),
        (("rate_per_s: 5", "rate_per_s: .nan"), "6:60: '.nan' is not a"),
        (("rate_per_s: 5", "rate_per_s: nan"), "nan is not between 0"),
        (("burst: 10", "burst: inf"), "inf is not between 0"),
        (("service: tables", "service: tables, timeout: 11m"), "1ms to 10m"),
    ],
)
def test_invalid_accounts(change: tuple[str, str], problem: str) -> None:
    text = (DOCUMENT + ACCOUNTS).replace(*change)
    found = str(configuration.parse(text).error)
    assert problem in found
    assert "sesame" not in found
    assert "other" not in found


def test_no_finding_shows_a_key() -> None:
    text = (DOCUMENT + ACCOUNTS).replace("[sesame]", "['open sesame']")
    found = str(configuration.parse(text).error)
    assert "6:26" in found
    assert "sesame" not in found


def test_a_file_with_a_hundred_thousand_keys_is_read() -> None:
    lines = []
    for number in range(5000):
        key_list = ", ".join(f"k{number}-{k}" for k in range(20))
        lines.append(f"  - {{name: c{number}, keys: [{key_list}]}}")
    text = DOCUMENT + "accounts:\n" + "\n".join(lines)
    accounts = configuration.parse(text).ok.accounts
    assert sum(len(account.key_digests) for account in accounts) == 100_000


@pytest.mark.parametrize("value", ["[]", "{}", "a", "*x"])
def test_a_text_with_too_many_values_is_refused_unread(value: str) -> None:
    """A list of empty lists took a hundred times its length."""
    count = schema.MAX_NODES
    text = "services: [&x a, " + ", ".join([value] * count) + "]"
    tracemalloc.start()
    found = str(configuration.parse(text).error)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert f"more than {count} values" in found
    assert peak < 3 * len(text)


def test_a_forwarded_port_is_advertised() -> None:
    parsed = settings.parse(PROXY + "advertise: 10.0.0.9:77\n", "proxy").ok
    assert (parsed.peers, parsed.advertise) == ("127.0.0.1:2", "10.0.0.9:77")
