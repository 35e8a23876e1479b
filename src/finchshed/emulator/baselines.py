"""What a deployment does without finchshed: the baselines of the experiments.

``none``
    Calls go to a back end of the service at random; nothing is refused but by full connections,
    and only clients repeat.
``fixed-retries``
    The same, and every hop repeats a failed call up to three times, with a timeout per attempt.
``static-limit``
    Every back end has a fixed limit of its slots and a first-in first-out queue as long; what is
    over it is refused. Every hop repeats a refused call once.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.clock import Timer
from finchshed.emulator.network import Site
from finchshed.emulator.request import Cancel, Done, SimulatedRequest
from finchshed.emulator.simulation import Simulation

Serve = Callable[[SimulatedRequest, Done], Cancel]


class BaselinePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What a baseline does.

    Attributes
    ----------
    hop_retries
        Times a hop repeats a failed call.
    attempt_timeout_seconds
        Time after which a hop gives up on an attempt.
    static_limit
        Whether back ends have a fixed limit.
    """

    hop_retries: int
    attempt_timeout_seconds: float
    static_limit: bool


POLICIES: Final = {
    "none": BaselinePolicy(hop_retries=0, attempt_timeout_seconds=1e9, static_limit=False),
    "fixed-retries": BaselinePolicy(hop_retries=3, attempt_timeout_seconds=1.0, static_limit=False),
    "static-limit": BaselinePolicy(hop_retries=1, attempt_timeout_seconds=1e9, static_limit=True),
}


class StaticLimiter:
    """A fixed limit of requests in flight and a queue as long, first in first out."""

    def __init__(self, back_end: BackEnd) -> None:
        self._back_end = back_end
        self._in_flight = 0
        self._queue: deque[tuple[SimulatedRequest, Done]] = deque()

    def serve(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Run, queue or refuse a request."""
        if self._in_flight < self._back_end.slots:
            self._start(request, done)
        elif len(self._queue) < self._back_end.slots:
            self._queue.append((request, done))
        else:
            done(Refused(RefusalReason.QUEUE_FULL, 0.1))
        return _ignore

    def _start(self, request: SimulatedRequest, done: Done) -> None:
        self._in_flight += 1

        def finished(outcome: Outcome) -> None:
            self._in_flight -= 1
            done(outcome)
            if self._queue:
                self._start(*self._queue.popleft())

        self._back_end.serve(request, finished)


@dataclass(slots=True)
class _Call:
    """One call of a hop, over its attempts."""

    request: SimulatedRequest
    done: Done
    retries_left: int
    attempt: int = 0
    ended: bool = False
    timer: Timer | None = None


class BaselinePath:
    """The calling side of a baseline at one site."""

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        policy: BaselinePolicy,
        servers: dict[str, list[tuple[Site, Serve]]],
    ) -> None:
        self._site = site
        self._policy = policy
        self._servers = servers
        self._clock = simulation.clock
        self._network = simulation.network
        self._random = simulation.streams.python(f"baseline/{site.node}")

    def call(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Send ``request`` to a back end at random, and again as the policy says."""
        call = _Call(request, done, self._policy.hop_retries)
        self._attempt(call)
        return _ignore

    def _attempt(self, call: _Call) -> None:
        call.attempt += 1
        attempt = call.attempt
        target, serve = self._random.choice(self._servers[call.request.hop.service])

        def arrive() -> None:
            serve(call.request, answer)

        def answer(outcome: Outcome) -> None:
            self._network.send(target, self._site, lambda: self._outcome(call, attempt, outcome))

        self._network.send(self._site, target, arrive)
        if self._policy.attempt_timeout_seconds < 1e8:
            call.timer = self._clock.call_later(
                self._policy.attempt_timeout_seconds, self._timed_out, call, attempt
            )

    def _timed_out(self, call: _Call, attempt: int) -> None:
        self._outcome(call, attempt, Failed(FailureReason.DEADLINE, 0.1))

    def _outcome(self, call: _Call, attempt: int, outcome: Outcome) -> None:
        if call.ended or attempt != call.attempt:
            return
        if call.timer is not None:
            call.timer.cancel()
        succeeded = isinstance(outcome, Answered) and outcome.status == 200
        if not succeeded and call.retries_left > 0:
            call.retries_left -= 1
            self._attempt(call)
            return
        call.ended = True
        call.done(outcome)


def _ignore() -> None:
    """Cancel nothing: baselines let abandoned work run on."""
