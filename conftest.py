"""Test settings that hold for the whole workspace."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected to fail."""
    if not KNOWN_RED.exists():
        return
    listed = {
        line.split(",")[0].strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.strip()
    }
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt"))
