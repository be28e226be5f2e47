"""Randomized soak test: real processes, injected faults, checks."""
