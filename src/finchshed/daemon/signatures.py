"""Selects the parts of a request that its quarantine signature is computed from."""

from collections.abc import Callable
from functools import cache
from typing import Protocol

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.daemon.header_names import HeaderNames
from finchshed.quarantine.signature import signature_of

CREDENTIAL_HEADERS = frozenset({"authorization", "cookie"})
"""Standard headers that identify the caller (RFC 9110, 11.6.2; RFC 6265); only hashed, never stored
or logged."""


class SignableRequest(Protocol):
    """The fields used by a signature; implemented by ``Request`` and ``Call``."""

    @property
    def service(self) -> str:
        """Called service."""

    @property
    def method(self) -> str:
        """Method, as sent."""

    @property
    def path(self) -> str:
        """Path and query, as sent."""

    @property
    def headers(self) -> Headers:
        """Headers for the back end, without those that differ between attempts."""

    @property
    def body(self) -> bytes:
        """Complete body."""

    @property
    def context(self) -> CallContext:
        """Context inherited from the root request."""


class SignatureFactory:
    """Computes signatures that are identical at every daemon.

    The header with the calling service is included for calls only: a root request carries the
    service of the machine it entered at, and its client may retry it at any other.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._of_roots = CREDENTIAL_HEADERS | {"host", names.tenant}
        self._of_calls = self._of_roots | {names.caller_service}

    def lazy_signature(self, request: SignableRequest) -> Callable[[], str]:
        """Return a function that computes the request's signature once, when first called."""
        return cache(lambda: self.compute(request))

    def compute(self, request: SignableRequest) -> str:
        """Return the signature of a request."""
        context = request.context
        kept = self._of_calls if context.depth else self._of_roots
        caller = sorted(f"{name}:{value}" for name, value in request.headers if name in kept)
        return signature_of(
            request.service,
            request.method,
            request.path,
            (context.caller, *caller),
            request.body,
        )
