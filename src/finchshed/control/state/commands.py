"""Commands of the replicated log and their results. Pure."""

from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    NotHolder,
    OutcomeUnknown,
    Recorded,
)


class ApplyChange(msgspec.Struct, frozen=True, tag="apply_change"):
    """Apply a configuration change."""

    change: Change


class BeginRequest(msgspec.Struct, frozen=True, tag="begin"):
    """Request permission from the ledger to execute a request."""

    key: str
    attempt: str


class CancelRequest(msgspec.Struct, frozen=True, tag="cancel"):
    """Release the key of an attempt that was never sent."""

    key: str
    attempt: str


class CompleteRequest(msgspec.Struct, frozen=True, tag="complete"):
    """Record the answer of an attempt in the ledger.

    ``answer`` is None if it exceeds the ledger's size limit, to keep it out of the log.
    """

    key: str
    attempt: str
    answer: Answered | None


class RecordAction(msgspec.Struct, frozen=True, tag="note_action"):
    """Record an operator's action on the control group in the audit trail."""

    operator: str
    action: str
    subject: str


class RecordQuotaHolders(msgspec.Struct, frozen=True, tag="note_quota_holders"):
    """Record which daemons may hold a share of a quota, before a share is granted to them.

    A new leader grants shares only after all recorded holders have reported what they hold.
    """

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


Command: TypeAlias = (
    ApplyChange | BeginRequest | CancelRequest | CompleteRequest | RecordAction | RecordQuotaHolders
)

CommandResult: TypeAlias = (
    Accepted
    | Conflict
    | Invalid
    | Granted
    | Completed
    | OutcomeUnknown
    | LedgerRefusal
    | Recorded
    | NotHolder
)


class LogEntry(msgspec.Struct, frozen=True):
    """Entry of the replicated log.

    Attributes
    ----------
    time
        Leader's clock in Unix seconds when it proposed the entry.
    """

    time: float
    command: Command


_entry_decoder = msgspec.json.Decoder(LogEntry)


def encode_entry(entry: LogEntry) -> bytes:
    """Encode ``entry`` for the log."""
    return msgspec.json.encode(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Decode a log entry; raises msgspec.DecodeError if ``data`` isn't one."""
    return _entry_decoder.decode(data)
