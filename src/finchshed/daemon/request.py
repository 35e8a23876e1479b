"""A request as the data path sees it, and the headers that are passed on. Pure values."""

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
"""Headers that belong to one connection (RFC 9110, 7.6.1) or are set anew on each hop."""

INTERNAL_PREFIX = "finchshed-"
"""Headers of this prefix are set by daemons; what a caller sent is not passed on."""


MAX_ANSWER_BYTES_BY_HOST = 64 << 20
"""Longest answer, bytes, to a request that was taken by host; chosen, not measured."""


class Request(msgspec.Struct, frozen=True):
    """One request on its way to a service.

    Attributes
    ----------
    repeatable
        Whether it may run more than once.
    in_session
        Whether its route belongs to sessions.
    max_body_bytes
        Largest body of the request or its answer.
    route
        Prefix of the service's route that the request falls under.
    identity
        What the caller of a request taken by host calls it by; empty for others. ``route`` is then
        the name of the route of its host.
    target_seconds
        Latency it is meant to be answered in; 0: none.
    tenant
        Name of the tenant that holds its API key, or empty.
    session_at
        Endpoint that serves the request's session by the client's word, or empty. Not checked.
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
        """Whether it was taken under a route of its host."""
        return bool(self.identity)


MAX_CACHED_NAME_BYTES = 64
"""Names up to this length, bytes, are remembered; the others are read anew each time. Chosen, not
measured."""

HEADER_NAME_CACHE_SIZE = 512
"""Names of headers that are remembered; chosen, not measured."""


def end_to_end_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are passed on, names in lower case.

    Names in ``Connection`` are dropped with it (RFC 9110, 7.6.1).
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
    """Return a header's name in lower case, and whether it is passed on."""
    name = raw.decode("latin-1").lower()
    return name, name not in HOP_BY_HOP_HEADERS and not name.startswith(INTERNAL_PREFIX)


_cached_name = lru_cache(maxsize=HEADER_NAME_CACHE_SIZE)(_parse_name)
