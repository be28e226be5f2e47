"""Latency histograms with logarithmic buckets, mergeable across processes.

Each power of two of microseconds is divided into four buckets, so the bounds
of a bucket differ by 19%. Evidence reports carry a sparse map from bucket to
count. The quantiles that operators read come from HdrHistogram instead.
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
    """Return the lower bound of a bucket, in microseconds."""
    return 2.0 ** (bucket / BUCKETS_PER_OCTAVE)


def quantile_bucket(
    counts: collections.abc.Mapping[int, int], quantile: float
) -> int:
    """Return the bucket that contains a quantile, or -1 without counts.

    Args:
        counts: Number of latencies by bucket.
        quantile: Between 0 and 1.
    """
    total = sum(counts.values())
    if not total:
        return -1
    rank = quantile * total
    cumulative = 0
    for bucket in sorted(counts):
        cumulative += counts[bucket]
        if cumulative >= rank:
            return bucket
    return max(counts)


def count_at_least(
    counts: collections.abc.Mapping[int, int], bucket: int
) -> int:
    """Return the number of latencies in a bucket and all higher ones."""
    return sum(count for other, count in counts.items() if other >= bucket)
