"""Idempotency keys that carry the time they were made at.

A key is a UUID of version 7 (RFC 9562, 5.7): its first 48 bits are Unix milliseconds. The ledger
can so refuse a key that is too old without remembering it; a key without a time could be run
again once it is forgotten, and is refused. Owns no state.
"""

import random
import uuid

VERSION = 7
"""Version of the UUID: a time and random bits (RFC 9562, 5.7)."""

RANDOM_BITS = 74
"""Random bits of such a UUID: rand_a of 12 and rand_b of 62 (RFC 9562, 5.7)."""

TIMESTAMP_SHIFT = 80
"""Bits after the 48 of the time (RFC 9562, 5.7)."""

VARIANT_RFC = 0b10
"""Variant bits of a UUID of that document (RFC 9562, 4.1)."""


def new_key(unix_seconds: float, generator: random.Random) -> str:
    """Return a new key made at ``unix_seconds`` of the caller's clock."""
    milliseconds = int(unix_seconds * 1000)
    entropy = generator.getrandbits(RANDOM_BITS)
    value = milliseconds << TIMESTAMP_SHIFT
    value |= VERSION << 76
    value |= (entropy >> 62) << 64
    value |= VARIANT_RFC << 62
    value |= entropy & ((1 << 62) - 1)
    return str(uuid.UUID(int=value))


def issued_at(key: str) -> float | None:
    """Return the Unix seconds ``key`` was made at, or None when it carries no time.

    Only the canonical text of a UUID counts: in upper case, or without hyphens, the same UUID
    would be another key, and its request could run twice.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != VERSION or str(parsed) != key:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / 1000.0
