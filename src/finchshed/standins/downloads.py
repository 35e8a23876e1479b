"""A back end's answer to a request for a range of one edition of a download.

Conditions are those of RFC 9110: under If-Match another edition is refused (13.1.1), under
If-Range it is sent whole in place of the range (13.1.5).
"""

from collections.abc import Mapping

import msgspec

from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST
from finchshed.standins import answers

# Statuses of RFC 9110: 15.3.1, 15.3.7 and 15.5.13.
WHOLE_STATUS = 200
PART_STATUS = 206
EDITION_CHANGED_STATUS = 412


class Part(msgspec.Struct, frozen=True):
    """What is answered: a range, the whole, or neither."""

    status: int
    body: bytes
    headers: dict[str, str]


def part_of(
    path: str,
    edition: int,
    size: int,
    wanted: answers.RangeRequest,
    asked: Mapping[str, str],
) -> Part:
    """Return the answer to a request for the bytes ``wanted`` of a download.

    Parameters
    ----------
    edition
        The one that the back end holds.
    size
        Bytes of the whole.
    asked
        The request's headers.
    """
    tag = answers.edition_tag(path, edition)
    if asked.get("If-Match", tag) != tag:
        return _answer(EDITION_CHANGED_STATUS, b"", tag)
    if asked.get("If-Range", tag) != tag:
        whole = answers.RangeRequest(first=0, last=size - 1)
        return _answer(WHOLE_STATUS, answers.edition_bytes(path, edition, whole), tag)
    last = min(wanted.last, size - 1)
    span = answers.RangeRequest(first=wanted.first, last=last)
    part = _answer(PART_STATUS, answers.edition_bytes(path, edition, span), tag)
    part.headers["Content-Range"] = f"bytes {span.first}-{span.last}/{size}"
    return part


def _answer(status: int, body: bytes, tag: str) -> Part:
    return Part(status, body, {"ETag": tag, HEADER_ANSWER_DIGEST: digest_of(body)})
