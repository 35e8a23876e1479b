"""Exception hierarchy.

Outcomes of calls are values (see :mod:`finchshed.common.outcomes`); exceptions report faults within
the process. Only :class:`InvariantError` stops a process.
"""

from finchshed.common.text import one_line


class FinchshedError(Exception):
    """Base class of all errors raised by finchshed."""


class InvariantError(FinchshedError):
    """An invariant of the process is violated; the process must stop."""


class SettingsError(FinchshedError):
    """A settings file or flag is invalid. Holds one printable line per problem."""

    def __init__(self, problems: list[str]) -> None:
        self.problems = [one_line(problem) for problem in problems]
        super().__init__("\n".join(self.problems))


class DeclarationError(SettingsError):
    """Declarations submitted for the configuration are invalid."""


class ProtocolError(FinchshedError):
    """A peer sent a line that is malformed, oversized or out of order."""


class StorageError(FinchshedError):
    """The data folder can't be read or written."""


class CorruptRecordError(StorageError):
    """A record in the middle of a journal fails its checksum: synced data was lost."""


class DiskFullError(StorageError):
    """The disk is full. Data stored before is intact."""


class FolderLockedError(StorageError):
    """Another process has locked the data folder."""


class ControlUnavailableError(FinchshedError):
    """No control node could answer with a quorum."""
