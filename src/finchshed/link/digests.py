"""Digests of bodies that travel between daemons."""

import xxhash


def digest_of(body: bytes) -> str:
    """Return xxh3-64 of ``body``, hexadecimal."""
    return xxhash.xxh3_64_hexdigest(body)
