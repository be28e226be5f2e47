"""Latencies in logarithmic buckets that merge across processes.

Each power of two of microseconds is cut into four buckets, so a bucket's
bounds differ by 19%. A sparse map of bucket to count is what travels in
evidence reports; operators read HdrHistogram quantiles instead.
"""

import collections.abc
import math

BUCKETS_PER_OCTAVE = 4


def bucket_of(latency_us: int) -> int:
    """Return the bucket of a latency in microseconds."""
    if latency_us < 1:
        return 0
    return int(math.log2(latency_us) * BUCKETS_PER_OCTAVE)


def bucket_floor_us(bucket: int) -> float:
    """Return the smallest latency of a bucket, in microseconds."""
    return 2.0 ** (bucket / BUCKETS_PER_OCTAVE)


def quantile_bucket(
    counts: collections.abc.Mapping[int, int], quantile: float
) -> int:
    """Return the bucket that holds a quantile; -1 without counts."""
    total = sum(counts.values())
    if not total:
        return -1
    wanted = quantile * total
    seen = 0
    for bucket in sorted(counts):
        seen += counts[bucket]
        if seen >= wanted:
            return bucket
    return max(counts)


def count_at_least(
    counts: collections.abc.Mapping[int, int], bucket: int
) -> int:
    """Return how many latencies lie in a bucket or above it."""
    return sum(count for at, count in counts.items() if at >= bucket)
