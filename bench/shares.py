"""Compares ways of sharing a target's slots among accounts.

Each row plays the same draws twice: all accounts at their usual rates, and one
at a multiple of its usual rate. It prints what changes for the others: the
99th percentile of the time until an answer, and the part answered in time.
"""

import statistics

import fire

from trefoil_emulator import shared_slots


def compare(
    way: str, flooding: float, seconds: int, seed: int
) -> dict[str, float]:
    """Return the figures of one pair of plays."""
    flooder, *others = shared_slots.names()
    plays = [
        shared_slots.SharedSlots(
            shared_slots.draw(rate, seconds * 1000, seed), way
        ).play()
        for rate in (1.0, flooding)
    ]
    usual, flooded = plays
    return {
        "p99_grows": flooded.p99_ms(others) / usual.p99_ms(others) - 1,
        "in_time_falls": usual.in_time(others) - flooded.in_time(others),
        "flooder_in_time": flooded.in_time([flooder]),
        "answers": flooded.answers([flooder, *others]),
    }


def main(flooding: float = 6.0, seconds: int = 120, seeds: int = 8) -> None:
    """Print one row for each way, the mean over seeds."""
    for way in shared_slots.WAYS:
        rows = [
            compare(way, flooding, seconds, seed)
            for seed in range(1, seeds + 1)
        ]
        means = {
            key: round(statistics.fmean(row[key] for row in rows), 3)
            for key in rows[0]
        }
        print(way, means)


if __name__ == "__main__":
    fire.Fire(main)
