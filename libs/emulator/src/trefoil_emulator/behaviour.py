"""Configurable behaviour of an emulated target."""

import dataclasses
import json
import random
import typing


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How an emulated target answers.

    Times count from the start of the target or the last change of its
    behaviour.

    Args:
        delay_ms: Mean duration of a request.
        jitter: Largest deviation from the delay, as a share of it.
        fail_share: Share of requests answered with ``fail_status`` while
            the fault is active.
        fail_status: HTTP status of failed requests.
        fail_prefix: Path prefix that the fault is limited to; empty for
            all paths.
        slow_factor: Factor on the duration while the fault is active.
        after_s: Seconds from the start until the fault becomes active.
        above_running: Least number of concurrent requests at which the
            fault is active.
        shed: Answer 503 with a header that says the request did not run.
        hang: Never answer.
        crash_word: Exit when the body of a request contains this word.
        cold_ms: Length of the cold phase after the start.
        cold_factor: Factor on the duration during the cold phase.
        lie: Report healthy on the health page even while hanging.
        workers: Requests that are processed concurrently, others queue; 0
            for no limit.
        rate_limit: The rate limit that its answers name, as they write it;
            empty for none.
        leaving: Its answers state that it is leaving.
        padding_bytes: Bytes that make each answer longer.
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
    rate_limit: str = ""
    leaving: bool = False
    padding_bytes: int = 0

    @classmethod
    def from_json(cls, text: str) -> typing.Self:
        """Return the behaviour that a JSON object describes.

        Args:
            text: The JSON object; an empty string selects the defaults.

        Raises:
            TypeError: A key is unknown.
            ValueError: The text is not valid JSON.
        """
        return cls(**json.loads(text or "{}"))

    def headers(self) -> bytes:
        """Return the header lines in which it states something of itself."""
        lines = b""
        if self.rate_limit:
            lines += f"X-Trefoil-Rate-Limit: {self.rate_limit}\r\n".encode()
        if self.leaving:
            lines += b"X-Trefoil-Leaving: 1\r\n"
        return lines

    def is_fault_active(self, path: str, age_s: float, running: int) -> bool:
        """Return whether the fault is active for a request.

        Args:
            path: Path of the request.
            age_s: Seconds since the start.
            running: Concurrent requests, including this one.
        """
        return (
            path.startswith(self.fail_prefix)
            and age_s >= self.after_s
            and running >= self.above_running
        )

    def duration_ms(
        self, path: str, age_s: float, running: int, rng: random.Random
    ) -> float:
        """Draw the duration of a request in milliseconds."""
        variation = rng.uniform(1 - self.jitter, 1 + self.jitter)
        duration_ms = self.delay_ms * variation
        if age_s * 1000 < self.cold_ms:
            duration_ms *= self.cold_factor
        if self.is_fault_active(path, age_s, running):
            duration_ms *= self.slow_factor
        return duration_ms

    def status(
        self, path: str, age_s: float, running: int, rng: random.Random
    ) -> int:
        """Draw the HTTP status of a request."""
        is_active = self.is_fault_active(path, age_s, running)
        if is_active and rng.random() < self.fail_share:
            return self.fail_status
        return 200
