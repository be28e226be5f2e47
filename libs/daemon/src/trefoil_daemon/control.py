"""``trefoilroute-control``: the daemon on the few hosts with a disk."""

import random
import typing

from trefoil_model import effects as common
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks
from trefoil_store import store as stores

from . import control_process
from . import identities
from . import runtime

ADMIN_BODY = 4 * 1024 * 1024


class ControlDaemon(runtime.Runtime):
    """The control process's runtime."""

    def start_control(self, settings: setting_store.ControlSettings) -> None:
        """Open the ports, the data folder and the engine."""
        clock = self.system_clock
        port = self.hub.listen(settings.peers)
        host = settings.peers.rpartition(":")[0]
        self.engine = control_process.ControlProcess(
            settings,
            peers_address=settings.advertise or f"{host}:{port}",
            driver=self,
            clock=clock,
            rng=random.Random(),
            disk=disks.FolderDisk(settings.data_folder),
        )
        self.serve_metrics(settings.metrics)
        self.note(
            common.Note(
                "control.started",
                {
                    "identity": self.engine.raft.identity,
                    "admin": self.serve_operators(settings.admin, ADMIN_BODY),
                    "peers": port,
                    "revision": self.engine.state.items.revision,
                },
            )
        )

    def leave(self) -> None:
        """End the process; what it acknowledged is on its disk."""
        raft = self.engine.raft
        self.note(
            common.Note(
                "control.left",
                {"term": raft.term, "led": raft.is_leader},
            )
        )
        super().leave()

    def reconfigure(self, settings: typing.Any) -> None:
        """Take changed settings; the ports stay as they are."""
        self.engine.reconfigure(settings)


def initialise(settings: setting_store.ControlSettings) -> bool:
    """Prepare a data folder for a control process's first life.

    Only for a new deployment: a process that lost its disk must not be given
    its first identity again, since its promises are forgotten.

    Returns:
        False if the folder holds a store already.
    """
    disk = disks.FolderDisk(settings.data_folder)
    if disk.read(stores.HARD_STATE_FILE) is not None:
        return False
    stores.Store.create(disk, identities.first_identity(settings.host))
    return True


def run(settings: setting_store.ControlSettings) -> None:
    """Run a control process until it is told to end."""
    daemon = ControlDaemon(settings.host, settings.log_level, settings.statsd)
    daemon.start_control(settings)
    daemon.settle()
    daemon.run()
