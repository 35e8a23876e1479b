"""Requests the local back end is serving, by the account identity it was given.

A back end that calls on copies ``finchshed-account`` to its own requests. The daemon then knows
the context of the request being served, and does not depend on what the back end says of it.
"""

import secrets

import msgspec

from finchshed.common.context import CallContext
from finchshed.retry.account import RetryAccounts

_PREFIX_BYTES = 6


class ServedRequest(msgspec.Struct, frozen=True):
    """One request the back end is serving. ``deadline`` is in monotonic seconds."""

    account: str
    context: CallContext
    deadline: float


class ServedRequests:
    """Contexts and retry accounts of the requests being served."""

    def __init__(self) -> None:
        self._accounts = RetryAccounts()
        self._served: dict[str, ServedRequest] = {}
        self._prefix = secrets.token_hex(_PREFIX_BYTES)
        self._next = 0

    def __len__(self) -> int:
        return len(self._served)

    def open(self, context: CallContext, deadline: float) -> ServedRequest:
        """Open an account with the spare attempts that ``context`` brings."""
        self._next += 1
        account = f"{self._prefix}-{self._next}"
        served = ServedRequest(account, context, deadline)
        self._served[account] = served
        self._accounts.open(account, context.spare_attempts)
        return served

    def get(self, account: str) -> ServedRequest | None:
        """Return the request of an account, if it is still being served."""
        return self._served.get(account)

    def lend(self, account: str) -> int:
        """Lend spare attempts to one call of the request."""
        return self._accounts.lend(account)

    def give_back(self, account: str, lent: int, spare_attempts: int) -> None:
        """Take back what a call did not spend."""
        self._accounts.give_back(account, lent, spare_attempts)

    def on_call_failed(self, account: str, call: str) -> None:
        """Take note that a call made for the request was not answered."""
        self._accounts.on_call_failed(account, call)

    def is_repeat(self, account: str, call: str) -> bool:
        """Return whether the back end makes a call again after it failed."""
        return self._accounts.is_repeat(account, call)

    def close(self, account: str) -> int:
        """End the request; return the spare attempts that are left."""
        self._served.pop(account, None)
        return self._accounts.close(account)
