"""HTTP requests and responses, and the encoding of responses."""

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
"""Interim response to ``Expect: 100-continue`` (RFC 9110, section 10.1.1)."""

_PHRASES: Mapping[int, str] = {status.value: status.phrase for status in http.HTTPStatus}


@dataclass(slots=True)
class InboundRequest:
    """A request received from a client.

    Attributes
    ----------
    target
        Path and query as sent, without scheme and authority.
    headers
        All headers in order, with lowercase names.
    first
        First value of each header, by lowercase name.
    remote
        IP address of the client.
    """

    remote: str
    method: str = ""
    target: str = ""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    first: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string if absent."""
        value = self.first.get(name)
        return "" if value is None else value.decode("latin-1")


class Response(msgspec.Struct, frozen=True):
    """A response to a client.

    Without ``has_length``, no content length is sent and closing the connection ends the body.
    """

    status: int
    headers: Headers
    body: bytes
    has_length: bool = True


def origin_form(target: bytes) -> str:
    """Return the path and query of a request target (RFC 9112, section 3.2)."""
    if target.startswith(b"/"):
        return target.decode("latin-1")
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        return target.decode("latin-1")
    path = (url.path or b"/") + (b"?" + url.query if url.query else b"")
    return path.decode("latin-1")


def has_body(response: Response, *, is_head: bool) -> bool:
    """Whether a response, to a HEAD request if ``is_head``, has a body (RFC 9110, 6.4.1)."""
    return not is_head and response.status not in {STATUS_NO_CONTENT, STATUS_NOT_MODIFIED}


def encode_response(response: Response, *, is_head: bool, closes: bool) -> bytes:
    """Encode a response.

    A response whose headers contain line breaks is replaced by a bare 500 response.

    Parameters
    ----------
    is_head
        Whether it answers a HEAD request; body and content length are omitted.
    closes
        Whether the connection closes after it.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    carries_body = has_body(response, is_head=is_head)
    if carries_body and response.has_length:
        lines.append(f"content-length: {len(response.body)}")
    if closes:
        lines.append("connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines)
    line_breaks = len(lines)
    if head.count("\n") != line_breaks or head.count("\r") != line_breaks:
        return _header_injection_response(closes)
    encoded = head.encode("latin-1")
    return encoded + response.body if carries_body else encoded


def _header_injection_response(closes: bool) -> bytes:
    """Return the replacement for a response whose headers contain line breaks."""
    bare = Response(STATUS_INTERNAL_SERVER_ERROR, (("finchshed-ran", "unknown"),), b"")
    return encode_response(bare, is_head=False, closes=closes)
