"""Bytes of a compressed link (RFC 1950)."""

import zlib

from tests.forms import codecs
from tests.forms.samples_made import LINK_BYTES, LINK_LINES, SAMPLES

WINDOW_BITS = 12
FLUSHED = b"\x00\x00\xff\xff"


def sample() -> tuple[bytes, list[bytes]]:
    data = bytes.fromhex((SAMPLES / LINK_BYTES).read_text())
    return data, (SAMPLES / LINK_LINES).read_bytes().splitlines(keepends=True)


def test_the_sample_is_read() -> None:
    data, lines = sample()
    assert codecs.lines_of_compressed_link(data) == lines


def test_what_is_written_is_the_sample() -> None:
    """Compressed bytes differ between editions of zlib; what they stand for may not."""
    data, lines = sample()
    written = codecs.compressed_link(lines)
    size = len(lines[0])
    assert written[:size] == data[:size] == lines[0]
    assert written[size : size + 2] == data[size : size + 2]
    assert written.count(FLUSHED) >= len(lines) - 1
    assert written.endswith(FLUSHED)
    stream = zlib.decompressobj(WINDOW_BITS)
    assert stream.decompress(written[size:]) == b"".join(lines[1:])
