"""A log of one node in memory, for tests and for bringing up the parts around it."""

import time
from collections.abc import Callable

from finchshed.control.commands import Command, CommandResult, LogEntry, encode_entry
from finchshed.control.replicated_log import LogStatus, MemberRole, MemberStatus
from finchshed.control.state_machine import ControlStateMachine


class SingleNodeLog:
    """Applies each command at once; nothing survives the process.

    Parameters
    ----------
    clock
        Gives Unix seconds.
    """

    def __init__(
        self, node: str, machine: ControlStateMachine, clock: Callable[[], float] = time.time
    ) -> None:
        self._node = node
        self._machine = machine
        self._clock = clock

    async def propose(self, command: Command) -> CommandResult:
        """Apply ``command``."""
        entry = encode_entry(LogEntry(self._clock(), command))
        return self._machine.apply(self._machine.applied_index + 1, entry)

    async def read_barrier(self) -> None:
        """Return at once: everything is applied."""

    def status(self) -> LogStatus:
        """Return the state of the log."""
        index = self._machine.applied_index
        member = MemberStatus(self._node, "", MemberRole.LEADER, match_index=index)
        return LogStatus(self._node, self._node, 1, index, index, (member,))
