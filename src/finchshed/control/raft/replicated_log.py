"""Interface of the replicated log to the rest of a control node."""

import enum
from typing import Protocol

import msgspec

from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.control.state.commands import Command, CommandResult
from finchshed.distribution.status import InForceReport
from finchshed.quarantine.messages import CrashNews


class LogMemberRole(enum.StrEnum):
    """Role of a member of the control group."""

    LEADER = "leader"
    VOTER = "voter"
    LEARNER = "learner"
    """Non-voting member that becomes a voter once it has caught up."""

    STANDBY = "standby"
    """Non-voting member that replaces a voter after the voter has been silent for too long."""


class LogMemberStatus(msgspec.Struct, frozen=True):
    """Status of one member of the control group as known to this node.

    Attributes
    ----------
    match_index
        Highest log index known to be on the member's disk; 0 if unknown.
    silent_seconds
        Time since the last message from it; 0 for this node, negative if unknown.
    """

    name: str
    address: str
    role: LogMemberRole
    incarnation: str = ""
    match_index: int = 0
    silent_seconds: float = -1.0


class LogStatus(msgspec.Struct, frozen=True):
    """State of the replicated log at this node."""

    node: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    members: tuple[LogMemberStatus, ...]


class ReplicatedLog(Protocol):
    """Log whose entries every control node applies in the same order."""

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` and return its result.

        Raises
        ------
        ControlUnavailableError
            No quorum confirmed the command in time. It may still be committed later.
        """
        ...

    async def read_barrier(self) -> None:
        """Return once this node has applied every entry committed before the call.

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
        """Return whether this node believes that it is in contact with a quorum."""
        ...

    def send_report(self, report: InForceReport | DirectoryReport | CrashNews) -> None:
        """Send a report to every other member, best effort."""
        ...
