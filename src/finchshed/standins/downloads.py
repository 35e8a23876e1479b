"""Builds a backend's response to a range request for a download.

Follows RFC 9110: if the edition differs, If-Match gives 412 (13.1.1), and If-Range gives the
complete new edition instead of the range (13.1.5).
"""

from collections.abc import Mapping

import msgspec

from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST
from finchshed.standins import answers

# RFC 9110: 15.3.1, 15.3.7 and 15.5.13.
FULL_CONTENT_STATUS = 200
PARTIAL_CONTENT_STATUS = 206
PRECONDITION_FAILED_STATUS = 412


class DownloadResponse(msgspec.Struct, frozen=True):
    """A range, the complete content, or a failed precondition."""

    status: int
    body: bytes
    headers: dict[str, str]


def download_response(
    path: str,
    edition: int,
    size: int,
    requested: answers.RangeRequest,
    request_headers: Mapping[str, str],
) -> DownloadResponse:
    """Return the response to a request for the range ``requested`` of a download.

    Parameters
    ----------
    edition
        Edition that the backend currently serves.
    size
        Size of the complete download in bytes.
    request_headers
        Request headers.
    """
    tag = answers.edition_tag(path, edition)
    if request_headers.get("If-Match", tag) != tag:
        return _response(PRECONDITION_FAILED_STATUS, b"", tag)
    if request_headers.get("If-Range", tag) != tag:
        whole = answers.RangeRequest(first=0, last=size - 1)
        return _response(FULL_CONTENT_STATUS, answers.edition_bytes(path, edition, whole), tag)
    last = min(requested.last, size - 1)
    available = answers.RangeRequest(first=requested.first, last=last)
    response = _response(
        PARTIAL_CONTENT_STATUS, answers.edition_bytes(path, edition, available), tag
    )
    response.headers["Content-Range"] = f"bytes {available.first}-{available.last}/{size}"
    return response


def _response(status: int, body: bytes, tag: str) -> DownloadResponse:
    return DownloadResponse(status, body, {"ETag": tag, HEADER_ANSWER_DIGEST: digest_of(body)})
