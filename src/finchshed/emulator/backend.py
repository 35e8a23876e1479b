"""Back ends with slots, a FIFO queue, random service times and injected faults."""

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
"""Shape of the gamma distribution of service times; coefficient of variation 0.35."""


@dataclass(slots=True)
class Run:
    """A request at a back end, queued or running."""

    request: SimulatedRequest
    done: Done
    name: str = ""
    timer: Timer | None = None
    began: bool = False
    ended: bool = False
    pending_calls: int = 0
    cancels: list[Cancel] = field(default_factory=list)


class BackEnd:
    """An emulated back end.

    Parameters
    ----------
    endpoint
        Name of its endpoint.

    Attributes
    ----------
    cold_seconds
        Time after a start in which service times fall from ``cold_factor`` times to normal.
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
        self._drain_announced = False

    @property
    def in_flight(self) -> int:
        """Number of requests, running or queued."""
        return len(self._running) + len(self._queue)

    @property
    def reported_in_flight(self) -> int:
        """Number of requests reported as load, which is 0 under ``Misreport``."""
        return 0 if self.misreports_idle else self.in_flight

    def serve(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Run or queue a request; calls ``done`` once unless the request is cancelled."""
        if not self.up:
            done(Refused(RefusalReason.CONNECT_FAILED, 0.1, "connection refused"))
            return _cancel_nothing
        if self.fails_fast:
            done(self._answer(request, STATUS_SERVICE_UNAVAILABLE))
            return _cancel_nothing
        if self.in_flight >= self.connections:
            done(Refused(RefusalReason.BACKEND_REFUSED, 0.1, "no free connection"))
            return _cancel_nothing
        run = Run(request, done)
        if len(self._running) < self.slots and not self.frozen:
            self._begin(run)
        else:
            self._queue.append(run)
        return lambda: self._cancel(run)

    def crash(self) -> None:
        """Crash: fail all requests at once."""
        self.up = False
        lost = [*self._running.values(), *self._queue]
        self._running.clear()
        self._queue.clear()
        for run in lost:
            self._stop(run, RunResult.CRASHED)
            run.done(Failed(FailureReason.BACKEND_BROKEN, 0.1, "connection reset"))

    def start(self) -> None:
        """Start with cold service times."""
        self.up = True
        self.frozen = False
        self.draining = False
        self._drain_announced = False
        self.started_at = self._clock.now

    def freeze(self) -> None:
        """Suspend all requests: none starts and none finishes."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume after a freeze."""
        self.frozen = False
        for run in list(self._running.values()):
            if run.timer is None and run.pending_calls == 0:
                self._finish(run, STATUS_OK)
        self._start_queued_runs()

    def drain(self) -> None:
        """Start draining: answers carry the drain header from now on."""
        self.draining = True

    def _begin(self, run: Run) -> None:
        request = run.request
        self._runs += 1
        run.name = f"{self.endpoint}#{self._runs}"
        run.began = True
        self._running[run.name] = run
        self._recorder.record(
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
        run.timer = self._clock.call_later(seconds, self._on_service_time_elapsed, run)

    def _service_seconds(self, mean: float) -> float:
        scale = mean * self.slow_factor / SERVICE_TIME_SHAPE
        seconds = self._random.gammavariate(SERVICE_TIME_SHAPE, scale)
        age = self._clock.now - self.started_at
        if age < self.cold_seconds:
            seconds *= 1.0 + (self.cold_factor - 1.0) * (1.0 - age / self.cold_seconds)
        return seconds

    def _on_service_time_elapsed(self, run: Run) -> None:
        run.timer = None
        if run.ended:
            return
        calls = run.request.hop.calls
        if not calls:
            if not self.frozen:
                self._finish(run, STATUS_OK)
            return
        run.pending_calls = len(calls)
        for index in range(len(calls)):
            self._start_nested_call(run, index)

    def _start_nested_call(self, run: Run, index: int) -> None:
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
        run.pending_calls -= 1
        if run.pending_calls == 0 and not self.frozen:
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
        if self.draining and not self._drain_announced:
            self._drain_announced = True
            self._recorder.record(EndpointLeaving(self._clock.now, self.endpoint, "answer"))
        run.done(answer)
        self._start_queued_runs()

    def _cancel(self, run: Run) -> None:
        if run.ended:
            return
        if run.began:
            self._running.pop(run.name, None)
            self._stop(run, RunResult.CANCELLED)
            self._start_queued_runs()
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
            self._recorder.record(RunEnded(self._clock.now, run.name, result))
        cancels, run.cancels = run.cancels, []
        for cancel in cancels:
            cancel()

    def _start_queued_runs(self) -> None:
        while self._queue and len(self._running) < self.slots and self.up and not self.frozen:
            run = self._queue.popleft()
            self._begin(run)


def _cancel_nothing() -> None:
    """Cancel function of a call that has already ended."""
