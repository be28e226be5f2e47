"""Knobs of moves, in operators' terms."""

import dataclasses
import typing

from trefoil_settings import settings as setting_store

# A move below this can't take the steps of the longer ones: twelve steps of
# 2.5 s and the watch.
SHORT_MOVE_MS = 60_000
# No step before the share at risk: at a few hundred requests a second a
# smaller one shows a fault only after half of the move.
SHORT_FIRST_PERMILLE = 100
SHORT_GROWTH = 4.0
SHORT_REQUESTS = 20
# Three steps and the wait for the first targets fit into the span. Most of
# it is spent at the share at risk, where a second costs little: what the
# next share costs is missing when a fault shows only with all traffic.
SHORT_TRIAL_SHARE = 0.19
SHORT_STEP_SHARE = 0.04
SHORT_PACE = 0.15
# Two looks a second; a verdict then trails its evidence by 0.25 s on
# average.
SHORT_WINDOW_MS = 500
# Three windows: at a hundred requests a second a version four times slower
# shows within two, and a version in order keeps time for its watch.
SHORT_COMPARE_MS = 1500
# A second with all the traffic is most of what a bad version may cost in a
# move of seconds; the watch goes on by evidence.
SHORT_WATCH_MS = 700
WATCH_MS = 30_000
RISK_PERMILLE = 80


def usual_watch_ms(span_ms: int) -> int:
    """Return how long the whole share is watched if nobody says so.

    Args:
        span_ms: Time from the move's start to its deadline.
    """
    return SHORT_WATCH_MS if span_ms < SHORT_MOVE_MS else WATCH_MS


@dataclasses.dataclass(slots=True, frozen=True)
class Knobs:
    """How careful moves are.

    Args:
        false_alarms: Share of good versions that may be taken back.
        tolerance: Difference of failure rates that does not matter.
        first_permille: Share of traffic at the first step.
        step_growth: How many times the share grows at a step.
        requests_per_step: Requests of the new version that a route must
            have shown at a step before the next.
        least_step_ms: Shortest time at a step.
        least_trial_ms: Shortest time at the first one, if longer.
        pace: Share of the time to the deadline that the steps are spread
            over; a fault that shows late then meets a smaller share.
        longest_pace_ms: Longest time that the pace alone holds a step.
        compare_ms: How long both versions serve side by side when a fault
            shows after the whole share; up to three times as long while
            the evidence leans against the new one.
        window_ms: How often evidence is looked at.
        compares_failures: Whether the old version is asked again when
            failures show after the whole share; else the move is taken
            back. Latency always has it asked again.
        exposed_part: Part of its service's requests that a version may get
            before a fault of it is seen; 1 for no bound.
        exposed_requests: Requests that it may get besides.
    """

    false_alarms: float = 0.005
    tolerance: float = 0.005
    first_permille: int = 8
    step_growth: float = 2.5
    requests_per_step: int = 30
    least_step_ms: int = 2500
    least_trial_ms: int = 0
    pace: float = 0.5
    longest_pace_ms: int = 60_000
    compare_ms: int = 12_000
    window_ms: int = 1000
    compares_failures: bool = True
    exposed_part: float = 1.0
    exposed_requests: float = 0.0

    @classmethod
    def from_profile(cls, profile: str) -> typing.Self:
        """Return the knobs of a profile.

        Args:
            profile: ``in-time`` for users who weigh good versions done in
                time, ``cautious`` for those who weigh bad ones taken back,
                else ``balanced``.
        """
        if profile == "in-time":
            return cls(false_alarms=0.002)
        if profile == "cautious":
            return cls(requests_per_step=60, pace=0.6)
        return cls()

    def paced_for(self, span_ms: int) -> "Knobs":
        """Return the knobs for a move that lasts some time as a whole.

        A move of seconds has no room for twelve small steps, nor for a long
        comparison after the whole share: it goes from the share at risk by
        three steps, each as long as its evidence needs.
        """
        if span_ms >= SHORT_MOVE_MS:
            return self
        return dataclasses.replace(
            self,
            first_permille=SHORT_FIRST_PERMILLE,
            step_growth=SHORT_GROWTH,
            requests_per_step=SHORT_REQUESTS,
            least_step_ms=int(span_ms * SHORT_STEP_SHARE),
            least_trial_ms=int(span_ms * SHORT_TRIAL_SHARE),
            pace=SHORT_PACE,
            window_ms=SHORT_WINDOW_MS,
            compare_ms=SHORT_COMPARE_MS,
            compares_failures=False,
        )

    @classmethod
    def from_settings(cls, settings: setting_store.ControlSettings) -> "Knobs":
        """Return a profile's knobs with those that are set apart."""
        chosen = settings.moves
        given = {
            "false_alarms": chosen.false_alarms,
            "tolerance": chosen.tolerance,
            "requests_per_step": chosen.requests_per_step,
            "pace": chosen.pace,
            "compare_ms": chosen.compare_ms,
            "exposed_part": chosen.exposed_part,
            "exposed_requests": chosen.exposed_requests,
        }
        if chosen.first_share is not None:
            given["first_permille"] = max(int(chosen.first_share * 10), 1)
        kept = {name: v for name, v in given.items() if v is not None}
        return dataclasses.replace(cls.from_profile(settings.profile), **kept)
