"""At-most-once execution of non-repeatable requests, based on the ledger.

The order of steps guarantees that a request runs at most once and that "did not run" is true:

1. A quorum commits ``begin`` for this attempt before any byte is sent to the back end.
2. After the grant, deadline, grant age and cancellation are checked again, in case the process was
   suspended. An attempt that isn't sent is cancelled in the ledger.
3. ``complete`` records the complete answer, which any resend receives.

An attempt that was sent without a complete answer stays begun: a resend fails with an unknown
outcome and doesn't run.
"""

import random
import secrets
from collections.abc import Callable
from typing import TypeAlias

from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.daemon import metrics
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.daemon.serving.ledger_port import (
    LedgerAnswer,
    LedgerPort,
    fingerprint_of,
    stored_answer,
    with_fingerprint,
)
from finchshed.daemon.settings import DaemonSettings
from finchshed.distribution.messages import (
    LedgerCompleted,
    LedgerGranted,
    LedgerRefused,
    LedgerUnknown,
)
from finchshed.ledger.results import LedgerRefusalReason
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

ATTEMPT_ID_BYTES = 12
"""Random bytes in an attempt's identity; enough to make collisions negligible."""

CANCEL_TIMEOUT_SECONDS = 30.0
"""How long cancelling an unsent attempt is retried."""

_INVALID_KEY = frozenset(
    {LedgerRefusalReason.NO_TIME_IN_KEY.value, LedgerRefusalReason.MADE_IN_THE_FUTURE.value}
)

SendCallback: TypeAlias = Callable[[InboundCall], None]
FinishCallback: TypeAlias = Callable[[InboundCall, Outcome], None]


class AtMostOnceRunner:
    """Obtains ledger grants for non-repeatable calls and records their answers."""

    def __init__(self, settings: DaemonSettings, ledger: LedgerPort, rng: random.Random) -> None:
        self._settings = settings
        self._ledger = ledger
        self._rng = rng

    def begin(self, inbound: InboundCall, send: SendCallback, finish: FinishCallback) -> None:
        """Request a grant for a call; call ``send`` if granted, ``finish`` if not."""
        inbound.attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        asked_at = clock.now()
        timeout = min(self._settings.ledger_timeout_seconds, max(0.0, inbound.deadline - asked_at))

        def answered(answer: LedgerAnswer | None) -> None:
            metrics.LEDGER_DELAY.observe(clock.now() - asked_at)
            self._on_answer(inbound, answer, asked_at, send, finish)

        self._ledger.begin(inbound.ledger_key, inbound.attempt, timeout, answered)

    def record(self, inbound: InboundCall, outcome: Outcome, finish: FinishCallback) -> None:
        """Record the outcome of a sent attempt, then call ``finish``.

        The answer is held until it is recorded or the ledger times out, so that a later resend
        receives the same answer.
        """
        if isinstance(outcome, Answered):
            stored = with_fingerprint(outcome, self._fingerprint(inbound))
            self._ledger.complete(
                inbound.ledger_key,
                inbound.attempt,
                stored,
                timeout=self._settings.ledger_timeout_seconds,
                done=lambda _answer: finish(inbound, outcome),
            )
            return
        if isinstance(outcome, Refused):
            self._cancel(inbound)
        finish(inbound, outcome)

    def _on_answer(
        self,
        inbound: InboundCall,
        answer: LedgerAnswer | None,
        asked_at: float,
        send: SendCallback,
        finish: FinishCallback,
    ) -> None:
        if isinstance(answer, LedgerGranted):
            self._on_granted(inbound, asked_at, send, finish)
        elif isinstance(answer, LedgerCompleted):
            finish(inbound, self._replayed(inbound, answer.answer))
        elif isinstance(answer, LedgerUnknown):
            finish(inbound, Failed(FailureReason.OUTCOME_UNKNOWN, retry_after(1.0, self._rng)))
        elif isinstance(answer, LedgerRefused):
            finish(inbound, self._refusal(_refusal_reason(answer), answer.detail))
        else:
            # No grant in time: the attempt is never sent, and the ledger client cancels it.
            finish(
                inbound,
                self._refusal(RefusalReason.LEDGER_UNAVAILABLE, "no answer in time"),
            )

    def _on_granted(
        self, inbound: InboundCall, asked_at: float, send: SendCallback, finish: FinishCallback
    ) -> None:
        now = clock.now()
        if inbound.abandoned:
            reason = RefusalReason.CANCELLED
        elif now >= inbound.deadline:
            reason = RefusalReason.DEADLINE
        elif now - asked_at > self._settings.grant_lease_seconds:
            reason = RefusalReason.LEDGER_UNAVAILABLE
        else:
            send(inbound)
            return
        self._cancel(inbound)
        finish(inbound, self._refusal(reason, "the grant was not used"))

    def _replayed(self, inbound: InboundCall, answer: Answered) -> Outcome:
        replayed = stored_answer(answer, self._fingerprint(inbound))
        if replayed is not None:
            return replayed
        return self._refusal(RefusalReason.KEY_REUSED, "the key was used for another request")

    def _cancel(self, inbound: InboundCall) -> None:
        self._ledger.cancel(inbound.ledger_key, inbound.attempt, CANCEL_TIMEOUT_SECONDS)

    def _fingerprint(self, inbound: InboundCall) -> str:
        return fingerprint_of(inbound.call.method, inbound.call.path, inbound.call.body)

    def _refusal(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)


def _refusal_reason(refused: LedgerRefused) -> RefusalReason:
    """Return the refusal reason that corresponds to the ledger's."""
    if refused.detail in _INVALID_KEY:
        return RefusalReason.KEY_INVALID
    if refused.expired:
        return RefusalReason.KEY_EXPIRED
    return RefusalReason.LEDGER_UNAVAILABLE
