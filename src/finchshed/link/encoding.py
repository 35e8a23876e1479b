"""Encodes link messages as JSON lines.

Performs no I/O, so modules that must stay free of I/O may import it.
"""

import msgspec

LINE_FEED = b"\n"

_encoder = msgspec.json.Encoder()


def encode_line(message: msgspec.Struct) -> bytes:
    """Encode ``message`` as a line feed-terminated JSON value."""
    buffer = bytearray()
    _encoder.encode_into(message, buffer)
    buffer += LINE_FEED
    return bytes(buffer)
