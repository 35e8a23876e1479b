"""Requests the local back end is serving, keyed by retry account.

The back end copies the ``finchshed-account`` header to the calls it makes for a request. The daemon
looks up the parent request's context by it, instead of trusting headers set by the back end. The
callee must close every account it opens.
"""

import secrets

import msgspec

from finchshed.common.context import CallContext
from finchshed.retry.account import RetryAccounts

_ACCOUNT_PREFIX_BYTES = 6
"""Random bytes that prefix all accounts of one daemon process, so that accounts issued before a
restart are not recognized."""


class ServedRequest(msgspec.Struct, frozen=True):
    """One request the back end is serving.

    Attributes
    ----------
    deadline
        Monotonic seconds.
    identity
        Request ID set by the caller, for a request routed by host; empty otherwise.
    """

    account: str
    context: CallContext
    deadline: float
    identity: str = ""


class ServedRequests:
    """Contexts and retry accounts of the requests being served."""

    def __init__(self) -> None:
        self._accounts = RetryAccounts()
        self._served: dict[str, ServedRequest] = {}
        self._by_identity: dict[str, ServedRequest] = {}
        self._prefix = secrets.token_hex(_ACCOUNT_PREFIX_BYTES)
        self._next = 0

    def __len__(self) -> int:
        return len(self._served)

    def open(self, context: CallContext, deadline: float, identity: str = "") -> ServedRequest:
        """Open an account with the retry budget in ``context``."""
        self._next += 1
        account = f"{self._prefix}-{self._next}"
        served = ServedRequest(account, context, deadline, identity)
        self._served[account] = served
        if identity:
            self._by_identity[identity] = served
        self._accounts.open(account, context.spare_attempts)
        return served

    def get(self, account: str) -> ServedRequest | None:
        """Return the request with this account, or None if it isn't being served."""
        return self._served.get(account)

    def get_by_identity(self, identity: str) -> ServedRequest | None:
        """Return the request with this request ID, or None if it isn't being served."""
        return self._by_identity.get(identity)

    def has_failed_call(self, account: str) -> bool:
        """Return whether a call made for the request failed."""
        return self._accounts.has_failed_call(account)

    def allocate(self, account: str) -> int:
        """Allocate retries to one call of the request; return how many."""
        return self._accounts.allocate(account)

    def refund(self, account: str, allocated: int, spare_attempts: int) -> None:
        """Return the unused part of ``allocated`` retries to the account."""
        self._accounts.refund(account, allocated, spare_attempts)

    def on_call_failed(self, account: str, call: str) -> None:
        """Record that a call made for the request failed."""
        self._accounts.on_call_failed(account, call)

    def is_repeat(self, account: str, call: str) -> bool:
        """Return whether the call is a retry, by the back end, of one that failed."""
        return self._accounts.is_repeat(account, call)

    def close(self, account: str) -> int:
        """Close the account; return its unused retries."""
        served = self._served.pop(account, None)
        if served is not None and self._by_identity.get(served.identity) is served:
            del self._by_identity[served.identity]
        return self._accounts.close(account)
