"""Tells which request an answer of the back end belongs to, by the identities in its headers."""

import enum
from collections.abc import Sequence
from typing import TypeAlias

from finchshed.common.context import HEADER_ACCOUNT
from finchshed.daemon.backend.carried_requests import CarriedRequests
from finchshed.daemon.backend.client import BackendRequest

RawHeader: TypeAlias = tuple[bytes, bytes]
"""Name in lower case, and value."""

_ACCOUNT = HEADER_ACCOUNT.encode("ascii")


class Addressee(enum.Enum):
    """Whose an answer is."""

    REQUEST = "request"
    """The request in progress, which it names."""

    UNNAMED = "unnamed"
    """It names no request, and the request in progress has no identity that must be given back."""

    EARLIER_REQUEST = "earlier_request"
    """An earlier request on the same connection."""

    UNKNOWN = "unknown"
    """Another request, or it names more than one or none."""


def identity_of(request: BackendRequest) -> str:
    """Return what an answer names ``request`` by; empty for a health check."""
    return request.request_id or request.account


def addressee_of(
    request: BackendRequest,
    headers: Sequence[RawHeader],
    identity_header: bytes,
    carried: CarriedRequests,
) -> Addressee:
    """Return whose an answer with ``headers`` is.

    Parameters
    ----------
    request
        Request in progress.
    identity_header
        Header in which a back end gives back the identity of a request by host.
    carried
        Requests that the connection has carried, including ``request``.
    """
    identities = _values(headers, identity_header)
    accounts = _values(headers, _ACCOUNT)
    if identities == _expected(request.request_id) and accounts <= _expected(request.account):
        return Addressee.REQUEST if identities or accounts else Addressee.UNNAMED
    named = named_identity(headers, identity_header)
    if named is None or named == identity_of(request):
        return Addressee.UNKNOWN
    return Addressee.EARLIER_REQUEST if carried.has(named) else Addressee.UNKNOWN


def named_identity(headers: Sequence[RawHeader], identity_header: bytes) -> str | None:
    """Return the identity that an answer names; empty for none, None for more than one."""
    named = _values(headers, identity_header) | _values(headers, _ACCOUNT)
    if len(named) > 1:
        return None
    return next(iter(named)).decode("latin-1") if named else ""


def _values(headers: Sequence[RawHeader], name: bytes) -> set[bytes]:
    """Return the distinct values of a header; an empty one names nothing."""
    values = {value.strip() for header, value in headers if header == name}
    return values - {b""}


def _expected(identity: str) -> set[bytes]:
    return {identity.encode("latin-1")} if identity else set()
