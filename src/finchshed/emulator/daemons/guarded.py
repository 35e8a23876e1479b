"""How an emulated daemon asks the ledger before a request that may not be repeated runs.

Counterpart of :mod:`finchshed.daemon.serving.at_most_once`. The ledger itself is the production
one.
"""

from collections.abc import Callable
from typing import Final

from finchshed.common.outcomes import Failed, FailureReason, Outcome, RefusalReason, Refused
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.emulator.daemons.ledger_client import LedgerClient
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.daemons.work import SimulatedWork
from finchshed.ledger.results import Completed, Granted, LedgerResult, OutcomeUnknown

LEDGER_TIMEOUT_SECONDS: Final = 1.0
"""Longest wait for the ledger's answer; the default of a daemon's settings."""

GRANT_LEASE_SECONDS: Final = 2.0
"""A grant older than this is not used; the default of a daemon's settings."""


class GuardedStart:
    """Starts calls that may not be repeated, once the ledger has granted them."""

    def __init__(
        self,
        process: Process,
        ledger: LedgerClient,
        *,
        send: Callable[[SimulatedWork], None],
        finish: Callable[[SimulatedWork, Outcome], None],
        retry_after: Callable[[], float],
    ) -> None:
        self._process = process
        self._ledger = ledger
        self._send = send
        self._finish = finish
        self._retry_after = retry_after

    def ask(self, work: SimulatedWork) -> None:
        """Ask the ledger for leave to run ``work``."""
        work.state = InboundCallState.ASKING_LEDGER
        work.asked_at = self._process.now
        work.ledger_attempt = f"{self._process.name}.{self._process.life}.{work.token}"
        timeout = min(LEDGER_TIMEOUT_SECONDS, max(0.0, work.deadline - work.asked_at))
        self._ledger.begin(
            work.message.context.key,
            work.ledger_attempt,
            timeout,
            lambda result: self._answered(work, result),
        )

    def _answered(self, work: SimulatedWork, result: LedgerResult | None) -> None:
        if isinstance(result, Granted):
            reason = self._reason_not_to_send(work)
            if reason is None:
                self._send(work)
                return
            self._ledger.cancel(work.message.context.key, work.ledger_attempt)
            self._finish(work, Refused(reason, self._retry_after()))
        elif isinstance(result, Completed):
            self._finish(work, result.answer)
        elif isinstance(result, OutcomeUnknown):
            self._finish(work, Failed(FailureReason.OUTCOME_UNKNOWN, self._retry_after()))
        else:
            self._ledger.cancel(work.message.context.key, work.ledger_attempt)
            self._finish(work, Refused(RefusalReason.LEDGER_UNAVAILABLE, self._retry_after()))

    def _reason_not_to_send(self, work: SimulatedWork) -> RefusalReason | None:
        now = self._process.now
        if work.abandoned:
            return RefusalReason.CANCELLED
        if now >= work.deadline:
            return RefusalReason.DEADLINE
        if now - work.asked_at > GRANT_LEASE_SECONDS:
            return RefusalReason.LEDGER_UNAVAILABLE
        return None
