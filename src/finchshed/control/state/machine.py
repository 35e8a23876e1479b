"""State machine of the control group: configuration, ledger and audit trail.

Owns that state. Relies on the log to apply each entry once, in order, on every control node.
"""

from collections.abc import Callable

import msgspec

from finchshed.common.errors import InvariantError
from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict
from finchshed.configuration.resources import Policy, ResourceKey, key_of
from finchshed.configuration.store import CommittedRevision, ConfigurationStore, StoreSnapshot
from finchshed.control.state.audit import AuditEntry, AuditTrail
from finchshed.control.state.commands import (
    ApplyChange,
    BeginRequest,
    CancelRequest,
    Command,
    CommandResult,
    CompleteRequest,
    LogEntry,
    RecordAction,
    RecordQuotaHolders,
    decode_entry,
)
from finchshed.ledger.epochs import CONTROL_GROUP, EpochsSnapshot, LedgerEpochs
from finchshed.ledger.ledger import Ledger, LedgerLimits, LedgerSnapshot
from finchshed.ledger.results import LedgerRefusal, LedgerRefusalReason, Recorded

POLICY_KEY = ResourceKey(kind="policy", name="default")


class StateSnapshot(msgspec.Struct):
    """Replicated state at one log index."""

    index: int
    store: StoreSnapshot
    ledger: LedgerSnapshot
    audit: tuple[AuditEntry, ...] = ()
    epochs: EpochsSnapshot = EpochsSnapshot()
    quota_holders: tuple[str, ...] = ()


class ControlStateMachine:
    """Applies committed log entries in order. Performs no I/O and reads no clock.

    Parameters
    ----------
    on_committed
        Called with each accepted configuration change.
    on_restored
        Called after the state was replaced with a snapshot.
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
        self.epochs = LedgerEpochs()
        self.audit = AuditTrail()
        self.quota_holders: frozenset[str] = frozenset()
        self.applied_index = 0

    def apply(self, index: int, data: bytes) -> CommandResult:
        """Apply the committed entry ``data`` at log index ``index`` and return its result."""
        if index <= self.applied_index:
            raise InvariantError(f"log entry {index} applied after entry {self.applied_index}")
        try:
            entry = decode_entry(data)
        except msgspec.DecodeError as error:
            raise InvariantError(f"cannot decode log entry {index}: {error}") from error
        self.applied_index = index
        return self._apply_entry(entry)

    def snapshot(self) -> bytes:
        """Encode the state as JSON."""
        state = StateSnapshot(
            index=self.applied_index,
            store=self.store.snapshot(),
            ledger=self.ledger.snapshot(),
            audit=self.audit.snapshot(),
            epochs=self.epochs.snapshot(),
            quota_holders=tuple(sorted(self.quota_holders)),
        )
        return msgspec.json.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state with an encoded snapshot.

        The ledger is dropped first: there may be no memory for two of them.
        """
        self.ledger.clear()
        try:
            state = msgspec.json.decode(data, type=StateSnapshot)
        except msgspec.DecodeError as error:
            raise InvariantError(f"cannot decode state snapshot: {error}") from error
        self.applied_index = state.index
        self.store.restore(state.store)
        self.ledger.restore(state.ledger)
        self.audit.restore(state.audit)
        self.epochs.restore(state.epochs)
        self.quota_holders = frozenset(state.quota_holders)
        if self._on_restored is not None:
            self._on_restored()

    def policy(self) -> Policy:
        """Return the policy in force, or the default policy if none is declared."""
        policy = self.store.resources.get(POLICY_KEY)
        return policy if isinstance(policy, Policy) else Policy()

    def _apply_entry(self, entry: LogEntry) -> CommandResult:
        self.ledger.advance(entry.time, self.policy().key_window_seconds)
        command: Command = entry.command
        if isinstance(command, ApplyChange):
            return self._apply_change(command, entry.time)
        if isinstance(command, RecordAction):
            return self._record_action(command, entry.time)
        if isinstance(command, RecordQuotaHolders):
            remaining_holders = self.quota_holders.difference(command.removed)
            self.quota_holders = remaining_holders.union(command.added)
            return Recorded()
        return self._apply_to_ledger(command)

    def _apply_to_ledger(
        self, command: BeginRequest | CancelRequest | CompleteRequest
    ) -> CommandResult:
        self.epochs.forget(self.ledger.oldest_issued)
        if self.epochs.group_of(command.key) != CONTROL_GROUP:
            return LedgerRefusal(LedgerRefusalReason.MOVED)
        self.epochs.is_used = True
        if isinstance(command, BeginRequest):
            return self.ledger.begin(command.key, command.attempt)
        if isinstance(command, CancelRequest):
            return self.ledger.cancel(command.key, command.attempt)
        return self.ledger.complete(command.key, command.attempt, command.answer)

    def _apply_change(self, command: ApplyChange, time: float) -> CommandResult:
        is_first = self.store.result_of(command.change.change_id) is None
        result = self.store.apply(command.change)
        if is_first:
            self._record_change(command.change, result, time)
        self.epochs.declare(self.policy().ledger_shards, self.ledger.time)
        committed = self.store.last_committed
        if committed is not None and self._on_committed is not None:
            self._on_committed(committed)
        return result

    def _record_change(self, change: Change, result: ChangeResult, time: float) -> None:
        entry = AuditEntry(
            index=self.applied_index,
            time=time,
            operator=change.operator,
            action="apply",
            subject=_subject_of(change),
            outcome=f"{change.change_id}: {_outcome_of(result)}",
        )
        self.audit.add(entry)

    def _record_action(self, command: RecordAction, time: float) -> CommandResult:
        entry = AuditEntry(
            index=self.applied_index,
            time=time,
            operator=command.operator,
            action=command.action,
            subject=command.subject,
            outcome="asked for",
        )
        self.audit.add_unless_repeated(entry)
        return Recorded()


def _subject_of(change: Change) -> str:
    puts = [f"={key.kind}/{key.name}" for key in map(key_of, change.puts)]
    deletes = [f"-{key.kind}/{key.name}" for key in change.deletes]
    return " ".join(puts + deletes)


def _outcome_of(result: ChangeResult) -> str:
    if isinstance(result, Accepted):
        return f"accepted as revision {result.revision}"
    if isinstance(result, Conflict):
        return f"conflict with {result.winner_change_id} of {result.winner_operator}"
    return "invalid"
