"""Interface between an emulated daemon and the ledger."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

from finchshed.common.outcomes import Answered
from finchshed.ledger.results import LedgerResult

OnLedgerResult: TypeAlias = Callable[[LedgerResult | None], None]
"""Callback that receives the committed result, or None on timeout."""


class LedgerClient(Protocol):
    """Client of the ledger."""

    def begin(self, key: str, attempt: str, timeout: float, done: OnLedgerResult) -> None:
        """Request a grant to run the request with this key."""

    def cancel(self, key: str, attempt: str) -> None:
        """Release the grant of an attempt that was never sent."""

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: Callable[[], None]
    ) -> None:
        """Record the complete answer; calls ``done`` on commit or after ``timeout`` seconds."""
