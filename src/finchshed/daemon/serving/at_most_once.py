"""Requests that may not be repeated: leave from the ledger before the send, a record after it.

The order of steps is what makes "at most once" and "did not run" true:

1. ``begin`` is committed by a quorum for this attempt alone, before any byte goes to the back end.
2. After the grant the deadline, the grant's age and the caller are looked at again: a process that
   was frozen in between doesn't send late. An attempt not sent is cancelled.
3. ``complete`` is recorded with the whole answer; a resend gets that answer.

An attempt that was sent and has no whole answer stays begun: a resend is answered that the outcome
is unknown and nothing runs again.
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
"""Random bytes of an attempt's identity in the ledger: no two attempts have the same."""

CANCEL_TIMEOUT_SECONDS = 30.0
"""Seconds for which the cancel of an attempt that was not sent is tried; chosen, not measured."""

_INVALID_KEY = frozenset(
    {LedgerRefusalReason.NO_TIME_IN_KEY.value, LedgerRefusalReason.MADE_IN_THE_FUTURE.value}
)

SendCallback: TypeAlias = Callable[[InboundCall], None]
FinishCallback: TypeAlias = Callable[[InboundCall, Outcome], None]


class AtMostOnceRunner:
    """Asks the ledger on behalf of calls that may not be repeated."""

    def __init__(self, settings: DaemonSettings, ledger: LedgerPort, rng: random.Random) -> None:
        self._settings = settings
        self._ledger = ledger
        self._rng = rng

    def begin(self, work: InboundCall, send: SendCallback, finish: FinishCallback) -> None:
        """Ask leave to run ``work``; call ``send`` if granted, ``finish`` if not."""
        work.attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        asked_at = clock.now()
        timeout = min(self._settings.ledger_timeout_seconds, max(0.0, work.deadline - asked_at))

        def answered(answer: LedgerAnswer | None) -> None:
            metrics.LEDGER_DELAY.observe(clock.now() - asked_at)
            self._on_answer(work, answer, asked_at, send, finish)

        self._ledger.begin(work.ledger_key, work.attempt, timeout, answered)

    def record(self, work: InboundCall, outcome: Outcome, finish: FinishCallback) -> None:
        """Record what became of a sent attempt, then call ``finish``.

        The answer waits for the record, so that a resend made after it gets the same answer; it
        waits no longer than the ledger's timeout.
        """
        if isinstance(outcome, Answered):
            stored = with_fingerprint(outcome, self._fingerprint(work))
            self._ledger.complete(
                work.ledger_key,
                work.attempt,
                stored,
                timeout=self._settings.ledger_timeout_seconds,
                done=lambda _answer: finish(work, outcome),
            )
            return
        if isinstance(outcome, Refused):
            self._cancel(work)
        finish(work, outcome)

    def _on_answer(
        self,
        work: InboundCall,
        answer: LedgerAnswer | None,
        asked_at: float,
        send: SendCallback,
        finish: FinishCallback,
    ) -> None:
        if isinstance(answer, LedgerGranted):
            self._on_granted(work, asked_at, send, finish)
        elif isinstance(answer, LedgerCompleted):
            finish(work, self._replayed(work, answer.answer))
        elif isinstance(answer, LedgerUnknown):
            finish(work, Failed(FailureReason.OUTCOME_UNKNOWN, retry_after(1.0, self._rng)))
        elif isinstance(answer, LedgerRefused):
            finish(work, self._refused(_refusal_reason(answer), answer.detail))
        else:
            # Nothing was granted in time: the attempt is never sent, and the port frees its key.
            finish(work, self._refused(RefusalReason.LEDGER_UNAVAILABLE, "no answer in time"))

    def _on_granted(
        self, work: InboundCall, asked_at: float, send: SendCallback, finish: FinishCallback
    ) -> None:
        now = clock.now()
        if work.abandoned:
            reason = RefusalReason.CANCELLED
        elif now >= work.deadline:
            reason = RefusalReason.DEADLINE
        elif now - asked_at > self._settings.grant_lease_seconds:
            reason = RefusalReason.LEDGER_UNAVAILABLE
        else:
            send(work)
            return
        self._cancel(work)
        finish(work, self._refused(reason, "the grant was not used"))

    def _replayed(self, work: InboundCall, answer: Answered) -> Outcome:
        replayed = stored_answer(answer, self._fingerprint(work))
        if replayed is not None:
            return replayed
        return self._refused(RefusalReason.KEY_REUSED, "the key was used for another request")

    def _cancel(self, work: InboundCall) -> None:
        self._ledger.cancel(work.ledger_key, work.attempt, CANCEL_TIMEOUT_SECONDS)

    def _fingerprint(self, work: InboundCall) -> str:
        return fingerprint_of(work.call.method, work.call.path, work.call.body)

    def _refused(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)


def _refusal_reason(refused: LedgerRefused) -> RefusalReason:
    """Return the reason for the caller; what the ledger says of a key is final."""
    if refused.detail in _INVALID_KEY:
        return RefusalReason.KEY_INVALID
    if refused.expired:
        return RefusalReason.KEY_EXPIRED
    return RefusalReason.LEDGER_UNAVAILABLE
