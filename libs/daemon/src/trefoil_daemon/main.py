"""Command-line interfaces of the two daemons."""

import sys
import typing

import fire

from trefoil_settings import settings as setting_store

from . import control
from . import proxy

EXIT_INVALID_SETTINGS = 2


def load(path: str, kind: str) -> typing.Any:
    """Return validated settings.

    Raises:
        SystemExit: The settings are invalid; every problem was printed.
    """
    checked = setting_store.load(path, kind)
    if checked.is_error():
        print(checked.error, file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS)
    return checked.ok


class ProxyCommands:
    """trefoilroute-proxy: one on each target host."""

    def run(self, settings: str) -> None:
        """Run the proxy with a settings file."""
        proxy.run(load(settings, "proxy"))

    def check(self, settings: str) -> str:
        """Check a settings file without starting anything."""
        load(settings, "proxy")
        return f"{settings}: in order"

    def show_settings(self, settings: str) -> str:
        """Print the settings in force, defaults filled in."""
        return setting_store.render(load(settings, "proxy"))


class ControlCommands:
    """trefoilroute-control: on the few hosts with a disk."""

    def init(self, settings: str) -> str:
        """Prepare the data folder of a new deployment, once."""
        if control.initialise(load(settings, "control")):
            return "the data folder is ready"
        return "the data folder holds a store already; nothing was changed"

    def run(self, settings: str) -> None:
        """Run the control process with a settings file."""
        control.run(load(settings, "control"))

    def check(self, settings: str) -> str:
        """Check a settings file without starting anything."""
        load(settings, "control")
        return f"{settings}: in order"

    def show_settings(self, settings: str) -> str:
        """Print the settings in force, defaults filled in."""
        return setting_store.render(load(settings, "control"))


def run_proxy() -> None:
    """Entry point of ``trefoilroute-proxy``."""
    fire.Fire(ProxyCommands(), name="trefoilroute-proxy")


def run_control() -> None:
    """Entry point of ``trefoilroute-control``."""
    fire.Fire(ControlCommands(), name="trefoilroute-control")
