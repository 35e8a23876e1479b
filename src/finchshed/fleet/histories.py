"""Puts the records of a run together to one history, which checkers of any run can judge.

Sources: what callers and back ends wrote, what operators were told, and the fault layer's journal.
All times come from the monotonic clock of the one machine and are made relative to the start.
"""

import pathlib
from collections.abc import Iterable, Iterator

import msgspec

from finchshed.common.importance import Importance
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Policy
from finchshed.daemon.catalogue import Catalogue
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.plan import FleetPlan, backend_name
from finchshed.fleet.processes import Role
from finchshed.proof.history import (
    SCHEMA_VERSION,
    Admission,
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    ChangeSubmitted,
    Event,
    Fault,
    Header,
    History,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.standins.operator import ChangeOutcome, OperatorRecord
from finchshed.standins.records import (
    AttemptRecord,
    BackendEvent,
    BackendRecord,
    CallerOutcome,
    CallerRecord,
    RecordT,
    read_records,
)

TIMEOUT_REASON = "TimeoutError"
"""How the reason of an attempt begins that its caller gave up."""

RUN_ENDS = {
    BackendEvent.FINISHED: RunResult.FINISHED,
    BackendEvent.FAILED: RunResult.FINISHED,
    BackendEvent.ABORTED: RunResult.CANCELLED,
}

CALL_RESULTS = {
    CallerOutcome.ANSWERED: CallResult.ANSWERED,
    CallerOutcome.REFUSED: CallResult.REFUSED,
    CallerOutcome.FAILED: CallResult.FAILED,
}


class Records(msgspec.Struct, frozen=True):
    """What the stand-ins of a run wrote."""

    callers: list[CallerRecord]
    backends: list[BackendRecord]
    operators: list[OperatorRecord]


def read_all(plan: FleetPlan, operators: Iterable[str]) -> Records:
    """Read the records of a run's stand-ins; ``operators`` are names of stand-in operators."""
    folder = plan.folder / "records"
    callers = [spec.name for spec in plan.specs if spec.role is Role.CALLER]
    backends = [endpoint.name for endpoint in plan.endpoints]
    return Records(
        callers=_read(folder, callers, CallerRecord),
        backends=sorted(_read(folder, backends, BackendRecord), key=lambda record: record.at),
        operators=_read(folder, operators, OperatorRecord),
    )


def build_history(
    plan: FleetPlan, records: Records, journal: FaultJournal, scenario: str, seed: int
) -> History:
    """Return the history of a run."""
    resources = read_declarations(plan.declarations).resources.values()
    catalogue = Catalogue(resources)
    policy = next((item for item in resources if isinstance(item, Policy)), Policy())
    header = Header(
        schema=SCHEMA_VERSION,
        source="fleet",
        scenario=scenario,
        seed=seed,
        version="",
        retry_budget=policy.retry_budget,
    )
    serving = ServingEvents(records.backends, journal)
    events = [
        *journal.events,
        *serving.events(),
        *caller_events(records.callers, serving.roots, catalogue, journal.began),
        *operator_events(records.operators, journal.began),
    ]
    events.sort(key=lambda event: event.time)
    return History(header, events)


def caller_events(
    records: Iterable[CallerRecord], roots: dict[str, str], catalogue: Catalogue, began: float
) -> Iterator[Event]:
    """Yield the calls that outside callers made; every attempt is a call of its own.

    Parameters
    ----------
    roots
        Root identity by name of the call, as far as a back end got to see the call. A request
        that no back end saw is named by its caller's own name of it.
    """
    for record in records:
        for attempt in record.attempts:
            root = roots.get(attempt.call) or attempt.root or record.request
            yield CallBegan(
                time=attempt.begun - began,
                call=attempt.call,
                root=root,
                service=record.service,
                importance=_importance_of(catalogue, record),
                kind=record.load,
                caller=record.caller,
                key=record.key,
                session=record.session,
            )
            yield _attempt_ended(attempt, began)


def operator_events(records: Iterable[OperatorRecord], began: float) -> Iterator[Event]:
    """Yield what operators submitted and were told."""
    for record in records:
        time = record.at - began
        if record.outcome is ChangeOutcome.SUBMITTED:
            yield ChangeSubmitted(time, record.change_id, record.operator, record.expected_revision)
        else:
            yield ChangeAnswered(time, record.change_id, record.outcome.value, record.revision)


class ServingEvents:
    """What back ends ran, and the calls they made on.

    Attributes
    ----------
    roots
        Root identity by name of the call.
    """

    def __init__(self, records: Iterable[BackendRecord], journal: FaultJournal) -> None:
        self._records = list(records)
        self._journal = journal
        self._runs: dict[str, BackendRecord] = {}
        self._open_runs: dict[str, BackendRecord] = {}
        self._open_calls: dict[str, BackendRecord] = {}
        self.roots = {
            record.call: record.root
            for record in self._records
            if record.event is BackendEvent.ARRIVED
        }

    def events(self) -> list[Event]:
        """Return the events of all records."""
        events: list[Event] = []
        for record in self._records:
            events += self._events_of(record)
        events += self._crashes()
        return events

    def _events_of(self, record: BackendRecord) -> Iterator[Event]:
        if record.event is BackendEvent.STARTED:
            yield from self._started(record)
        elif record.event in RUN_ENDS:
            yield from self._ended(record)
        elif record.event is BackendEvent.CALL_BEGAN:
            yield from self._call_began(record)
        elif record.event is BackendEvent.CALL_ENDED:
            self._open_calls.pop(record.call, None)
            yield _nested_ended(record, self._time(record))

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
        )
        yield Admission(
            time=time,
            endpoint=record.backend,
            service=record.service,
            root=record.root,
            importance=importance_of(record),
            admitted=True,
        )

    def _ended(self, record: BackendRecord) -> Iterator[Event]:
        self._open_runs.pop(record.run, None)
        time = self._time(record)
        yield from self._abandon_calls_of(record.run, time)
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
            importance=importance_of(run),
            parent=record.run,
        )

    def _abandon_calls_of(self, run: str, time: float) -> Iterator[Event]:
        """Yield the end of calls that a run made on and did not wait for."""
        left = [call for call, record in self._open_calls.items() if record.run == run]
        for call in left:
            del self._open_calls[call]
            yield CallEnded(time, call, CallResult.ABANDONED)

    def _crashes(self) -> Iterator[Event]:
        """Yield the end of runs that a kill of their back end ended."""
        kills = [
            event
            for event in self._journal.events
            if isinstance(event, Fault) and event.fault == "kill" and not event.ended
        ]
        for run, record in list(self._open_runs.items()):
            began = self._time(record)
            name = backend_name(record.backend)
            times = [kill.time for kill in kills if name in kill.targets and kill.time >= began]
            if times:
                yield from self._abandon_calls_of(run, min(times))
                yield RunEnded(min(times), run, RunResult.CRASHED)

    def _time(self, record: BackendRecord) -> float:
        return record.at - self._journal.began


def importance_of(record: BackendRecord) -> Importance:
    """Return the importance a run was sent with."""
    return Importance(int(record.importance)) if record.importance else Importance.NORMAL


def _read(folder: pathlib.Path, names: Iterable[str], record_type: type[RecordT]) -> list[RecordT]:
    return [
        record for name in names for record in read_records(folder / f"{name}.jsonl", record_type)
    ]


def _importance_of(catalogue: Catalogue, record: CallerRecord) -> Importance:
    matched = catalogue.match(record.service, record.path)
    return Importance.NORMAL if matched is None else matched.route.importance


def _attempt_ended(attempt: AttemptRecord, began: float) -> CallEnded:
    result = CALL_RESULTS[attempt.outcome]
    if attempt.status == 0 and attempt.reason.startswith(TIMEOUT_REASON):
        result = CallResult.ABANDONED
    return CallEnded(
        time=attempt.ended - began,
        call=attempt.call,
        result=result,
        reason=attempt.reason,
        status=attempt.status,
        answer_root=attempt.root,
        whole=not attempt.problem,
        answer_digest=attempt.digest,
        retry_after=attempt.retry_after,
    )


def _nested_ended(record: BackendRecord, time: float) -> CallEnded:
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
