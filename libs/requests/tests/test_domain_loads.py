"""Which failure domains calls may cross to, by what is told of their load."""

import pytest

from trefoil_requests import domain_loads
from trefoil_wire import messages

NOW_MS = 10_000


def told(**loads: float) -> domain_loads.DomainLoads:
    """Return what domain ``own`` heard of loads per slot."""
    heard = domain_loads.DomainLoads("own")
    heard.hear(
        messages.DomainLoads(
            [
                messages.DomainLoad(
                    f"c-{name}",
                    name,
                    [messages.ServiceLoad("s", load * 40, 40)],
                )
                for name, load in loads.items()
            ]
        ),
        NOW_MS,
    )
    return heard


@pytest.mark.parametrize(
    ("loads", "full"),
    [
        ({"own": 0.5, "far": 0.5}, set()),
        ({"own": 0.5, "far": 0.71}, {"far"}),
        ({"own": 1.5, "far": 1.4}, {"far"}),
        ({"own": 1.5, "far": 1.1}, set()),
        ({"own": 3.0, "far": 2.0, "third": 2.9}, {"third"}),
        ({"own": 0.2, "far": 3.0}, {"far"}),
        ({"far": 3.0}, set()),
    ],
)
def test_calls_cross_only_to_clearly_less_loaded_domains(
    loads: dict[str, float], full: set[str]
) -> None:
    assert told(**loads).full_domains("s", NOW_MS) == full


def test_nothing_is_held_up_by_old_news() -> None:
    """Guards callers of a domain that was cut off from the others."""
    late_ms = NOW_MS + domain_loads.LIFETIME_MS
    assert told(own=1.0, far=5.0).full_domains("s", late_ms) == set()


def test_a_service_that_nobody_told_of_may_cross() -> None:
    assert told(own=1.0, far=5.0).full_domains("other", NOW_MS) == set()


def test_two_domains_with_equal_noise_do_not_trade_calls() -> None:
    """Five percent of noise opens no way in either direction."""
    for own, far in ((1.05, 0.95), (0.95, 1.05), (2.1, 1.9)):
        assert told(own=own, far=far).full_domains("s", NOW_MS) == {"far"}


def test_the_parts_of_one_domain_add_up() -> None:
    """Hosts of one domain may report to two control hosts."""
    loads = messages.DomainLoads(
        [
            messages.DomainLoad(
                "c1", "own", [messages.ServiceLoad("s", 10, 10)]
            ),
            messages.DomainLoad(
                "c1", "far", [messages.ServiceLoad("s", 1, 10)]
            ),
            messages.DomainLoad(
                "c2", "far", [messages.ServiceLoad("s", 29, 10)]
            ),
        ]
    )
    heard = domain_loads.DomainLoads("own")
    heard.hear(loads, NOW_MS)
    assert heard.full_domains("s", NOW_MS) == {"far"}
