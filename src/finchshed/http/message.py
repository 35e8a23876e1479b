"""Requests and responses of the HTTP listener as values, and the bytes of a response."""

import http
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools
import msgspec

from finchshed.common.outcomes import Headers
from finchshed.http.status import (
    STATUS_INTERNAL_SERVER_ERROR,
    STATUS_NO_CONTENT,
    STATUS_NOT_MODIFIED,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim answer to ``Expect: 100-continue`` (RFC 9110, 10.1.1)."""

_PHRASES: Mapping[int, str] = {status.value: status.phrase for status in http.HTTPStatus}


@dataclass(slots=True)
class InboundRequest:
    """A request as it came in.

    Attributes
    ----------
    target
        Path and query, as sent.
    headers
        All headers in order, names in lower case.
    first
        First value of each header.
    remote
        IP address of the sender.
    """

    remote: str
    method: str = ""
    target: str = ""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    first: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        value = self.first.get(name)
        return "" if value is None else value.decode("latin-1")


class Response(msgspec.Struct, frozen=True):
    """A response to a caller. Without a length its end is told by that of the connection."""

    status: int
    headers: Headers
    body: bytes
    has_length: bool = True


def origin_form(target: bytes) -> str:
    """Return path and query of a request's target (RFC 9112, 3.2)."""
    if target.startswith(b"/"):
        return target.decode("latin-1")
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        return target.decode("latin-1")
    path = (url.path or b"/") + (b"?" + url.query if url.query else b"")
    return path.decode("latin-1")


def encode_response(response: Response, *, is_head: bool, closes: bool) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    is_head
        Whether it answers HEAD: no body is sent, and no length of one.
    closes
        Whether the connection is closed after it.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    has_body = not is_head and status not in {STATUS_NO_CONTENT, STATUS_NOT_MODIFIED}
    if has_body and response.has_length:
        lines.append(f"content-length: {len(response.body)}")
    if closes:
        lines.append("connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines)
    breaks = len(lines)
    if head.count("\n") != breaks or head.count("\r") != breaks:
        return _malformed(closes)
    encoded = head.encode("latin-1")
    return encoded + response.body if has_body else encoded


def _malformed(closes: bool) -> bytes:
    """Return the answer in place of one whose headers hold line breaks."""
    bare = Response(STATUS_INTERNAL_SERVER_ERROR, (("finchshed-ran", "unknown"),), b"")
    return encode_response(bare, is_head=False, closes=closes)
