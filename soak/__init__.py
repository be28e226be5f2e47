"""A randomized soak: real processes, faults from outside, promises."""
