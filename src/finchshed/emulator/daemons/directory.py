"""Where an emulated daemon finds the processes of other daemons."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from finchshed.emulator.daemons.daemon import Daemon


class Directory(Protocol):
    """Where a daemon finds the processes of other daemons."""

    def daemon_of(self, endpoint: str) -> "Daemon":
        """Return the daemon beside an endpoint."""
        ...

    def node_called(self, name: str) -> "Daemon | None":
        """Return the daemon of this name: an endpoint's or an edge."""
        ...
