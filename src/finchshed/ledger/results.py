"""Results of ledger operations."""

import enum
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import Answered


class LedgerRefusalReason(enum.StrEnum):
    """Why an operation was refused."""

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
    """The request was already completed with this answer."""

    answer: Answered


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The request may already have run, so it must not be run again."""


class LedgerRefusal(msgspec.Struct, frozen=True, tag="refused"):
    """The operation was refused and had no effect."""

    reason: LedgerRefusalReason


class Recorded(msgspec.Struct, frozen=True, tag="noted"):
    """A cancel or completion was recorded, now or earlier."""


class NotHolder(msgspec.Struct, frozen=True, tag="not_holder"):
    """A cancel or completion came from an attempt that does not hold the key; nothing changed."""


LedgerResult: TypeAlias = (
    Granted | Completed | OutcomeUnknown | LedgerRefusal | Recorded | NotHolder
)
