"""How an emulated daemon reaches the ledger."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

from finchshed.common.outcomes import Answered
from finchshed.ledger.results import LedgerResult

OnLedgerResult: TypeAlias = Callable[[LedgerResult | None], None]
"""Gets the committed result, or None when none came in time."""


class LedgerClient(Protocol):
    """The ledger as seen by one daemon."""

    def begin(self, key: str, attempt: str, timeout: float, done: OnLedgerResult) -> None:
        """Ask leave to run the request under ``key``."""

    def cancel(self, key: str, attempt: str) -> None:
        """Say that a granted attempt was never sent."""

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: Callable[[], None]
    ) -> None:
        """Record the whole answer; ``done`` is called when it is committed, or in time anyway."""
