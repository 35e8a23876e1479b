"""Requests the local back end is serving, by the account identity it was given.

A back end that calls on copies ``finchshed-account`` to its own requests. The daemon then knows
the context of the request being served, and does not depend on what the back end says of it. Owns
those contexts and the retry accounts; relies on the callee to close each of them.
"""

import secrets

import msgspec

from finchshed.common.context import CallContext
from finchshed.retry.account import RetryAccounts

_PREFIX_BYTES = 6
"""Random bytes in the accounts of one start: a late back end's account of another start isn't
known."""


class ServedRequest(msgspec.Struct, frozen=True):
    """One request the back end is serving. ``deadline`` is in monotonic seconds.

    ``identity`` is that of a request taken by host, as its caller gave it.
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
        self._prefix = secrets.token_hex(_PREFIX_BYTES)
        self._next = 0

    def __len__(self) -> int:
        return len(self._served)

    def open(self, context: CallContext, deadline: float, identity: str = "") -> ServedRequest:
        """Open an account with the spare attempts that ``context`` brings."""
        self._next += 1
        account = f"{self._prefix}-{self._next}"
        served = ServedRequest(account, context, deadline, identity)
        self._served[account] = served
        if identity:
            self._by_identity[identity] = served
        self._accounts.open(account, context.spare_attempts)
        return served

    def get(self, account: str) -> ServedRequest | None:
        """Return the request of an account, if it is still being served."""
        return self._served.get(account)

    def get_by_identity(self, identity: str) -> ServedRequest | None:
        """Return the request that its caller gave this identity, if it is being served."""
        return self._by_identity.get(identity)

    def has_failed_call(self, account: str) -> bool:
        """Return whether a call made for the request was not answered."""
        return self._accounts.has_failed_call(account)

    def lend(self, account: str) -> int:
        """Lend spare attempts to one call of the request."""
        return self._accounts.lend(account)

    def give_back(self, account: str, lent: int, spare_attempts: int) -> None:
        """Take back what a call did not spend."""
        self._accounts.give_back(account, lent, spare_attempts)

    def on_call_failed(self, account: str, call: str) -> None:
        """Note that a call made for the request was not answered."""
        self._accounts.on_call_failed(account, call)

    def is_repeat(self, account: str, call: str) -> bool:
        """Return whether the back end makes a call again after it failed."""
        return self._accounts.is_repeat(account, call)

    def close(self, account: str) -> int:
        """End the request; return the spare attempts that are left."""
        served = self._served.pop(account, None)
        if served is not None and self._by_identity.get(served.identity) is served:
            del self._by_identity[served.identity]
        return self._accounts.close(account)
