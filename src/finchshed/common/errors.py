"""The exception tree.

Outcomes of calls are values (see :mod:`finchshed.common.outcomes`); an exception means that a
caller inside the process has to deal with a fault. Only :class:`InvariantError` stops a process.
"""

from finchshed.common.text import one_line


class FinchshedError(Exception):
    """Base of every error raised by finchshed."""


class InvariantError(FinchshedError):
    """A property the process relies on is broken; the process must stop."""


class SettingsError(FinchshedError):
    """A settings file or flag is wrong. Holds one printable line per problem found."""

    def __init__(self, problems: list[str]) -> None:
        self.problems = [one_line(problem) for problem in problems]
        super().__init__("\n".join(self.problems))


class DeclarationError(SettingsError):
    """Declarations offered for the configuration are wrong."""


class ProtocolError(FinchshedError):
    """A peer sent a line that is malformed, oversized or out of order."""


class StorageError(FinchshedError):
    """The data folder could not be read or written."""


class CorruptRecordError(StorageError):
    """A record in the middle of a journal fails its checksum: the disk lost synced data."""


class DiskFullError(StorageError):
    """The disk has no room for a write. What was stored before is unharmed."""


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class ControlUnavailableError(FinchshedError):
    """No control node could answer with the agreement of a quorum."""
