"""The state every control node holds: configuration and ledger, driven by the replicated log."""

from collections.abc import Callable

import msgspec

from finchshed.common.errors import InvariantError
from finchshed.configuration.resources import Policy, ResourceKey
from finchshed.configuration.store import CommittedRevision, ConfigurationStore, StoreSnapshot
from finchshed.control.commands import (
    ApplyChange,
    BeginRequest,
    CancelRequest,
    Command,
    CommandResult,
    CompleteRequest,
    LogEntry,
    decode_entry,
)
from finchshed.ledger.ledger import Ledger, LedgerLimits, LedgerSnapshot

POLICY_KEY = ResourceKey(kind="policy", name="default")


class StateSnapshot(msgspec.Struct):
    """Everything a control node holds at one index of the log."""

    index: int
    store: StoreSnapshot
    ledger: LedgerSnapshot


class ControlStateMachine:
    """Applies committed entries of the log in order. Takes no I/O and no clock.

    Parameters
    ----------
    on_committed
        Called with each accepted change of the configuration.
    on_restored
        Called after the whole state was replaced by a snapshot.
    """

    def __init__(
        self,
        on_committed: Callable[[CommittedRevision], None] | None = None,
        on_restored: Callable[[], None] | None = None,
        ledger_limits: LedgerLimits | None = None,
    ) -> None:
        self._on_committed = on_committed
        self._on_restored = on_restored
        self.store = ConfigurationStore()
        self.ledger = Ledger(ledger_limits)
        self.applied_index = 0

    def apply(self, index: int, data: bytes) -> CommandResult:
        """Apply the committed entry ``data`` at ``index`` and return its result."""
        if index <= self.applied_index:
            raise InvariantError(f"entry {index} applied after {self.applied_index}")
        try:
            entry = decode_entry(data)
        except msgspec.DecodeError as error:
            raise InvariantError(f"entry {index} of the log can't be read: {error}") from error
        self.applied_index = index
        return self._apply_entry(entry)

    def snapshot(self) -> bytes:
        """Return the whole state as JSON."""
        state = StateSnapshot(self.applied_index, self.store.snapshot(), self.ledger.snapshot())
        return msgspec.json.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        try:
            state = msgspec.json.decode(data, type=StateSnapshot)
        except msgspec.DecodeError as error:
            raise InvariantError(f"snapshot can't be read: {error}") from error
        self.applied_index = state.index
        self.store.restore(state.store)
        self.ledger.restore(state.ledger)
        if self._on_restored is not None:
            self._on_restored()

    def policy(self) -> Policy:
        """Return the policy in force, or the defaults when none is declared."""
        policy = self.store.resources.get(POLICY_KEY)
        return policy if isinstance(policy, Policy) else Policy()

    def _apply_entry(self, entry: LogEntry) -> CommandResult:
        self.ledger.advance(entry.time, self.policy().key_window_seconds)
        command: Command = entry.command
        if isinstance(command, ApplyChange):
            return self._apply_change(command)
        if isinstance(command, BeginRequest):
            return self.ledger.begin(command.key, command.attempt)
        if isinstance(command, CancelRequest):
            return self.ledger.cancel(command.key, command.attempt)
        if isinstance(command, CompleteRequest):
            return self.ledger.complete(command.key, command.attempt, command.answer)
        raise InvariantError(f"no such command: {type(command).__name__}")

    def _apply_change(self, command: ApplyChange) -> CommandResult:
        result = self.store.apply(command.change)
        committed = self.store.last_committed
        if committed is not None and self._on_committed is not None:
            self._on_committed(committed)
        return result
