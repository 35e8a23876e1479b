"""Records the events of a run in the schema of :mod:`finchshed.proof.history`."""

from collections.abc import Callable

from finchshed.common.outcomes import Answered, Outcome, Refused
from finchshed.emulator.clock import Clock
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.digests import digest_of
from finchshed.proof.history import (
    HEADER_ANSWER_DIGEST,
    HEADER_ANSWER_ROOT,
    CallBegan,
    CallEnded,
    CallResult,
    Event,
)
from finchshed.proof.history_file import Header, History


class Recorder:
    """Collects the events of one run."""

    def __init__(self, clock: Clock, header: Header) -> None:
        self._clock = clock
        self.history = History(header, [])
        self.record: Callable[[Event], None] = self.history.events.append

    @property
    def now(self) -> float:
        """Current simulated time, seconds."""
        return self._clock.now

    def call_began(self, request: SimulatedRequest) -> None:
        """Record the start of a call."""
        self.record(
            CallBegan(
                self._clock.now,
                request.call,
                request.root,
                request.hop.service,
                request.importance,
                request.kind,
                request.caller,
                request.parent,
                request.key,
                request.session,
            )
        )

    def call_ended(self, call: str, outcome: Outcome) -> None:
        """Record the outcome of a call."""
        now = self._clock.now
        if isinstance(outcome, Answered):
            self.record(_answered(now, call, outcome))
            return
        result = CallResult.REFUSED if isinstance(outcome, Refused) else CallResult.FAILED
        self.record(
            CallEnded(
                now, call, result, outcome.reason.value, retry_after=round(outcome.retry_after, 6)
            )
        )

    def call_abandoned(self, call: str) -> None:
        """Record that the caller stopped waiting for a call."""
        self.record(CallEnded(self._clock.now, call, CallResult.ABANDONED))


def _answered(now: float, call: str, answer: Answered) -> CallEnded:
    headers = dict(answer.headers)
    digest = digest_of(answer.body)
    return CallEnded(
        now,
        call,
        CallResult.ANSWERED,
        status=answer.status,
        answer_root=headers.get(HEADER_ANSWER_ROOT, ""),
        whole=headers.get(HEADER_ANSWER_DIGEST, "") == digest,
        answer_digest=digest,
    )
