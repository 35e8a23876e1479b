"""Reads from a request what its signature is made of.

Owns the names of the headers that count; relies on :mod:`finchshed.quarantine` for the digest
itself.
"""

from collections.abc import Callable
from functools import cache
from typing import Protocol

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.daemon.header_names import HeaderNames
from finchshed.quarantine.signature import signature_of

CREDENTIAL_HEADERS = frozenset({"authorization", "cookie"})
"""Standard headers that tell callers apart (RFC 9110, 11.6.2; RFC 6265). They go into the digest
alone."""


class SignableRequest(Protocol):
    """A request at the daemon that took it, or a call at the daemon beside the back end."""

    @property
    def service(self) -> str:
        """Service that is called."""

    @property
    def method(self) -> str:
        """Method, as sent."""

    @property
    def path(self) -> str:
        """Path and query, as sent."""

    @property
    def headers(self) -> Headers:
        """Headers that go to the back end, but for those of each attempt."""

    @property
    def body(self) -> bytes:
        """The whole body."""

    @property
    def context(self) -> CallContext:
        """What it inherits from its root request."""


class SignatureFactory:
    """Gives requests their signatures, the same at every daemon.

    The service beside which a root request entered is left out: a client comes again at any
    machine. That of a call is kept: it is the caller.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._of_roots = CREDENTIAL_HEADERS | {"host", names.tenant}
        self._of_calls = self._of_roots | {names.caller_service}

    def lazy_signature(self, request: SignableRequest) -> Callable[[], str]:
        """Return what gives a request's signature, computed when it is first asked for."""
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
