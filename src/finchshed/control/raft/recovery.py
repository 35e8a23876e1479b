"""What becomes of a state from which a control group is begun anew. Pure.

After the loss of a majority nobody knows what was accepted after the last entry that is left. So
that nothing which was promised can be broken:

- The revision jumps ahead by :data:`REVISION_GAP`, past every one that may have been accepted.
  Daemons never go back, so they would otherwise stay on what was lost, and two different
  configurations could bear one number. A change made against a lost revision gets a conflict.
- A key made before the recovery may have been begun in what was lost. Unless its answer is at
  hand, requests under it get "outcome unknown"; none of them runs again.
"""

import msgspec

from finchshed.configuration.store import StoreSnapshot, Winner
from finchshed.control.state.audit import AuditEntry
from finchshed.control.state.machine import StateSnapshot
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS, LedgerSnapshot

REVISION_GAP = 1_000_000
"""Nearly two years of changes at 1,400 a day."""

RECOVERY = "restore"
"""Name of operator and action in the audit trail."""


def recovered_state(state: StateSnapshot, index: int, time: float, source: str) -> StateSnapshot:
    """Return the state a new group begins with.

    Parameters
    ----------
    index
        Entry of the log that the state shall stand for; not below the state's own.
    time
        Unix seconds of the recovery.
    source
        Where the state was read from, for the audit trail.
    """
    entry = AuditEntry(
        index=index,
        time=time,
        operator=RECOVERY,
        action=RECOVERY,
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
    winners = {**store.winners, revision: Winner(f"{RECOVERY}-{revision}", RECOVERY)}
    return msgspec.structs.replace(store, revision=revision, winners=winners)


def _recovered_ledger(ledger: LedgerSnapshot, time: float) -> LedgerSnapshot:
    unknown_before = time + MAX_CLOCK_LEAD_SECONDS
    return msgspec.structs.replace(
        ledger,
        time=max(ledger.time, time),
        unknown_before=max(ledger.unknown_before, unknown_before),
    )
