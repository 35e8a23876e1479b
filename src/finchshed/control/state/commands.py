"""Commands of the replicated log and their results, as values."""

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
    """Change the configuration."""

    change: Change


class BeginRequest(msgspec.Struct, frozen=True, tag="begin"):
    """Ask the ledger's leave to run a request."""

    key: str
    attempt: str


class CancelRequest(msgspec.Struct, frozen=True, tag="cancel"):
    """Tell the ledger that an attempt was never sent."""

    key: str
    attempt: str


class CompleteRequest(msgspec.Struct, frozen=True, tag="complete"):
    """Tell the ledger the whole answer of an attempt.

    ``answer`` is None where it exceeds the ledger's byte limit: the log doesn't carry what the
    ledger would not keep.
    """

    key: str
    attempt: str
    answer: Answered | None


class NoteAction(msgspec.Struct, frozen=True, tag="note_action"):
    """Keep in the audit trail what an operator does to the control group itself."""

    operator: str
    action: str
    subject: str


class NoteQuotaHolders(msgspec.Struct, frozen=True, tag="note_quota_holders"):
    """Keep which daemons may hold a share of a quota, before the first is granted to them.

    A new leader waits until all of them have told what they hold.
    """

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


Command: TypeAlias = (
    ApplyChange | BeginRequest | CancelRequest | CompleteRequest | NoteAction | NoteQuotaHolders
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
    """What is written to the log.

    Attributes
    ----------
    time
        Unix seconds of the leader's clock when it proposed the entry.
    """

    time: float
    command: Command


_entry_decoder = msgspec.json.Decoder(LogEntry)


def encode_entry(entry: LogEntry) -> bytes:
    """Return ``entry`` as bytes for the log."""
    return msgspec.json.encode(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Return the entry in ``data``; raises msgspec.DecodeError when it holds none."""
    return _entry_decoder.decode(data)
