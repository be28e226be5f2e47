"""``trefoilroute-control``: the daemon of the control hosts."""

import random
import typing

from trefoil_model import effects as common
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks
from trefoil_store import store as stores

from . import control_process
from . import identities
from . import runtime

MAX_ADMIN_BODY_BYTES = 4 * 1024 * 1024


class ControlDaemon(runtime.Runtime):
    """The runtime of a control process."""

    def start_control(self, settings: setting_store.ControlSettings) -> None:
        """Open the ports and the data folder, and build the engine."""
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
                    "admin": self.serve_admin(
                        settings.admin, MAX_ADMIN_BODY_BYTES
                    ),
                    "peers": port,
                    "revision": self.engine.state.items.revision,
                },
            )
        )

    def leave(self) -> None:
        """End the process; everything it acknowledged is on its disk."""
        raft = self.engine.raft
        self.note(
            common.Note(
                "control.left",
                {"term": raft.term, "led": raft.is_leader},
            )
        )
        super().leave()

    def reconfigure(self, settings: typing.Any) -> None:
        """Apply changed settings; the ports stay as they are."""
        self.engine.reconfigure(settings)


def initialise(settings: setting_store.ControlSettings) -> bool:
    """Prepare a data folder for the first start of a control process.

    Only for a new deployment: a process that lost its disk must not get its
    first identity again, because the votes it gave under it are lost.

    Returns:
        False if the folder already holds a store.
    """
    disk = disks.FolderDisk(settings.data_folder)
    if disk.read(stores.HARD_STATE_FILE) is not None:
        return False
    stores.Store.create(disk, identities.first_identity(settings.host))
    return True


def run(settings: setting_store.ControlSettings) -> None:
    """Run a control process until it receives a signal to end."""
    daemon = ControlDaemon(
        settings.host,
        settings.log_level,
        settings.statsd,
        settings.memory_mb,
        settings.descriptors,
    )
    daemon.start_control(settings)
    daemon.tune_gc()
    daemon.run()
