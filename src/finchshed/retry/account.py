"""Retry budget of a root request as a conserved quantity.

A root request is given a number of spare attempts once. Each hop lends part of what it holds to a
call and takes back what the answer returns; nothing is ever made. What a crashed process held is
lost. So the spare attempts spent for one root request never exceed the number first given, however
deep or wide the graph is and whatever fails: 2.0 attempts for a call at worst in a chain of 25
services under 20 kills (docs/design/retry-budget.md).

Owns the accounts of the requests that the back end beside this daemon serves. All figures are
attempts.
"""

from collections import OrderedDict

import msgspec

DEFAULT_MAX_ACCOUNTS = 100_000
"""Accounts kept at a time; the oldest is dropped first, which loses spare attempts, never adds.
Some 164 bytes each (docs/design/routing.md); the bound is chosen, not measured."""


MAX_FAILED_CALLS = 64
"""Calls that failed which are remembered of one request; past it every call counts as a repeat.
Chosen, not measured."""


class _Account(msgspec.Struct, gc=False):
    balance: int
    lent: int = 0
    failed: set[str] | None = None


def allocated_attempts(balance: int) -> int:
    """Return how many of ``balance`` spare attempts one call gets: half, rounded up.

    The other half stays for calls made at the same time, and for the hop itself should the
    callee crash with what it was lent.
    """
    return (balance + 1) // 2


class RetryAccounts:
    """Accounts of the requests a daemon's back end is serving.

    Parameters
    ----------
    max_accounts
        Accounts kept at a time.
    """

    def __init__(self, max_accounts: int = DEFAULT_MAX_ACCOUNTS) -> None:
        self._accounts: OrderedDict[str, _Account] = OrderedDict()
        self._max_accounts = max_accounts

    def __len__(self) -> int:
        """Return the number of open accounts."""
        return len(self._accounts)

    def open(self, account: str, spare_attempts: int) -> None:
        """Open an account with the spare attempts a call brought. An identity is used once."""
        if len(self._accounts) >= self._max_accounts:
            self._accounts.popitem(last=False)
        self._accounts[account] = _Account(balance=spare_attempts)

    def allocate(self, account: str) -> int:
        """Lend part of the balance to one call; 0 for an account that is not open."""
        held = self._accounts.get(account)
        if held is None:
            return 0
        lent = allocated_attempts(held.balance)
        held.balance -= lent
        held.lent += lent
        return lent

    def refund(self, account: str, lent: int, spare_attempts: int) -> None:
        """Take back what a call did not spend of ``lent``.

        An answer that claims to return more than was lent returns only what was lent. An account
        closed meanwhile takes nothing back.
        """
        held = self._accounts.get(account)
        if held is None:
            return
        lent = min(lent, held.lent)
        held.lent -= lent
        held.balance += max(0, min(spare_attempts, lent))

    def on_call_failed(self, account: str, call: str) -> None:
        """Note that a call the request made was not answered; ``call`` tells calls apart."""
        held = self._accounts.get(account)
        if held is None:
            return
        if held.failed is None:
            held.failed = set()
        if len(held.failed) < MAX_FAILED_CALLS:
            held.failed.add(call)

    def has_failed_call(self, account: str) -> bool:
        """Return whether any call the request made was not answered."""
        held = self._accounts.get(account)
        return held is not None and bool(held.failed)

    def is_repeat(self, account: str, call: str) -> bool:
        """Return whether a call is made again after it failed.

        A back end that repeats by itself would multiply the attempts at every hop, so such a call
        is a retry like any other and is paid from what it was lent.
        """
        held = self._accounts.get(account)
        if held is None or held.failed is None:
            return False
        return call in held.failed or len(held.failed) >= MAX_FAILED_CALLS

    def close(self, account: str) -> int:
        """Close an account and return its balance; what is lent out at this time is lost."""
        held = self._accounts.pop(account, None)
        return 0 if held is None else held.balance
