"""Tests of which crashes convict a request."""

import pytest

from trefoil_requests import quarantine as quarantines
from trefoil_wire import messages

REQUEST = 7


def notice(
    number: int, ran_ms: int | None, age_ms: int = 0
) -> messages.CrashNotice:
    """Return the notice of a crash under the one request."""
    durations = None if ran_ms is None else [ran_ms]
    return messages.CrashNotice(number, [REQUEST], age_ms, False, durations)


@pytest.mark.parametrize("transit_ms", [(0, 0), (0, 150), (150, 0)])
def test_targets_that_crash_together_convict_no_request(
    transit_ms: tuple[int, int],
) -> None:
    """All hosts denied a path that ran on two targets of one rack."""
    quarantine = quarantines.Quarantine()
    for number, (ran_ms, age_ms) in enumerate(zip((160, 90), transit_ms)):
        quarantine.receive(notice(number, ran_ms, age_ms), 1000 + age_ms)
    assert not quarantine.refuses(REQUEST, 1200)


def test_a_whole_rack_that_crashes_within_seconds_convicts_no_request() -> (
    None
):
    """Its targets fail one by one; all runs began before the first."""
    quarantine = quarantines.Quarantine()
    for number, ran_ms in enumerate((100, 700, 1300, 1900)):
        quarantine.receive(notice(number, ran_ms), 1000 + 600 * number)
    assert not quarantine.refuses(REQUEST, 3000)


@pytest.mark.parametrize("ran_ms", [20, None])
def test_a_request_that_is_sent_again_and_crashes_again_is_convicted(
    ran_ms: int | None,
) -> None:
    """Processes of an older release do not say how long it had run."""
    quarantine = quarantines.Quarantine()
    quarantine.receive(notice(1, ran_ms), 1000)
    quarantine.receive(notice(2, ran_ms), 1100)
    assert quarantine.refuses(REQUEST, 1100)
    assert not quarantine.refuses(REQUEST + 1, 1100)


def test_the_cause_of_crashes_at_one_moment_is_convicted_later() -> None:
    quarantine = quarantines.Quarantine()
    for number in range(2):
        quarantine.receive(notice(number, 30), 1000)
    quarantine.receive(notice(2, 30), 1200)
    assert quarantine.refuses(REQUEST, 1200)
