"""A disk for simulations that forgets what was not synced.

It is stricter than a usual file system: a file's name lasts only once the folder is synced, even
if the file's content was synced.
"""

import random

from finchshed.common.errors import DiskFullError, StorageError

_SECTOR_BYTES = 512
_CHANCE_OF_UNWRITTEN_BLOCK = 0.3


class _File:
    """Content as the process sees it, and as the disk holds it."""

    def __init__(self) -> None:
        self.seen = b""
        self.durable = b""


class SimulatedDisk:
    """Implements :class:`~finchshed.storage.disk.Disk` in memory, with faults.

    Parameters
    ----------
    rng
        Decides what a crash leaves of unsynced writes, and which bit rots.
    capacity_bytes
        Room for all files together.

    Attributes
    ----------
    syncs
        Number of syncs of files so far.
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
        """Return the names of the files, sorted."""
        self._check()
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        self._check()
        if name not in self._files:
            raise StorageError(f"cannot read {name}: no such file")
        return self._files[name].seen

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file; a full disk takes a part and raises."""
        self._check_append(name, data)
        room = self.capacity_bytes - self.used_bytes
        file = self._files.setdefault(name, _File())
        file.seen += data[: max(0, room)]
        if len(data) > room:
            raise DiskFullError(f"cannot write {name}: the simulated disk is full")

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        self._check_change()
        self._files[name].seen = self._files[name].seen[:size]

    def sync(self, name: str) -> None:
        """Make the content of a file last."""
        self._check_change()
        self.syncs += 1
        file = self._files[name]
        file.durable = file.seen

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        self._check_change()
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file; a missing one is no error."""
        self._check_change()
        self._files.pop(name, None)

    def sync_folder(self) -> None:
        """Make the names of the files last."""
        self._check_change()
        self._durable_names = dict(self._files)

    @property
    def used_bytes(self) -> int:
        """Bytes in all files."""
        return sum(len(file.seen) for file in self._files.values())

    @property
    def failed(self) -> bool:
        """Whether every operation raises."""
        return self._failed

    def lose_power(self) -> None:
        """Forget what was not synced, or keep a part of it, as a real disk may."""
        if self._rng.random() < 0.5:
            self._files = dict(self._durable_names)
        for file in self._files.values():
            file.seen = self._left_of(file)
            file.durable = file.seen
        self._durable_names = dict(self._files)

    def lose_data(self) -> None:
        """Become an empty disk, as after its replacement."""
        self._files = {}
        self._durable_names = {}
        self._failed = False

    def fail(self) -> None:
        """Let every operation raise from now on, until the data is lost."""
        self._failed = True

    def crash_after(self, operations: int) -> None:
        """Let every change raise after this many more, the last one half done, until a restart."""
        self._operations_left = operations

    def restart(self) -> None:
        """Serve the next process."""
        self._operations_left = None

    def flip_bit(self) -> str:
        """Change one bit of a synced file; return the file's name, or nothing if all are empty."""
        names = [name for name, file in sorted(self._files.items()) if file.durable]
        if not names:
            return ""
        name = self._rng.choice(names)
        self.flip_bit_at(name, self._rng.randrange(len(self._files[name].durable) * 8))
        return name

    def flip_bit_at(self, name: str, bit: int) -> None:
        """Change one bit of a file, counted from its start."""
        file = self._files[name]
        content = bytearray(file.seen)
        content[bit // 8] ^= 1 << (bit % 8)
        file.seen = bytes(content)
        file.durable = file.seen[: len(file.durable)]

    def _left_of(self, file: _File) -> bytes:
        if not file.seen.startswith(file.durable):
            return self._rng.choice((file.seen, file.durable))
        unsynced = len(file.seen) - len(file.durable)
        kept = file.seen[: len(file.durable) + self._rng.randint(0, unsynced)]
        if len(kept) < len(file.seen) and self._rng.random() < _CHANCE_OF_UNWRITTEN_BLOCK:
            kept += b"\0" * _SECTOR_BYTES
        return kept

    def _check_append(self, name: str, data: bytes) -> None:
        """Write a part of ``data`` and raise, if the process is to crash in this append."""
        crashes_now = self._operations_left == 0 and not self._failed
        if crashes_now:
            file = self._files.setdefault(name, _File())
            file.seen += data[: self._rng.randint(0, len(data))]
            self._operations_left = -1
        self._check_change()

    def _check_change(self) -> None:
        self._check()
        if self._operations_left is None:
            return
        if self._operations_left <= 0:
            self._operations_left = -1
            raise StorageError("the simulated process has crashed")
        self._operations_left -= 1

    def _check(self) -> None:
        if self._failed:
            raise StorageError("the simulated disk has failed")
