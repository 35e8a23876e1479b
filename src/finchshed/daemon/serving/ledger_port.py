"""What the daemon asks of the at-most-once ledger."""

import uuid
from collections.abc import Callable
from typing import Protocol, TypeAlias

import xxhash

from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import (
    LedgerCompleted,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerUnknown,
)

LedgerAnswer: TypeAlias = (
    LedgerGranted | LedgerCompleted | LedgerUnknown | LedgerRefused | LedgerNoted
)
LedgerCallback: TypeAlias = Callable[[LedgerAnswer | None], None]
"""Called once with the ledger's answer, or with None where none came in time."""

HEADER_FINGERPRINT = "finchshed-fingerprint"
"""Kept with a stored answer: which request it answers."""

_TIMESTAMP_SHIFT = 80
"""Bits of a UUID of version 7 below its time (RFC 9562, 5.7)."""

_RANDOM_MASK = (0xFFF << 64) | ((1 << 62) - 1)


class LedgerPort(Protocol):
    """The way to the ledger."""

    def begin(self, key: str, attempt: str, timeout: float, done: LedgerCallback) -> None:
        """Ask leave to run the request under ``key``."""

    def cancel(self, key: str, attempt: str, timeout: float) -> None:
        """Say that the attempt was never sent."""

    def complete(
        self, key: str, attempt: str, answer: Answered, *, timeout: float, done: LedgerCallback
    ) -> None:
        """Record the whole answer of the attempt."""


def scoped_key(key: str, service: str) -> str | None:
    """Return the ledger's key for a caller's key at one service, or None if it is no UUID.

    A back end may pass the key it was given on to the services it calls; each of them runs its
    own request. The time in the key (RFC 9562, version 7) is kept, its random part is replaced
    by a hash of the whole key and the service.
    """
    try:
        value = uuid.UUID(key).int
    except ValueError:
        return None
    mixed = xxhash.xxh3_128_intdigest(f"{service}\0{value:x}".encode())
    return str(uuid.UUID(int=(value & ~_RANDOM_MASK) | (mixed & _RANDOM_MASK)))


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return what tells one request under a key from another."""
    digest = xxhash.xxh3_128(f"{method}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def with_fingerprint(answer: Answered, fingerprint: str) -> Answered:
    """Return ``answer`` as it is stored in the ledger."""
    headers = (*answer.headers, (HEADER_FINGERPRINT, fingerprint))
    return Answered(answer.status, headers, answer.body)


def stored_answer(answer: Answered, fingerprint: str) -> Answered | None:
    """Return a stored answer as it was given, or None if it answers another request."""
    stored = [value for name, value in answer.headers if name == HEADER_FINGERPRINT]
    if stored and stored[0] != fingerprint:
        return None
    headers = tuple(item for item in answer.headers if item[0] != HEADER_FINGERPRINT)
    return Answered(answer.status, headers, answer.body)
