"""Retry budget of a root request, divided among the calls of its call graph.

A root request gets a fixed number of spare attempts. Each hop allocates part of its balance to a
call and is refunded what the call did not use; what a crashed process held is lost. The retries of
one root request therefore never exceed the initial number, however deep or wide the call graph.
All amounts are in attempts.
"""

from collections import OrderedDict

import msgspec

DEFAULT_MAX_ACCOUNTS = 100_000
"""Maximum number of open accounts; beyond it the oldest is dropped and its balance lost.

Each takes some 164 bytes (docs/design/routing.md). Dropping one loses spare attempts and never
adds any."""


MAX_FAILED_CALLS = 64
"""Maximum number of failed calls recorded per request; beyond it every call counts as a repeat."""


class _Account(msgspec.Struct, gc=False):
    balance: int
    allocated: int = 0
    failed_calls: set[str] | None = None


def allocated_attempts(balance: int) -> int:
    """Return how many of ``balance`` spare attempts one call gets: half, rounded up.

    The other half is kept for concurrent calls, and for retries by this hop if the callee crashes.
    """
    return (balance + 1) // 2


class RetryAccounts:
    """Accounts of the requests that a daemon's back end is serving.

    Parameters
    ----------
    max_accounts
        Maximum number of open accounts.
    """

    def __init__(self, max_accounts: int = DEFAULT_MAX_ACCOUNTS) -> None:
        self._accounts: OrderedDict[str, _Account] = OrderedDict()
        self._max_accounts = max_accounts

    def __len__(self) -> int:
        """Return the number of open accounts."""
        return len(self._accounts)

    def open(self, account: str, spare_attempts: int) -> None:
        """Open an account with the spare attempts of a call; ``account`` must be unique."""
        if len(self._accounts) >= self._max_accounts:
            self._accounts.popitem(last=False)
        self._accounts[account] = _Account(balance=spare_attempts)

    def allocate(self, account: str) -> int:
        """Allocate part of the balance to one call; 0 if the account is not open."""
        entry = self._accounts.get(account)
        if entry is None:
            return 0
        allocated = allocated_attempts(entry.balance)
        entry.balance -= allocated
        entry.allocated += allocated
        return allocated

    def refund(self, account: str, allocated: int, spare_attempts: int) -> None:
        """Return the unused spare attempts of a call to the balance.

        At most ``allocated`` is refunded, whatever the answer claims, and nothing if the account
        has been closed meanwhile.
        """
        entry = self._accounts.get(account)
        if entry is None:
            return
        allocated = min(allocated, entry.allocated)
        entry.allocated -= allocated
        entry.balance += max(0, min(spare_attempts, allocated))

    def on_call_failed(self, account: str, call: str) -> None:
        """Record that a call made by the request was not answered; ``call`` identifies it."""
        entry = self._accounts.get(account)
        if entry is None:
            return
        if entry.failed_calls is None:
            entry.failed_calls = set()
        if len(entry.failed_calls) < MAX_FAILED_CALLS:
            entry.failed_calls.add(call)

    def has_failed_call(self, account: str) -> bool:
        """Return whether any call made by the request was not answered."""
        entry = self._accounts.get(account)
        return entry is not None and bool(entry.failed_calls)

    def is_repeat(self, account: str, call: str) -> bool:
        """Return whether a call repeats one that failed before.

        Such a call is a retry and uses up a spare attempt; otherwise back ends that retry on their
        own would multiply the attempts at every hop.
        """
        entry = self._accounts.get(account)
        if entry is None or entry.failed_calls is None:
            return False
        return call in entry.failed_calls or len(entry.failed_calls) >= MAX_FAILED_CALLS

    def close(self, account: str) -> int:
        """Close an account and return its balance; allocations still open are lost."""
        entry = self._accounts.pop(account, None)
        return 0 if entry is None else entry.balance
