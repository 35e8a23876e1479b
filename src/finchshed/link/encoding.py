"""Encodes messages of internal links as JSON lines. No I/O: decision modules may use it."""

import msgspec

LINE_FEED = b"\n"

_encoder = msgspec.json.Encoder()


def encode_line(message: msgspec.Struct) -> bytes:
    """Return ``message`` as one line."""
    buffer = bytearray()
    _encoder.encode_into(message, buffer)
    buffer += LINE_FEED
    return bytes(buffer)
