"""Registration of a back end, sent by the daemon beside it to all other nodes."""

import enum

import msgspec

from finchshed.directory.instance_run import InstanceRun


class InstanceState(enum.StrEnum):
    """Availability of a back end for new requests."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
    """The back end doesn't exist or doesn't respond."""


class Registration(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """State of one back end as reported by the daemon beside it.

    Attributes
    ----------
    address
        Address on which that daemon accepts other daemons; identifies the registration.
    epoch
        Increases with each run of that daemon.
    serial
        Increases with each change that the daemon reports.
    instance
        Identity of the back end's run; empty while the daemon knows of none.
    slots
        Maximum number of requests that the back end runs concurrently.
    born_ms
        Start of the back end's run as it states, Unix milliseconds; 0 if unknown.
    """

    address: str
    epoch: int
    serial: int
    instance: str = ""
    service: str = ""
    zone: str = ""
    region: str = ""
    slots: int = 0
    state: InstanceState = InstanceState.GONE
    born_ms: int = 0

    @property
    def run(self) -> InstanceRun:
        """The run of the back end."""
        return InstanceRun(self.instance, self.born_ms)

    def supersedes(self, other: "Registration") -> bool:
        """Return whether this is newer than ``other``, a registration of the same address."""
        return (self.epoch, self.serial) > (other.epoch, other.serial)
