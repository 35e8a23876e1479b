"""What the daemon beside a back end tells all others of it. Pure values, sent over links."""

import enum

import msgspec


class InstanceState(enum.StrEnum):
    """Whether a back end takes new work."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
    """There is none, or it doesn't answer."""


class Registration(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """One back end, by the word of the daemon beside it. Pure value.

    Attributes
    ----------
    address
        Where that daemon listens for other daemons; there is one registration for each address.
    epoch
        Rises with each start of that daemon.
    serial
        Rises with each change that the daemon reports.
    instance
        Identity of the back end's start; empty while the daemon knows of none.
    slots
        Requests the back end runs at a time.
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

    def supersedes(self, other: "Registration") -> bool:
        """Whether this one is later than ``other``, which is of the same address."""
        return (self.epoch, self.serial) > (other.epoch, other.serial)
