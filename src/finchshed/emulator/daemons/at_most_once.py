"""Requests a ledger grant before a non-repeatable request runs.

Counterpart of :mod:`finchshed.daemon.serving.at_most_once`.
"""

from collections.abc import Callable
from typing import Final

from finchshed.common.outcomes import Failed, FailureReason, Outcome, RefusalReason, Refused
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.emulator.daemons.inbound_call import SimulatedInboundCall
from finchshed.emulator.daemons.ledger_client import LedgerClient
from finchshed.emulator.daemons.process import Process
from finchshed.ledger.results import Completed, Granted, LedgerResult, OutcomeUnknown

LEDGER_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a ledger request; the default in a daemon's settings."""

GRANT_LEASE_SECONDS: Final = 2.0
"""A grant requested longer ago than this isn't used; the default in a daemon's settings."""


class AtMostOnceStart:
    """Starts non-repeatable calls once the ledger has granted them."""

    def __init__(
        self,
        process: Process,
        ledger: LedgerClient,
        *,
        send: Callable[[SimulatedInboundCall], None],
        finish: Callable[[SimulatedInboundCall, Outcome], None],
        retry_after: Callable[[], float],
    ) -> None:
        self._process = process
        self._ledger = ledger
        self._send = send
        self._finish = finish
        self._retry_after = retry_after

    def request_grant(self, inbound: SimulatedInboundCall) -> None:
        """Request a grant from the ledger; the call is sent or finished when it answers."""
        inbound.state = InboundCallState.ASKING_LEDGER
        inbound.ledger_requested_at = self._process.now
        inbound.ledger_attempt = f"{self._process.name}.{self._process.generation}.{inbound.token}"
        timeout = min(
            LEDGER_TIMEOUT_SECONDS, max(0.0, inbound.deadline - inbound.ledger_requested_at)
        )
        self._ledger.begin(
            inbound.message.context.key,
            inbound.ledger_attempt,
            timeout,
            lambda result: self._on_ledger_result(inbound, result),
        )

    def _on_ledger_result(self, inbound: SimulatedInboundCall, result: LedgerResult | None) -> None:
        if isinstance(result, Granted):
            reason = self._refusal_before_send(inbound)
            if reason is None:
                self._send(inbound)
                return
            self._ledger.cancel(inbound.message.context.key, inbound.ledger_attempt)
            self._finish(inbound, Refused(reason, self._retry_after()))
        elif isinstance(result, Completed):
            self._finish(inbound, result.answer)
        elif isinstance(result, OutcomeUnknown):
            self._finish(inbound, Failed(FailureReason.OUTCOME_UNKNOWN, self._retry_after()))
        else:
            self._ledger.cancel(inbound.message.context.key, inbound.ledger_attempt)
            self._finish(inbound, Refused(RefusalReason.LEDGER_UNAVAILABLE, self._retry_after()))

    def _refusal_before_send(self, inbound: SimulatedInboundCall) -> RefusalReason | None:
        now = self._process.now
        if inbound.is_cancelled:
            return RefusalReason.CANCELLED
        if now >= inbound.deadline:
            return RefusalReason.DEADLINE
        if now - inbound.ledger_requested_at > GRANT_LEASE_SECONDS:
            return RefusalReason.LEDGER_UNAVAILABLE
        return None
