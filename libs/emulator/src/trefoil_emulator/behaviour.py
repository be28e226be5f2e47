"""What a stand-in target is told to do."""

import dataclasses
import json
import random
import typing


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How a stand-in target answers.

    Args:
        delay_ms: Mean time of a request.
        jitter: Share of the delay that varies.
        fail_share: Share of requests answered with ``fail_status``.
        fail_status: Status of those.
        fail_prefix: Fail or slow down only under this path, if set.
        slow_factor: How many times slower.
        after_s: Seconds from the start until the fault shows.
        above_running: Requests running at once from which it shows.
        shed: Answer 503 with a note that the request did not run.
        hang: Never answer.
        crash_word: End the process when a request's body has this word.
        cold_ms: Time from the start in which requests take longer.
        cold_factor: How many times longer.
        lie: Answer the health page as healthy whatever happens.
        workers: Requests that are worked on at once, others wait; 0 for
            all.
    """

    delay_ms: float = 5.0
    jitter: float = 0.3
    fail_share: float = 0.0
    fail_status: int = 500
    fail_prefix: str = ""
    slow_factor: float = 1.0
    after_s: float = 0.0
    above_running: int = 0
    shed: bool = False
    hang: bool = False
    crash_word: str = ""
    cold_ms: float = 0.0
    cold_factor: float = 8.0
    lie: bool = False
    workers: int = 0

    @classmethod
    def from_json(cls, text: str) -> typing.Self:
        """Build a behaviour from JSON; unknown keys raise ``TypeError``."""
        return cls(**json.loads(text or "{}"))

    def faulty(self, path: str, age_s: float, running: int) -> bool:
        """Tell whether the fault shows for a request."""
        return (
            path.startswith(self.fail_prefix)
            and age_s >= self.after_s
            and running >= self.above_running
        )

    def time_ms(
        self, path: str, age_s: float, running: int, rng: random.Random
    ) -> float:
        """Draw how long a request takes."""
        spread = rng.uniform(1 - self.jitter, 1 + self.jitter)
        time_ms = self.delay_ms * spread
        if age_s * 1000 < self.cold_ms:
            time_ms *= self.cold_factor
        if self.faulty(path, age_s, running):
            time_ms *= self.slow_factor
        return time_ms

    def status(
        self, path: str, age_s: float, running: int, rng: random.Random
    ) -> int:
        """Draw the status of a request."""
        shows = self.faulty(path, age_s, running)
        if shows and rng.random() < self.fail_share:
            return self.fail_status
        return 200
