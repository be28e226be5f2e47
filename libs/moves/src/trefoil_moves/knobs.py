"""Parameters of moves: defaults, profiles and operators' settings."""

import dataclasses
import typing

from trefoil_settings import settings as setting_store

# A move shorter than this has no time for the steps of longer moves: twelve
# steps of 2.5 s and the watch.
SHORT_MOVE_MS = 60_000
# No step below the share at risk: at a few hundred requests a second a smaller
# share reveals a fault only after half of the move.
SHORT_FIRST_PERMILLE = 100
SHORT_GROWTH = 4.0
SHORT_REQUESTS = 20
# Durations of the first step and of later steps, as fractions of the move's
# length. Three steps and the wait for the first targets fit into the move.
# Most of it is spent at the share at risk, where a second costs little
# exposure. Exposure spent at larger shares is missing if a fault occurs only
# at full traffic.
SHORT_TRIAL_FRACTION = 0.19
SHORT_STEP_FRACTION = 0.04
SHORT_PACE = 0.15
# Two evaluations a second delay a verdict by 0.25 s on average.
SHORT_WINDOW_MS = 500
# Three windows: at a hundred requests a second a version four times slower is
# detected within two, and a good version has time left for its watch.
SHORT_COMPARE_MS = 1500
# A second at full traffic is most of what a bad version may cost in a move of
# seconds. The watch continues beyond this until there is enough evidence.
SHORT_WATCH_MS = 700
WATCH_MS = 30_000
# Default of the share at risk, from which steps lead to full traffic.
RISK_PERMILLE = 80


def default_watch_ms(span_ms: int) -> int:
    """Return the default length of the watch at full traffic.

    Args:
        span_ms: Time from the move's start to its deadline.
    """
    return SHORT_WATCH_MS if span_ms < SHORT_MOVE_MS else WATCH_MS


@dataclasses.dataclass(slots=True, frozen=True)
class MoveParameters:
    """Thresholds, step sizes and durations of moves.

    Args:
        false_alarms: Share of good versions that may be taken back.
        tolerance: Difference of failure rates that does not matter.
        first_permille: Share of traffic at the first step.
        step_growth: Factor by which the share grows at each step.
        requests_per_step: Requests to the new version that a route must
            have at a step before the next step.
        min_step_ms: Shortest time at a step.
        min_trial_ms: Shortest time at the first step, if longer.
        pace: Share of the time to the deadline that the steps are spread
            over; a fault that occurs late then affects a smaller share.
        max_pace_ms: Longest time for which ``pace`` alone delays the next
            step.
        compare_ms: How long both versions serve side by side after a
            suspicion at full traffic; up to three times as long while there
            is evidence against the new one.
        window_ms: Interval between evaluations of the evidence.
        compare_failures: Whether failures at full traffic start a comparison
            with the old version; otherwise the move is taken back. High
            latency always starts a comparison.
        exposed_part: Part of its service's requests that a version may get
            before a fault in it is detected; 1 for no bound.
        exposed_requests: Requests that it may get in addition.
    """

    false_alarms: float = 0.005
    tolerance: float = 0.005
    first_permille: int = 8
    step_growth: float = 2.5
    requests_per_step: int = 30
    min_step_ms: int = 2500
    min_trial_ms: int = 0
    pace: float = 0.5
    max_pace_ms: int = 60_000
    compare_ms: int = 12_000
    window_ms: int = 1000
    compare_failures: bool = True
    exposed_part: float = 1.0
    exposed_requests: float = 0.0

    @classmethod
    def from_profile(cls, profile: str) -> typing.Self:
        """Return the parameters of a profile.

        Args:
            profile: ``in-time`` favours finishing good versions by the
                deadline, ``cautious`` favours taking bad versions back; any
                other value selects ``balanced``.
        """
        if profile == "in-time":
            return cls(false_alarms=0.002)
        if profile == "cautious":
            return cls(requests_per_step=60, pace=0.6)
        return cls()

    def for_span(self, span_ms: int) -> "MoveParameters":
        """Return the parameters for a move of a given length.

        A move of seconds has no time for twelve small steps, nor for a long
        comparison at full traffic. It takes three steps from the share at
        risk, each as long as its evidence needs.

        Args:
            span_ms: Time from the move's start to its deadline.
        """
        if span_ms >= SHORT_MOVE_MS:
            return self
        return dataclasses.replace(
            self,
            first_permille=SHORT_FIRST_PERMILLE,
            step_growth=SHORT_GROWTH,
            requests_per_step=SHORT_REQUESTS,
            min_step_ms=int(span_ms * SHORT_STEP_FRACTION),
            min_trial_ms=int(span_ms * SHORT_TRIAL_FRACTION),
            pace=SHORT_PACE,
            window_ms=SHORT_WINDOW_MS,
            compare_ms=SHORT_COMPARE_MS,
            compare_failures=False,
        )

    @classmethod
    def from_settings(
        cls, settings: setting_store.ControlSettings
    ) -> "MoveParameters":
        """Return the profile's parameters with the settings' overrides."""
        chosen = settings.moves
        overrides = {
            "false_alarms": chosen.false_alarms,
            "tolerance": chosen.tolerance,
            "requests_per_step": chosen.requests_per_step,
            "pace": chosen.pace,
            "compare_ms": chosen.compare_ms,
            "exposed_part": chosen.exposed_part,
            "exposed_requests": chosen.exposed_requests,
        }
        if chosen.first_share is not None:
            overrides["first_permille"] = max(int(chosen.first_share * 10), 1)
        set_overrides = {
            name: v for name, v in overrides.items() if v is not None
        }
        return dataclasses.replace(
            cls.from_profile(settings.profile), **set_overrides
        )
