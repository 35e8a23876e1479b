"""Answers whose wholeness and owner can be checked by who gets them.

An ordinary answer starts with the identity of its request and is filled up with a pattern made
from it. A download's bytes depend on its path and edition alone, so that ranges fetched from
several back ends can be put together and checked; the identity is then in a header.
"""

import msgspec

from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST

HEADER_IDENTITY = "standin-identity"
"""Header in which a request names itself, and its answer says whose it is."""

HEADER_RECEIVED = "standin-received"
"""Digest of the request's body as the back end got it."""

PATTERN_BYTES = 16
"""Length of a digest, which the pattern repeats."""


class RangeRequest(msgspec.Struct, frozen=True):
    """Bytes ``first`` to ``last``, both included (RFC 9110, 14.1.2)."""

    first: int
    last: int


def answer_body(identity: str, size: int) -> bytes:
    """Return the body of the whole answer to a request, at least ``size`` bytes long."""
    head = identity.encode() + b"\n"
    pattern = digest_of(head).encode()
    missing = max(0, size - len(head))
    repeats = -(-missing // PATTERN_BYTES)
    return head + pattern * repeats


def edition_tag(path: str, edition: int) -> str:
    """Return the validator (ETag) of one edition of a download."""
    return f'"{digest_of(path.encode())}-{edition}"'


def edition_bytes(path: str, edition: int, wanted: RangeRequest) -> bytes:
    """Return a range of one edition of a download."""
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
    """Return the single range of a Range header, or None if it isn't one."""
    unit, _, span = header.partition("=")
    first, _, last = span.partition("-")
    if unit.strip() != "bytes" or not first.isdigit() or not last.isdigit():
        return None
    if int(last) < int(first):
        return None
    return RangeRequest(first=int(first), last=int(last))


def problem_of(identity: str, body: bytes, headers: dict[str, str], sent_body: bytes) -> str:
    """Say why an ordinary answer isn't the whole answer to the request; empty if it is.

    Parameters
    ----------
    headers
        The answer's headers, names in lower case.
    """
    if headers.get(HEADER_IDENTITY) != identity:
        return f"answer names request {headers.get(HEADER_IDENTITY)!r}"
    if headers.get(HEADER_ANSWER_DIGEST) != digest_of(body):
        return "digest of the body differs"
    if headers.get(HEADER_RECEIVED) != digest_of(sent_body):
        return "back end got another request body"
    if body != answer_body(identity, len(body)):
        return "body is not the answer to this request"
    return ""
