"""A request on the data path, and the filtering of its headers."""

from collections.abc import Iterable
from functools import lru_cache

import msgspec

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
"""Headers specific to one connection (RFC 9110, 7.6.1) or regenerated at each hop."""

INTERNAL_PREFIX = "finchshed-"
"""Prefix of headers set by daemons; those sent by callers are dropped."""


MAX_ANSWER_BYTES_BY_HOST = 64 << 20
"""Maximum size of the answer to a request routed by host."""


class Request(msgspec.Struct, frozen=True):
    """A request to a service.

    Attributes
    ----------
    repeatable
        Whether it may run more than once.
    in_session
        Whether its route uses sessions.
    max_body_bytes
        Maximum size of the request body and of the answer body.
    route
        Prefix of the matched route, or the route's name if the request was routed by host.
    identity
        Request ID set by the caller of a request routed by host; empty otherwise.
    target_seconds
        Latency objective; 0 for none.
    tenant
        Name of the tenant its API key belongs to, or empty.
    session_at
        Endpoint of the request's session as claimed by the client, or empty; untrusted.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    context: CallContext
    repeatable: bool = True
    in_session: bool = False
    max_body_bytes: int = 1 << 20
    route: str = ""
    session_at: str = ""
    identity: str = ""
    target_seconds: float = 0.0
    tenant: str = ""

    @property
    def is_by_host(self) -> bool:
        """Whether it was routed by host."""
        return bool(self.identity)


MAX_CACHED_NAME_BYTES = 64
"""Longer header names are parsed each time rather than cached, to bound the cache's memory."""

HEADER_NAME_CACHE_SIZE = 512
"""Maximum number of cached header names."""


def end_to_end_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end headers, with names in lower case.

    Headers named in ``Connection`` are dropped as well (RFC 9110, 7.6.1).
    """
    kept: list[tuple[str, str]] = []
    nominated: set[str] = set()
    for name_bytes, value_bytes in raw:
        is_short = len(name_bytes) <= MAX_CACHED_NAME_BYTES
        name, is_passed_on = _cached_name(name_bytes) if is_short else _parse_name(name_bytes)
        if is_passed_on:
            kept.append((name, value_bytes.decode("latin-1")))
        elif name == "connection":
            value = value_bytes.decode("latin-1").lower()
            nominated.update(token.strip() for token in value.split(","))
    if nominated - {"keep-alive", "close", ""}:
        kept = [item for item in kept if item[0] not in nominated]
    return tuple(kept)


def _parse_name(raw: bytes) -> tuple[str, bool]:
    """Return a header name in lower case, and whether the header is end-to-end."""
    name = raw.decode("latin-1").lower()
    return name, name not in HOP_BY_HOP_HEADERS and not name.startswith(INTERNAL_PREFIX)


_cached_name = lru_cache(maxsize=HEADER_NAME_CACHE_SIZE)(_parse_name)
