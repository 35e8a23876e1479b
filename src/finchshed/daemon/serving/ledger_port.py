"""Interface to the at-most-once ledger, and the keys and answers stored in it.

:mod:`control_ledger` implements it over the connection to control.
"""

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
"""Called once with the ledger's answer, or with None on timeout."""

HEADER_FINGERPRINT = "finchshed-fingerprint"
"""Stored with an answer to identify the request it belongs to."""

_TIMESTAMP_SHIFT = 80
"""Bits below the timestamp in a version 7 UUID (RFC 9562, 5.7)."""

_RANDOM_MASK = (0xFFF << 64) | ((1 << 62) - 1)
"""Random bits of a version 7 UUID, without the version and variant bits (RFC 9562, 5.7)."""


class LedgerPort(Protocol):
    """Requests to the ledger."""

    def begin(self, key: str, attempt: str, timeout: float, done: LedgerCallback) -> None:
        """Request a grant to run the request with ``key``."""

    def cancel(self, key: str, attempt: str, timeout: float) -> None:
        """Cancel an attempt that was never sent."""

    def complete(
        self, key: str, attempt: str, answer: Answered, *, timeout: float, done: LedgerCallback
    ) -> None:
        """Record the complete answer of an attempt."""


def scoped_key(key: str, service: str) -> str | None:
    """Return the ledger key for a caller's key at one service, or None if it isn't a UUID.

    A back end may forward its key to the services it calls, and each must run its own request. So
    the random part is replaced by a hash of the key and the service; the timestamp (RFC 9562,
    version 7) is kept.
    """
    try:
        value = uuid.UUID(key).int
    except ValueError:
        return None
    mixed = xxhash.xxh3_128_intdigest(f"{service}\0{value:x}".encode())
    return str(uuid.UUID(int=(value & ~_RANDOM_MASK) | (mixed & _RANDOM_MASK)))


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return a hash that detects reuse of a key for a different request."""
    digest = xxhash.xxh3_128(f"{method}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def with_fingerprint(answer: Answered, fingerprint: str) -> Answered:
    """Return ``answer`` in the form stored in the ledger."""
    headers = (*answer.headers, (HEADER_FINGERPRINT, fingerprint))
    return Answered(answer.status, headers, answer.body)


def stored_answer(answer: Answered, fingerprint: str) -> Answered | None:
    """Return the original of a stored answer, or None if it belongs to a different request."""
    stored = [value for name, value in answer.headers if name == HEADER_FINGERPRINT]
    if stored and stored[0] != fingerprint:
        return None
    headers = tuple(item for item in answer.headers if item[0] != HEADER_FINGERPRINT)
    return Answered(answer.status, headers, answer.body)
