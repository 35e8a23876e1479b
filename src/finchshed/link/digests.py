"""Checksums of request and response bodies sent between daemons."""

import xxhash


def digest_of(body: bytes) -> str:
    """Return the hexadecimal xxh3-64 digest of ``body``."""
    return xxhash.xxh3_64_hexdigest(body)
