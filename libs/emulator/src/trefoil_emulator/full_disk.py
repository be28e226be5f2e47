"""A data folder that refuses every write."""

from trefoil_store import disk as disks


class FullDisk(disks.MemoryDisk):
    """A full disk: reads work and every write fails.

    Args:
        files: Its files by name, shared with the disk that was filled.
    """

    def __init__(self, files: dict[str, bytes]) -> None:
        super().__init__()
        self.files = files

    def append(self, name: str, data: bytes) -> None:
        """Fail as a full disk does."""
        raise OSError(28, "No space left on device")

    replace = append
