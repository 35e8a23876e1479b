"""Converts backend records to history events of runs and downstream calls.

Determines when runs and calls end, also for killed backends. Records must be ordered by time.
"""

from collections.abc import Iterable, Iterator, Mapping

from finchshed.common.importance import Importance
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.plan import backend_name
from finchshed.proof.history import (
    Admission,
    CallBegan,
    CallEnded,
    CallResult,
    EndpointLeaving,
    Event,
    Fault,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.standins.records import BackendEvent, BackendRecord

ANSWER_SIGNAL = "answer"
ANSWERS = frozenset({BackendEvent.FINISHED, BackendEvent.FAILED, BackendEvent.REFUSED})
"""Events of a backend that responds to a request."""

RUN_ENDS = {
    BackendEvent.FINISHED: RunResult.FINISHED,
    BackendEvent.FAILED: RunResult.FINISHED,
    BackendEvent.ABORTED: RunResult.CANCELLED,
}


class ServingEvents:
    """Converts the backend records of one run.

    Parameters
    ----------
    sessions
        Session by call, for calls of external callers that belong to a session.

    Attributes
    ----------
    roots
        Root ID by call.
    """

    def __init__(
        self,
        records: Iterable[BackendRecord],
        journal: FaultJournal,
        sessions: Mapping[str, str],
    ) -> None:
        self._records = list(records)
        self._journal = journal
        self._sessions = sessions
        self._runs: dict[str, BackendRecord] = {}
        self._open_runs: dict[str, BackendRecord] = {}
        self._open_calls: dict[str, BackendRecord] = {}
        self._reported_draining: set[str] = set()
        self.roots = {
            record.call: record.root
            for record in self._records
            if record.event is BackendEvent.ARRIVED
        }

    def events(self) -> list[Event]:
        """Return the events of all records."""
        events: list[Event] = []
        for record in self._records:
            events += self._convert(record)
        events += self._crashed_runs()
        return events

    def _convert(self, record: BackendRecord) -> Iterator[Event]:
        yield from self._leaving_signal(record)
        if record.event is BackendEvent.STARTED:
            yield from self._started(record)
        elif record.event in RUN_ENDS:
            yield from self._ended(record)
        elif record.event is BackendEvent.CALL_BEGAN:
            yield from self._call_began(record)
        elif record.event is BackendEvent.CALL_ENDED:
            self._open_calls.pop(record.call, None)
            yield _call_end_event(record, self._time(record))

    def _leaving_signal(self, record: BackendRecord) -> Iterator[Event]:
        """Yield a leaving event for the first response of a draining backend.

        Only the responses announce the drain, so no one can know of it before the first one.
        """
        if record.event is BackendEvent.DRAINING:
            self._reported_draining.discard(record.backend)
            return
        is_reported = record.backend in self._reported_draining
        if record.event in ANSWERS and record.draining_seconds >= 0.0 and not is_reported:
            self._reported_draining.add(record.backend)
            yield EndpointLeaving(self._time(record), record.backend, ANSWER_SIGNAL)

    def _started(self, record: BackendRecord) -> Iterator[Event]:
        self._runs[record.run] = record
        self._open_runs[record.run] = record
        time = self._time(record)
        yield RunBegan(
            time=time,
            run=record.run,
            call=record.call,
            root=record.root,
            service=record.service,
            endpoint=record.backend,
            key=record.key,
            session=self._sessions.get(record.call, ""),
        )
        yield Admission(
            time=time,
            endpoint=record.backend,
            service=record.service,
            root=record.root,
            importance=read_importance(record),
            admitted=True,
        )

    def _ended(self, record: BackendRecord) -> Iterator[Event]:
        self._open_runs.pop(record.run, None)
        time = self._time(record)
        yield from self._abandon_calls(record.run, time)
        yield RunEnded(time, record.run, RUN_ENDS[record.event])

    def _call_began(self, record: BackendRecord) -> Iterator[Event]:
        run = self._runs.get(record.run)
        if run is None:
            return
        self._open_calls[record.call] = record
        yield CallBegan(
            time=self._time(record),
            call=record.call,
            root=run.root,
            service=record.service,
            importance=read_importance(run),
            parent=record.run,
        )

    def _abandon_calls(self, run: str, time: float) -> Iterator[Event]:
        """Yield the end of downstream calls that are open when their run ends."""
        open_calls = [call for call, record in self._open_calls.items() if record.run == run]
        for call in open_calls:
            del self._open_calls[call]
            yield CallEnded(time, call, CallResult.ABANDONED)

    def _crashed_runs(self) -> Iterator[Event]:
        """Yield the end of runs whose backend was killed."""
        kills = [
            event
            for event in self._journal.events
            if isinstance(event, Fault) and event.fault == "kill" and not event.ended
        ]
        for run, record in list(self._open_runs.items()):
            began = self._time(record)
            name = backend_name(record.backend)
            kill_times = [
                kill.time for kill in kills if name in kill.targets and kill.time >= began
            ]
            if kill_times:
                yield from self._abandon_calls(run, min(kill_times))
                yield RunEnded(min(kill_times), run, RunResult.CRASHED)

    def _time(self, record: BackendRecord) -> float:
        return record.at - self._journal.began


def read_importance(record: BackendRecord) -> Importance:
    """Return the importance of the request of a run."""
    return Importance(int(record.importance)) if record.importance else Importance.NORMAL


def _call_end_event(record: BackendRecord, time: float) -> CallEnded:
    result = CallResult.FAILED
    if record.ran == "yes":
        result = CallResult.ANSWERED
    elif record.ran == "no":
        result = CallResult.REFUSED
    return CallEnded(
        time=time,
        call=record.call,
        result=result,
        reason=record.reason,
        status=record.status,
        answer_root=record.root,
        whole=not record.problem,
    )
