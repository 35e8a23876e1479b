"""Idempotency keys that contain their issue time.

A key is a UUID version 7 (RFC 9562, 5.7), whose first 48 bits are Unix milliseconds. This lets the
ledger refuse expired keys without storing them. Keys without an issue time are refused, as they
could be executed again after they are dropped.
"""

import random
import uuid

VERSION = 7
"""UUID version with a timestamp and random bits (RFC 9562, 5.7)."""

RANDOM_BITS = 74
"""Size of ``rand_a`` (12 bits) and ``rand_b`` (62 bits) together (RFC 9562, 5.7)."""

TIMESTAMP_SHIFT = 80
"""Number of bits after the 48-bit timestamp (RFC 9562, 5.7)."""

VARIANT_RFC_9562 = 0b10
"""Variant field of UUIDs defined by RFC 9562 (section 4.1)."""


def new_key(unix_seconds: float, generator: random.Random) -> str:
    """Return a new key issued at ``unix_seconds``."""
    milliseconds = int(unix_seconds * 1000)
    entropy = generator.getrandbits(RANDOM_BITS)
    value = milliseconds << TIMESTAMP_SHIFT
    value |= VERSION << 76
    value |= (entropy >> 62) << 64
    value |= VARIANT_RFC_9562 << 62
    value |= entropy & ((1 << 62) - 1)
    return str(uuid.UUID(int=value))


def issued_at(key: str) -> float | None:
    """Return the issue time of ``key`` in Unix seconds, or None if it has none.

    Only the canonical text form of a UUID is accepted. Otherwise the same UUID in upper case or
    without hyphens would be a different key, and its request could run twice.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != VERSION or str(parsed) != key:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / 1000.0
