"""What the rest of a control node needs of the replicated log."""

import enum
from typing import Protocol

import msgspec

from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.control.state.commands import Command, CommandResult
from finchshed.distribution.status import InForceReport
from finchshed.quarantine.messages import CrashNews


class LogMemberRole(enum.StrEnum):
    """What a member is to the log."""

    LEADER = "leader"
    VOTER = "voter"
    LEARNER = "learner"
    """Becomes a voter once it has caught up."""

    STANDBY = "standby"
    """Follows the log and doesn't vote, until it takes the place of a silent voter."""


class LogMemberStatus(msgspec.Struct, frozen=True):
    """One member of the control group, as this node sees it.

    Attributes
    ----------
    match_index
        Highest entry known to be on the member's disk; 0 when this node doesn't know.
    silent_seconds
        Time since the last sign of it, or 0 for this node itself; negative when unknown.
    """

    name: str
    address: str
    role: LogMemberRole
    incarnation: str = ""
    match_index: int = 0
    silent_seconds: float = -1.0


class LogStatus(msgspec.Struct, frozen=True):
    """State of the log at this node."""

    node: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    members: tuple[LogMemberStatus, ...]


class ReplicatedLog(Protocol):
    """A log that every control node applies in the same order."""

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` and return its result.

        Raises
        ------
        ControlUnavailableError
            No quorum confirmed it in time. The command may still be committed later.
        """
        ...

    async def read_barrier(self) -> None:
        """Return once this node has applied all that was committed before the call.

        Raises
        ------
        ControlUnavailableError
            No quorum answered in time.
        """
        ...

    def status(self) -> LogStatus:
        """Return the state of the log at this node."""
        ...

    def in_contact(self) -> bool:
        """Return whether this node is in contact with a quorum, as far as it knows."""
        ...

    def send_report(self, report: InForceReport | DirectoryReport | CrashNews) -> None:
        """Send a report of daemons to every other member; it may be lost."""
        ...
