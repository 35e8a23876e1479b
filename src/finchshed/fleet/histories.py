"""Builds the history of a run from the records of its processes and the fault journal.

All times come from the machine's monotonic clock and are converted to seconds since the start of
the history.
"""

import pathlib
from collections.abc import Iterable, Iterator

import msgspec

from finchshed import __version__
from finchshed.common.importance import Importance
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Policy
from finchshed.daemon.catalogue import Catalogue
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.scenario import FaultScenario
from finchshed.fleet.serving_events import ServingEvents
from finchshed.proof.history import (
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    ChangeSubmitted,
    Event,
)
from finchshed.proof.history_file import SCHEMA_VERSION, Header, History
from finchshed.standins.operator import OperatorRecord, StandinChangeOutcome
from finchshed.standins.records import (
    AttemptRecord,
    BackendRecord,
    CallerOutcome,
    CallerRecord,
    RecordT,
    read_records,
)

TIMEOUT_REASON = "TimeoutError"
"""Prefix of the reason of an attempt that timed out at its caller."""

CALL_RESULTS = {
    CallerOutcome.ANSWERED: CallResult.ANSWERED,
    CallerOutcome.REFUSED: CallResult.REFUSED,
    CallerOutcome.FAILED: CallResult.FAILED,
}


class RunRecords(msgspec.Struct, frozen=True):
    """Records written by the simulated processes of a run."""

    callers: list[CallerRecord]
    backends: list[BackendRecord]
    operators: list[OperatorRecord]


def read_run_records(plan: FleetPlan, operators: Iterable[str]) -> RunRecords:
    """Read the records of a run; ``operators`` are names of simulated operators."""
    folder = plan.folder / "records"
    callers = [spec.name for spec in plan.specs if spec.role is ProcessRole.CALLER]
    backends = [endpoint.name for endpoint in plan.endpoints]
    return RunRecords(
        callers=_read(folder, callers, CallerRecord),
        backends=sorted(_read(folder, backends, BackendRecord), key=lambda record: record.at),
        operators=_read(folder, operators, OperatorRecord),
    )


def build_history(
    plan: FleetPlan, records: RunRecords, journal: FaultJournal, scenario: FaultScenario, seed: int
) -> History:
    """Build the history of a run from its records and journal."""
    resources = read_declarations(plan.declarations).resources.values()
    catalogue = Catalogue(resources)
    policy = next((item for item in resources if isinstance(item, Policy)), Policy())
    header = Header(
        schema=SCHEMA_VERSION,
        source="fleet",
        scenario=scenario.name,
        seed=seed,
        version=__version__,
        retry_budget=policy.retry_budget,
        leaving_bound_seconds=scenario.leaving_bound_seconds,
        in_force_bound_seconds=scenario.in_force_bound_seconds,
    )
    sessions = {
        attempt.call: record.session
        for record in records.callers
        for attempt in record.attempts
        if record.session
    }
    serving = ServingEvents(records.backends, journal, sessions)
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
    """Yield the calls of external callers; every attempt is a separate call.

    Parameters
    ----------
    roots
        Root ID by call, for calls that reached a backend. Other calls use the root in the
        response or else the caller's request ID.
    """
    for record in records:
        for attempt in record.attempts:
            root = roots.get(attempt.call) or attempt.root or record.request
            yield CallBegan(
                time=attempt.begun - began,
                call=attempt.call,
                root=root,
                service=record.service,
                importance=_find_importance(catalogue, record),
                kind=record.load,
                caller=record.caller,
                key=record.key,
                session=record.session,
            )
            yield _attempt_end_event(attempt, began)


def operator_events(records: Iterable[OperatorRecord], began: float) -> Iterator[Event]:
    """Yield the changes that operators submitted and their results."""
    for record in records:
        time = record.at - began
        if record.outcome is StandinChangeOutcome.SUBMITTED:
            yield ChangeSubmitted(time, record.change_id, record.operator, record.expected_revision)
        else:
            yield ChangeAnswered(time, record.change_id, record.outcome.value, record.revision)


def _read(folder: pathlib.Path, names: Iterable[str], record_type: type[RecordT]) -> list[RecordT]:
    return [
        record for name in names for record in read_records(folder / f"{name}.jsonl", record_type)
    ]


def _find_importance(catalogue: Catalogue, record: CallerRecord) -> Importance:
    matched = catalogue.match(record.service, record.path)
    return Importance.NORMAL if matched is None else matched.route.importance


def _attempt_end_event(attempt: AttemptRecord, began: float) -> CallEnded:
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
