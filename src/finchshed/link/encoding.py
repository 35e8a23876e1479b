"""Encodes link messages as JSON lines.

Performs no I/O, so modules that must stay free of I/O may import it.
"""

import msgspec

LINE_FEED = b"\n"

BASE64_BYTES, BASE64_SIGNS = 3, 4
"""Bytes of a body, and the signs that encode them in a line."""

_encoder = msgspec.json.Encoder()


def encode_line(message: msgspec.Struct) -> bytes:
    """Encode ``message`` as a line feed-terminated JSON value."""
    buffer = bytearray()
    _encoder.encode_into(message, buffer)
    buffer += LINE_FEED
    return bytes(buffer)


def encoded_size(body_bytes: int) -> int:
    """Return the bytes that a body takes in a line, without the rest of its message."""
    return -(-body_bytes // BASE64_BYTES) * BASE64_SIGNS
