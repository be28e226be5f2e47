"""Requests: routing, balancing, limits, retries and at-most-once."""
