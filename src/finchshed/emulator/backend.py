"""Back ends: slots, a first-in first-out queue, service times, and how they misbehave."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.emulator.clock import Timer
from finchshed.emulator.deployment import ServiceModel
from finchshed.emulator.network import Site
from finchshed.emulator.request import Cancel, Done, Path, SimulatedRequest
from finchshed.emulator.simulation import Simulation
from finchshed.http.status import STATUS_OK, STATUS_SERVICE_UNAVAILABLE
from finchshed.link.digests import digest_of
from finchshed.proof.history import (
    HEADER_ANSWER_DIGEST,
    HEADER_ANSWER_ROOT,
    EndpointLeaving,
    RunBegan,
    RunEnded,
    RunResult,
)

HEADER_DRAINING: Final = "finchshed-draining"
SERVICE_TIME_SHAPE: Final = 8.0
"""Shape of the gamma distribution of service times: coefficient of variation 0.35."""


@dataclass(slots=True)
class Run:
    """One request at a back end, waiting or running."""

    request: SimulatedRequest
    done: Done
    name: str = ""
    timer: Timer | None = None
    began: bool = False
    ended: bool = False
    waiting_for: int = 0
    cancels: list[Cancel] = field(default_factory=list)


class BackEnd:
    """One back end.

    Parameters
    ----------
    endpoint
        Name of the endpoint it is.
    cold_seconds
        After a start, service takes up to ``cold_factor`` times as long, falling to normal over
        this time.
    """

    cold_seconds = 2.0
    cold_factor = 3.0

    def __init__(
        self, simulation: Simulation, endpoint: str, site: Site, model: ServiceModel
    ) -> None:
        self.endpoint = endpoint
        self.service = model.name
        self.site = site
        self.slots = model.slots
        self.connections = model.connections
        self.max_sessions = model.max_sessions
        self.path: Path | None = None
        self.slow_factor = 1.0
        self.draining = False
        self.up = True
        self.frozen = False
        self.fails_fast = False
        self.misreports_idle = False
        self.started_at = -1e9
        self._clock = simulation.clock
        self._random = simulation.streams.python(f"backend/{endpoint}")
        self._recorder = simulation.recorder
        self._queue: deque[Run] = deque()
        self._running: dict[str, Run] = {}
        self._runs = 0
        self._drain_told = False

    @property
    def in_flight(self) -> int:
        """Requests held, running or waiting."""
        return len(self._running) + len(self._queue)

    @property
    def reported_in_flight(self) -> int:
        """What the load endpoint says, which may be a lie."""
        return 0 if self.misreports_idle else self.in_flight

    def serve(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Take a request; ``done`` is called once unless the process crashes or is cancelled."""
        if not self.up:
            done(Refused(RefusalReason.CONNECT_FAILED, 0.1, "connection refused"))
            return _nothing
        if self.fails_fast:
            done(self._answer(request, STATUS_SERVICE_UNAVAILABLE))
            return _nothing
        if self.in_flight >= self.connections:
            done(Refused(RefusalReason.BACKEND_REFUSED, 0.1, "no free connection"))
            return _nothing
        run = Run(request, done)
        if len(self._running) < self.slots and not self.frozen:
            self._begin(run)
        else:
            self._queue.append(run)
        return lambda: self._cancel(run)

    def crash(self) -> None:
        """Lose every request at once."""
        self.up = False
        lost = [*self._running.values(), *self._queue]
        self._running.clear()
        self._queue.clear()
        for run in lost:
            self._stop(run, RunResult.CRASHED)
            run.done(Failed(FailureReason.BACKEND_BROKEN, 0.1, "connection reset"))

    def start(self) -> None:
        """Come up again, cold."""
        self.up = True
        self.frozen = False
        self.draining = False
        self._drain_told = False
        self.started_at = self._clock.now

    def freeze(self) -> None:
        """Stop making progress: nothing begins, nothing ends."""
        self.frozen = True

    def thaw(self) -> None:
        """Go on after a freeze."""
        self.frozen = False
        for run in list(self._running.values()):
            if run.timer is None and run.waiting_for == 0:
                self._finish(run, STATUS_OK)
        self._begin_waiting()

    def drain(self) -> None:
        """Begin to leave: answers carry the drain header from now on."""
        self.draining = True

    def _begin(self, run: Run) -> None:
        request = run.request
        self._runs += 1
        run.name = f"{self.endpoint}#{self._runs}"
        run.began = True
        self._running[run.name] = run
        self._recorder.note(
            RunBegan(
                self._clock.now,
                run.name,
                request.call,
                request.root,
                self.service,
                self.endpoint,
                request.key,
                "" if request.parent else request.session,
            )
        )
        seconds = self._service_seconds(request.hop.seconds)
        run.timer = self._clock.call_later(seconds, self._own_work_done, run)

    def _service_seconds(self, mean: float) -> float:
        scale = mean * self.slow_factor / SERVICE_TIME_SHAPE
        seconds = self._random.gammavariate(SERVICE_TIME_SHAPE, scale)
        age = self._clock.now - self.started_at
        if age < self.cold_seconds:
            seconds *= 1.0 + (self.cold_factor - 1.0) * (1.0 - age / self.cold_seconds)
        return seconds

    def _own_work_done(self, run: Run) -> None:
        run.timer = None
        if run.ended:
            return
        calls = run.request.hop.calls
        if not calls:
            if not self.frozen:
                self._finish(run, STATUS_OK)
            return
        run.waiting_for = len(calls)
        for index in range(len(calls)):
            self._call_on(run, index)

    def _call_on(self, run: Run, index: int) -> None:
        if run.ended or self.path is None:
            return
        request = run.request
        child = SimulatedRequest(
            call=f"{run.name}/{index}",
            root=request.root,
            hop=request.hop.calls[index],
            kind=request.kind,
            importance=request.importance,
            deadline=request.deadline,
            caller=request.caller,
            parent=run.name,
            session=request.session,
            account=request.account,
        )
        self._recorder.call_began(child)
        run.cancels.append(
            self.path.call(child, lambda outcome: self._call_returned(run, child, outcome))
        )

    def _call_returned(self, run: Run, child: SimulatedRequest, outcome: Outcome) -> None:
        self._recorder.call_ended(child.call, outcome)
        if run.ended:
            return
        if not isinstance(outcome, Answered) or outcome.status != STATUS_OK:
            self._finish(run, STATUS_SERVICE_UNAVAILABLE)
            return
        run.waiting_for -= 1
        if run.waiting_for == 0 and not self.frozen:
            self._finish(run, STATUS_OK)

    def _answer(self, request: SimulatedRequest, status: int) -> Answered:
        body = f"{request.root}|{request.call}|{status}".encode()
        headers: tuple[tuple[str, str], ...] = (
            (HEADER_ANSWER_ROOT, request.root),
            (HEADER_ANSWER_DIGEST, digest_of(body)),
        )
        if self.draining:
            headers = (*headers, (HEADER_DRAINING, "1"))
        return Answered(status, headers, body)

    def _finish(self, run: Run, status: int) -> None:
        if run.ended:
            return
        self._running.pop(run.name, None)
        answer = self._answer(run.request, status)
        self._stop(run, RunResult.FINISHED)
        if self.draining and not self._drain_told:
            self._drain_told = True
            self._recorder.note(EndpointLeaving(self._clock.now, self.endpoint, "answer"))
        run.done(answer)
        self._begin_waiting()

    def _cancel(self, run: Run) -> None:
        if run.ended:
            return
        if run.began:
            self._running.pop(run.name, None)
            self._stop(run, RunResult.CANCELLED)
            self._begin_waiting()
            return
        run.ended = True
        if run in self._queue:
            self._queue.remove(run)

    def _stop(self, run: Run, result: RunResult) -> None:
        run.ended = True
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if run.began:
            self._recorder.note(RunEnded(self._clock.now, run.name, result))
        cancels, run.cancels = run.cancels, []
        for cancel in cancels:
            cancel()

    def _begin_waiting(self) -> None:
        while self._queue and len(self._running) < self.slots and self.up and not self.frozen:
            run = self._queue.popleft()
            self._begin(run)


def _nothing() -> None:
    """Cancel a call that has ended already."""
