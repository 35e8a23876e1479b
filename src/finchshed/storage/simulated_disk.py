"""In-memory disk for simulations that loses unsynced data on power loss.

It is stricter than most file systems: a file name is durable only after a folder sync, even if the
file's content was synced.
"""

import random

from finchshed.common.errors import DiskFullError, StorageError

_SECTOR_BYTES = 512
_UNWRITTEN_BLOCK_PROBABILITY = 0.3


class _File:
    """File content as seen by the process, and as of the last sync."""

    def __init__(self) -> None:
        self.content = b""
        self.durable_content = b""


class SimulatedDisk:
    """In-memory :class:`~finchshed.storage.disk.Disk` with fault injection.

    Parameters
    ----------
    rng
        Determines which unsynced data survives a power loss and which bit is flipped.
    capacity_bytes
        Total capacity for all files.

    Attributes
    ----------
    syncs
        Number of file syncs.
    """

    def __init__(self, rng: random.Random, capacity_bytes: int = 1 << 40) -> None:
        self._rng = rng
        self._files: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._failed = False
        self._operations_left: int | None = None
        self.capacity_bytes = capacity_bytes
        self.syncs = 0

    def names(self) -> list[str]:
        """Return the sorted file names."""
        self._ensure_not_failed()
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        self._ensure_not_failed()
        if name not in self._files:
            raise StorageError(f"cannot read {name}: no such file")
        return self._files[name].content

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; if the disk is full, write what fits and raise DiskFullError."""
        self._begin_append(name, data)
        room = self.capacity_bytes - self.used_bytes
        file = self._files.setdefault(name, _File())
        file.content += data[: max(0, room)]
        if len(data) > room:
            raise DiskFullError(f"cannot write {name}: the simulated disk is full")

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        self._begin_operation()
        self._files[name].content = self._files[name].content[:size]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._begin_operation()
        self.syncs += 1
        file = self._files[name]
        file.durable_content = file.content

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file named ``new``."""
        self._begin_operation()
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._begin_operation()
        self._files.pop(name, None)

    def sync_folder(self) -> None:
        """Make the file names durable."""
        self._begin_operation()
        self._durable_names = dict(self._files)

    @property
    def used_bytes(self) -> int:
        """Total size of all files in bytes."""
        return sum(len(file.content) for file in self._files.values())

    @property
    def failed(self) -> bool:
        """Whether the disk has failed, so that every operation raises."""
        return self._failed

    def lose_power(self) -> None:
        """Lose unsynced data, or keep a random part of it as a real disk may."""
        if self._rng.random() < 0.5:
            self._files = dict(self._durable_names)
        for file in self._files.values():
            file.content = self._content_after_power_loss(file)
            file.durable_content = file.content
        self._durable_names = dict(self._files)

    def lose_data(self) -> None:
        """Replace the disk by an empty, working one."""
        self._files = {}
        self._durable_names = {}
        self._failed = False

    def fail(self) -> None:
        """Make every operation raise until :meth:`lose_data`."""
        self._failed = True

    def crash_after(self, operations: int) -> None:
        """Crash the process after this many more modifications, possibly within an append."""
        self._operations_left = operations

    def restart(self) -> None:
        """Clear a simulated crash for the next process."""
        self._operations_left = None

    def flip_bit(self) -> str:
        """Flip a random bit of a synced file; return its name, or ``""`` if there is none."""
        names = [name for name, file in sorted(self._files.items()) if file.durable_content]
        if not names:
            return ""
        name = self._rng.choice(names)
        self.flip_bit_at(name, self._rng.randrange(len(self._files[name].durable_content) * 8))
        return name

    def flip_bit_at(self, name: str, bit: int) -> None:
        """Flip the bit at offset ``bit`` of a file."""
        file = self._files[name]
        content = bytearray(file.content)
        content[bit // 8] ^= 1 << (bit % 8)
        file.content = bytes(content)
        file.durable_content = file.content[: len(file.durable_content)]

    def _content_after_power_loss(self, file: _File) -> bytes:
        if not file.content.startswith(file.durable_content):
            return self._rng.choice((file.content, file.durable_content))
        unsynced = len(file.content) - len(file.durable_content)
        kept = file.content[: len(file.durable_content) + self._rng.randint(0, unsynced)]
        if len(kept) < len(file.content) and self._rng.random() < _UNWRITTEN_BLOCK_PROBABILITY:
            kept += b"\0" * _SECTOR_BYTES
        return kept

    def _begin_append(self, name: str, data: bytes) -> None:
        """Count an append; if the process crashes in it, write part of ``data`` and raise."""
        crashes_now = self._operations_left == 0 and not self._failed
        if crashes_now:
            file = self._files.setdefault(name, _File())
            file.content += data[: self._rng.randint(0, len(data))]
            self._operations_left = -1
        self._begin_operation()

    def _begin_operation(self) -> None:
        self._ensure_not_failed()
        if self._operations_left is None:
            return
        if self._operations_left <= 0:
            self._operations_left = -1
            raise StorageError("the simulated process has crashed")
        self._operations_left -= 1

    def _ensure_not_failed(self) -> None:
        if self._failed:
            raise StorageError("the simulated disk has failed")
