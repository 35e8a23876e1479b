"""Response bodies that let the receiver detect truncated or misrouted responses.

An ordinary response body starts with the identity of its request and is padded with a pattern
derived from it. The bytes of a download depend only on its path and edition, so that ranges
fetched from several backends can be joined and verified; its identity is sent in a header.
"""

import msgspec

from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST

HEADER_IDENTITY = "standin-identity"
"""Header that carries the request's identity; the response echoes it."""

HEADER_REQUEST_DIGEST = "standin-received"
"""Response header with the digest of the request body that the backend received."""

PATTERN_BYTES = 16
"""Length of the repeated pattern, which is a digest."""


class RangeRequest(msgspec.Struct, frozen=True):
    """Inclusive byte range ``first`` to ``last`` (RFC 9110, 14.1.2)."""

    first: int
    last: int


def answer_body(identity: str, size: int) -> bytes:
    """Return the complete response body for a request, at least ``size`` bytes long."""
    head = identity.encode() + b"\n"
    pattern = digest_of(head).encode()
    missing = max(0, size - len(head))
    repeats = -(-missing // PATTERN_BYTES)
    return head + pattern * repeats


def edition_tag(path: str, edition: int) -> str:
    """Return the validator (ETag) of one edition of a download."""
    return f'"{digest_of(path.encode())}-{edition}"'


def edition_bytes(path: str, edition: int, wanted: RangeRequest) -> bytes:
    """Return the bytes of a range of one edition of a download."""
    first_block = wanted.first // PATTERN_BYTES
    last_block = wanted.last // PATTERN_BYTES
    blocks = [
        digest_of(f"{path}#{edition}#{block}".encode())
        for block in range(first_block, last_block + 1)
    ]
    content = "".join(blocks).encode()
    start = wanted.first - first_block * PATTERN_BYTES
    return content[start : start + wanted.last - wanted.first + 1]


def parse_range(header: str) -> RangeRequest | None:
    """Parse a Range header with one bounded byte range; return None for any other form."""
    unit, _, span = header.partition("=")
    first, _, last = span.partition("-")
    if unit.strip() != "bytes" or not first.isdigit() or not last.isdigit():
        return None
    if int(last) < int(first):
        return None
    return RangeRequest(first=int(first), last=int(last))


def find_answer_problem(
    identity: str, body: bytes, headers: dict[str, str], sent_body: bytes
) -> str:
    """Return why a response is not the complete response to the request, or an empty string.

    Parameters
    ----------
    headers
        Response headers with lower-case names.
    """
    if headers.get(HEADER_IDENTITY) != identity:
        return f"answer names request {headers.get(HEADER_IDENTITY)!r}"
    if headers.get(HEADER_ANSWER_DIGEST) != digest_of(body):
        return "digest of the body differs"
    if headers.get(HEADER_REQUEST_DIGEST) != digest_of(sent_body):
        return "back end got another request body"
    if body != answer_body(identity, len(body)):
        return "body is not the answer to this request"
    return ""
