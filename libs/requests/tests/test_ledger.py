"""The keys that a keeper remembers, in bounded memory."""

import pytest

from trefoil_requests import ledger as ledgers
from trefoil_wire import messages


def make_ledger() -> ledgers.Ledger:
    made = ledgers.Ledger("h1", 1, 0, 0)
    made.sets.update({"s": ["h1", "h2", "h3"]}, 0)
    return made


def claim(key: int, claim_id: int = 1) -> messages.Claim:
    return messages.Claim(
        claim_id,
        key,
        7,
        ["h1", "h2", "h3"],
        "s",
        10 * ledgers.MAX_CLOCK_SKEW_MS,
    )


def test_a_full_ledger_abstains_and_forgets_nothing(monkeypatch) -> None:
    """More keys come than are kept; none that lives is dropped."""
    monkeypatch.setattr(ledgers, "MAX_ENTRIES", 3)
    made = make_ledger()
    verdicts = [made.claim(claim(key), 0).verdict for key in range(5)]
    assert verdicts == [1, 1, 1, ledgers.ABSTAIN, ledgers.ABSTAIN]
    assert made.claim(claim(0, 2), 1).verdict == ledgers.TAKEN
    later_ms = ledgers.RETENTION_MS + 1
    assert made.claim(claim(9), later_ms).verdict == ledgers.GRANTED


def test_old_answers_go_before_their_keys(monkeypatch) -> None:
    monkeypatch.setattr(ledgers, "MAX_TOTAL_ANSWER_BYTES", 250)
    made = make_ledger()
    for key in range(3):
        made.claim(claim(key, key), 0)
        answer = messages.Answer(status=200, body=b"x" * 100)
        made.done(messages.ClaimDone(key, key, answer))
    replies = [made.claim(claim(key, 99), 1) for key in range(3)]
    assert [r.verdict for r in replies] == [ledgers.TAKEN] * 3
    assert [r.answer is None for r in replies] == [True, False, False]


@pytest.mark.parametrize(
    ("hosts", "verdict"),
    [(["h1", "h2", "h3"], ledgers.GRANTED), (["h1", "h2"], ledgers.ABSTAIN)],
)
def test_a_claimant_with_another_view_gets_nothing(
    hosts: list[str], verdict: int
) -> None:
    made = make_ledger()
    asked = claim(1)
    asked.keepers = hosts
    assert made.claim(asked, 0).verdict == verdict


def test_a_host_that_left_lately_stays_in_the_ranking() -> None:
    """Else a key's keepers could change by two at once."""
    sets = ledgers.ReplicaSets()
    sets.update({"s": ["a", "b", "c", "d"]}, 0)
    before = sets.keepers("s", 5, 0)
    sets.update({"s": [h for h in "abcd" if h != before[0]]}, 10)
    assert sets.keepers("s", 5, 20) == before
    after = sets.keepers("s", 5, 20 + ledgers.RETENTION_MS)
    assert before[0] not in after
    assert set(before[1:]) <= set(after)


@pytest.mark.parametrize(
    ("key", "issued_ms"),
    [("1796256000000-x", 1796256000000), ("179625600000-x", 0), ("abc", 0)],
)
def test_keys_tell_when_they_were_issued(key: str, issued_ms: int) -> None:
    assert ledgers.issued_ms_of(key) == issued_ms


def fleet_ledger(hosts: int) -> ledgers.Ledger:
    made = ledgers.Ledger("h0", 1, 0, 0)
    names = [f"h{number}" for number in range(hosts)]
    made.sets.update({"s": names}, 0)
    return made


def count_pulls(made: ledgers.Ledger, from_ms: int, to_ms: int) -> int:
    """Let time pass while every host that is asked says that it restarted."""
    count = 0
    for now_ms in range(from_ms, to_ms, 50):
        for host in made.tick(now_ms, True):
            count += 1
            made.push(messages.LedgerPush(host, [], False), now_ms)
    return count


def test_a_fleet_whose_callers_send_no_keys_hardly_pulls() -> None:
    """Each host asked each other one twice a second for ten minutes."""
    assert count_pulls(fleet_ledger(200), 0, 60_000) <= ledgers.SAMPLE_HOSTS


def test_once_keys_are_in_use_every_keeper_is_asked_ever_less_often() -> None:
    made = fleet_ledger(200)
    count_pulls(made, 0, 5000)
    made.claim(claim(1), 5000)
    assert count_pulls(made, 5000, 5500) == 199
    assert count_pulls(made, 5500, 65_000) <= 8 * 199


def test_a_host_that_holds_keys_tells_that_they_are_in_use() -> None:
    """A keeper that restarted in a fleet with keys asks everyone for them."""
    made = fleet_ledger(200)
    asked = made.tick(0, True)
    entry = messages.LedgerEntry(7, 1, 2, 100, None)
    made.push(messages.LedgerPush(asked[0], [entry], True), 10)
    assert len(made.tick(50, True)) == 198
