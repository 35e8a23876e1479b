"""Answers of the ledger, as values.

Owns no state.
"""

import enum
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import Answered


class LedgerRefusalReason(enum.StrEnum):
    """Why nothing was granted."""

    EXPIRED = "expired"
    NO_TIME_IN_KEY = "no_time_in_key"
    MADE_IN_THE_FUTURE = "made_in_the_future"
    FULL = "full"
    ATTEMPT_CANCELLED = "attempt_cancelled"
    MOVED = "moved"
    """The key belongs to a shard, not to this log."""


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """The attempt may be sent to a back end, once."""


class Completed(msgspec.Struct, frozen=True, tag="completed"):
    """The request ran to its end before; this is its whole answer."""

    answer: Answered


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The request was begun by another attempt and may have run; it is not run again."""


class LedgerRefusal(msgspec.Struct, frozen=True, tag="refused"):
    """Nothing was granted."""

    reason: LedgerRefusalReason


class Recorded(msgspec.Struct, frozen=True, tag="noted"):
    """A cancel or complete is recorded, or had been before."""


class NotHolder(msgspec.Struct, frozen=True, tag="not_holder"):
    """A cancel or complete came from an attempt that doesn't hold the key; nothing changed."""


LedgerResult: TypeAlias = (
    Granted | Completed | OutcomeUnknown | LedgerRefusal | Recorded | NotHolder
)
