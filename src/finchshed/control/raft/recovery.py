"""Prepares a surviving state to bootstrap a new control group after quorum loss. Pure.

After a majority is lost, entries accepted after the last surviving one are unknown. Two adjustments
preserve the guarantees given to clients:

- The revision advances by :data:`REVISION_GAP`, past every revision that may have been accepted.
  Otherwise two different configurations could share a revision, and daemons, which never go back,
  would keep the lost one. A change based on a lost revision gets a conflict.
- An idempotency key from before the recovery may have been begun in a lost entry. Unless its answer
  survived, requests under it get "outcome unknown" and are not executed again.
"""

import msgspec

from finchshed.configuration.store import StoreSnapshot, Winner
from finchshed.control.state.audit import AuditEntry
from finchshed.control.state.machine import StateSnapshot
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS, LedgerSnapshot

REVISION_GAP = 1_000_000
"""Distance to the first new revision; exceeds any plausible number of lost changes."""

RECOVERY_NAME = "restore"
"""Operator and action of the recovery in the audit trail."""


def recovered_state(state: StateSnapshot, index: int, time: float, source: str) -> StateSnapshot:
    """Return the initial state of the new group.

    Parameters
    ----------
    index
        Log index of the new state; not below the index of ``state``.
    time
        Time of the recovery in Unix seconds.
    source
        Origin of the state, for the audit trail.
    """
    entry = AuditEntry(
        index=index,
        time=time,
        operator=RECOVERY_NAME,
        action=RECOVERY_NAME,
        subject=source,
        outcome=f"changes after revision {state.store.revision} are lost",
    )
    return StateSnapshot(
        index=index,
        store=_recovered_store(state.store),
        ledger=_recovered_ledger(state.ledger, time),
        audit=(*state.audit, entry),
        epochs=state.epochs,
    )


def _recovered_store(store: StoreSnapshot) -> StoreSnapshot:
    revision = store.revision + REVISION_GAP
    winners = {**store.winners, revision: Winner(f"{RECOVERY_NAME}-{revision}", RECOVERY_NAME)}
    return msgspec.structs.replace(store, revision=revision, winners=winners)


def _recovered_ledger(ledger: LedgerSnapshot, time: float) -> LedgerSnapshot:
    unknown_before = time + MAX_CLOCK_LEAD_SECONDS
    return msgspec.structs.replace(
        ledger,
        time=max(ledger.time, time),
        unknown_before=max(ledger.unknown_before, unknown_before),
    )
