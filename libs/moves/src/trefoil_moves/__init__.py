"""Gradual moves of a service's traffic between versions."""
