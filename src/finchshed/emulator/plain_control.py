"""Simplified control plane: the production state machine in one process with a fixed delay.

For runs that test overload rather than failures of control nodes.
"""

from collections.abc import Callable
from typing import Final, cast

from finchshed.common.outcomes import Answered
from finchshed.control.state.commands import (
    BeginRequest,
    CancelRequest,
    Command,
    CommandResult,
    CompleteRequest,
    LogEntry,
    encode_entry,
)
from finchshed.control.state.machine import ControlStateMachine
from finchshed.emulator.daemons.ledger_client import OnLedgerResult
from finchshed.emulator.simulation import Simulation
from finchshed.ledger.results import LedgerResult

COMMIT_SECONDS: Final = 0.004
"""Duration of a commit: a round trip to the quorum and a disk sync."""

EPOCH_UNIX_SECONDS: Final = 1_700_000_000.0
"""Unix time at the start of a run."""


class SimplifiedControl:
    """A single control process, which can be unavailable for a while."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._state = ControlStateMachine()
        self._index = 0
        self._unavailable_until = 0.0

    def crash(self, _node: str, seconds: float) -> None:
        """Make control unavailable for ``seconds``; grants time out meanwhile."""
        self._unavailable_until = max(self._unavailable_until, self._clock.now + seconds)

    def begin(self, key: str, attempt: str, timeout: float, done: OnLedgerResult) -> None:
        """Request a grant to run the request with this key."""
        if self._clock.now < self._unavailable_until:
            self._clock.call_later(timeout, done, None)
            return

        def commit() -> None:
            done(cast(LedgerResult, self._commit(BeginRequest(key, attempt))))

        self._clock.call_later(COMMIT_SECONDS, commit)

    def cancel(self, key: str, attempt: str) -> None:
        """Release the grant of an attempt that was never sent."""
        self._clock.call_later(COMMIT_SECONDS, self._commit, CancelRequest(key, attempt))

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: Callable[[], None]
    ) -> None:
        """Record the complete answer."""

        def commit() -> None:
            self._commit(CompleteRequest(key, attempt, answer))
            done()

        delay = COMMIT_SECONDS if self._clock.now >= self._unavailable_until else timeout
        self._clock.call_later(delay, commit)

    def _commit(self, command: Command) -> CommandResult:
        self._index += 1
        time = EPOCH_UNIX_SECONDS + self._clock.now
        return self._state.apply(self._index, encode_entry(LogEntry(time, command)))
