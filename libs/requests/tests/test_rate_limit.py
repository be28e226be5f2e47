"""Tests of the rate limit that a target names in its answers."""

import pytest

from trefoil_requests import notices
from trefoil_requests import rate_limit as rate_limits


def hear(
    limit: rate_limits.RateLimit,
    per_s: float | None,
    *,
    sent_ms: int,
    now_ms: int,
) -> bool:
    """Let a limit hear an answer that names a rate, or none."""
    return limit.hear(notices.Notice(per_s), sent_ms, now_ms)


def test_a_limit_is_named_changed_and_ended() -> None:
    limit = rate_limits.RateLimit()
    assert hear(limit, 9.0, sent_ms=0, now_ms=100)
    assert not hear(limit, 9.0, sent_ms=90, now_ms=120)
    assert hear(limit, 4.0, sent_ms=100, now_ms=200)
    assert limit.since_ms == 200
    assert hear(limit, None, sent_ms=201, now_ms=300)
    assert limit.per_s is None


@pytest.mark.parametrize("late", [None, 20.0])
def test_a_late_answer_does_not_raise_a_newer_limit(
    late: float | None,
) -> None:
    """An older answer arrived after a newer one and lifted its limit."""
    limit = rate_limits.RateLimit()
    hear(limit, 9.0, sent_ms=50, now_ms=100)
    assert not hear(limit, late, sent_ms=40, now_ms=110)
    assert limit.per_s == 9.0


def test_a_malformed_limit_leaves_the_known_one() -> None:
    limit = rate_limits.RateLimit()
    hear(limit, 9.0, sent_ms=0, now_ms=100)
    malformed = notices.Notice(malformed_limit="nine")
    assert not limit.hear(malformed, 200, 300)
    assert limit.per_s == 9.0


@pytest.mark.parametrize("per_s", [0.0, 0.3, 7.5, 40.0])
def test_no_window_has_more_than_the_limit_and_its_burst(
    per_s: float,
) -> None:
    """A target that named a limit was sent all that waited for it."""
    limit = rate_limits.RateLimit()
    hear(limit, per_s, sent_ms=0, now_ms=0)
    started = []
    for now_ms in range(0, 20_000, 10):
        while limit.may_start(now_ms):
            limit.started()
            started.append(now_ms)
    assert started
    for first_ms in started:
        window = [s for s in started if first_ms <= s < first_ms + 4000]
        assert len(window) <= 6 * per_s + 5
    assert len(started) >= int(0.9 * 20 * per_s)


def test_a_changed_limit_keeps_what_was_spent() -> None:
    """Each change of a limit gave its target a full burst."""
    limit = rate_limits.RateLimit()
    count = 0
    for now_ms in range(0, 4000, 100):
        per_s = 8.0 if now_ms % 200 else 10.0
        hear(limit, per_s, sent_ms=now_ms, now_ms=now_ms)
        while limit.may_start(now_ms):
            limit.started()
            count += 1
    assert count <= 4 * 10 + 5


def test_entry_proxies_do_not_get_the_same_turn() -> None:
    """All proxies came for one token; all but one were refused."""
    limit = rate_limits.RateLimit()
    hear(limit, 10.0, sent_ms=0, now_ms=0)
    turns = [limit.turn_ms(0, 0) for _ in range(5)]
    assert turns == [100, 200, 300, 400, 500]


def test_no_turn_is_far_ahead() -> None:
    """A proxy did not learn that a limit had ended long before its turn."""
    limit = rate_limits.RateLimit()
    hear(limit, 0.1, sent_ms=0, now_ms=0)
    turns = [limit.turn_ms(0, 0) for _ in range(3)]
    assert turns == [rate_limits.MAX_TURN_MS] * 3


def test_a_target_that_has_tokens_left_may_be_asked_at_once() -> None:
    limit = rate_limits.RateLimit()
    hear(limit, 10.0, sent_ms=0, now_ms=0)
    assert limit.turn_ms(0, 400) == 0
    assert limit.turn_ms(10, 400) > 0
