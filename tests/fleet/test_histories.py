import pathlib

from finchshed.common.importance import Importance
from finchshed.configuration.resources import Route, Service
from finchshed.daemon.catalogue import Catalogue
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.histories import RunRecords, build_history, caller_events, operator_events
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.planner import Planner
from finchshed.fleet.scenario import FaultScenario
from finchshed.fleet.serving_events import ServingEvents
from finchshed.proof.history import (
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    ChangeSubmitted,
    EndpointLeaving,
    Event,
    Fault,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.standins.operator import OperatorRecord, StandinChangeOutcome
from finchshed.standins.records import (
    AttemptRecord,
    BackendEvent,
    BackendRecord,
    CallerOutcome,
    CallerRecord,
)
from finchshed.standins.settings import Phase

BEGAN = 100.0
SMALL = pathlib.Path(__file__).parent / "small"


def backend_record(at: float, event: BackendEvent, **more: object) -> BackendRecord:
    fields = {"run": "one:1:1", "call": "officers-1.0", "root": "r", "importance": "3", **more}
    return BackendRecord(at=BEGAN + at, backend="one", event=event, **fields)  # type: ignore[arg-type]


def serving_events_of(records: list[BackendRecord], *faults: Fault) -> list[Event]:
    journal = FaultJournal(BEGAN)
    journal.events += faults
    return ServingEvents(records, journal, {"download-0/0": "s"}).events()


def of_type(events: list[Event], kind: type) -> list[Event]:
    return [event for event in events if isinstance(event, kind)]


def test_downstream_call_inherits_root_and_importance_of_its_run() -> None:
    nested = {"call": "one:1:1/0", "service": "two", "root": "", "importance": ""}
    events = serving_events_of(
        [
            backend_record(1.0, BackendEvent.STARTED, service="first"),
            backend_record(1.1, BackendEvent.CALL_BEGAN, **nested),
            backend_record(1.2, BackendEvent.CALL_ENDED, **{**nested, "ran": "no", "reason": "x"}),
            backend_record(1.3, BackendEvent.FINISHED),
        ]
    )
    (call,) = of_type(events, CallBegan)
    assert (call.root, call.importance, call.parent) == ("r", Importance.CRITICAL, "one:1:1")
    (ended,) = of_type(events, CallEnded)
    assert (ended.result, ended.reason) == (CallResult.REFUSED, "x")
    (run_ended,) = of_type(events, RunEnded)
    assert (run_ended.run, run_ended.result) == ("one:1:1", RunResult.FINISHED)


def test_kill_ends_open_runs_and_their_calls() -> None:
    kill = Fault(2.0, "kill", ("one-backend",))
    other = Fault(1.5, "kill", ("two-backend",))
    events = serving_events_of(
        [
            backend_record(1.0, BackendEvent.STARTED),
            backend_record(1.1, BackendEvent.CALL_BEGAN, call="one:1:1/0"),
        ],
        other,
        kill,
    )
    assert of_type(events, RunEnded) == [RunEnded(2.0, "one:1:1", RunResult.CRASHED)]
    assert of_type(events, CallEnded) == [CallEnded(2.0, "one:1:1/0", CallResult.ABANDONED)]


def test_first_answer_of_a_draining_backend_is_its_leaving_signal() -> None:
    events = serving_events_of(
        [
            backend_record(1.0, BackendEvent.STARTED),
            backend_record(1.5, BackendEvent.DRAINING, run=""),
            backend_record(2.0, BackendEvent.FINISHED, draining_seconds=0.5),
            backend_record(2.5, BackendEvent.REFUSED, draining_seconds=1.0),
            backend_record(9.0, BackendEvent.DRAINING, run=""),
            backend_record(9.5, BackendEvent.REFUSED, draining_seconds=0.5),
        ]
    )
    signs = of_type(events, EndpointLeaving)
    assert [(round(sign.time, 3), sign.endpoint, sign.sign) for sign in signs] == [
        (2.0, "one", "answer"),
        (9.5, "one", "answer"),
    ]


def test_open_run_has_no_end_event() -> None:
    events = serving_events_of([backend_record(1.0, BackendEvent.STARTED)])
    assert len(of_type(events, RunBegan)) == 1
    assert not of_type(events, RunEnded)


def attempt(number: int, outcome: CallerOutcome, **more: object) -> AttemptRecord:
    fields = {"begun": BEGAN, "ended": BEGAN + 1.0, "ran": "unknown", "status": 503, **more}
    call = f"officers-1.{number}"
    return AttemptRecord(call=call, edge="e", outcome=outcome, **fields)  # type: ignore[arg-type]


def test_each_attempt_is_a_call_with_the_root_seen_by_its_backend() -> None:
    record = CallerRecord(
        request="officers-1",
        load="check",
        phase="calm",
        service="officer-verification",
        caller="c",
        begun=BEGAN,
        ended=BEGAN + 2.0,
        outcome=CallerOutcome.ANSWERED,
        path="/check",
        attempts=(
            attempt(0, CallerOutcome.REFUSED, reason="overload", ran="no"),
            attempt(1, CallerOutcome.FAILED, status=0, reason="TimeoutError: "),
            attempt(2, CallerOutcome.ANSWERED, status=200, root="r2", problem="not whole"),
        ),
    )
    routes = (Route(prefix="/", importance=Importance.CRITICAL),)
    catalogue = Catalogue([Service(name="officer-verification", routes=routes)])
    events = list(caller_events([record], {"officers-1.0": "r0"}, catalogue, BEGAN))
    began = of_type(events, CallBegan)
    assert [event.root for event in began] == ["r0", "officers-1", "r2"]
    assert {event.importance for event in began} == {Importance.CRITICAL}
    ended = of_type(events, CallEnded)
    assert [event.result for event in ended] == [
        CallResult.REFUSED,
        CallResult.ABANDONED,
        CallResult.ANSWERED,
    ]
    assert [event.whole for event in ended] == [True, True, False]


def test_operator_records_become_change_events() -> None:
    fields = {"operator": "o", "change_id": "c", "expected_revision": 1, "value": 601.0}
    records = [
        OperatorRecord(at=BEGAN + 1.0, outcome=StandinChangeOutcome.SUBMITTED, **fields),  # type: ignore[arg-type]
        OperatorRecord(at=BEGAN + 2.0, outcome=StandinChangeOutcome.ACCEPTED, revision=2, **fields),  # type: ignore[arg-type]
    ]
    assert list(operator_events(records, BEGAN)) == [
        ChangeSubmitted(1.0, "c", "o", 1),
        ChangeAnswered(2.0, "c", "accepted", 2),
    ]


def test_history_header_has_the_bounds_of_the_scenario(tmp_path: pathlib.Path) -> None:
    network = FleetNetwork()
    try:
        planner = Planner(SMALL, read_deployment(SMALL), tmp_path, network, PlanOptions())
        plan = planner.plan()
    finally:
        network.release()
    scenario = FaultScenario(
        name="x",
        description="",
        phase=(Phase(name="all", duration_seconds=1.0),),
        in_force_bound_seconds=7.0,
    )
    records = RunRecords(callers=[], backends=[], operators=[])
    history = build_history(plan, records, FaultJournal(BEGAN), scenario, 5)
    header = history.header
    assert (header.scenario, header.seed, header.source) == ("x", 5, "fleet")
    assert (header.in_force_bound_seconds, header.leaving_bound_seconds) == (7.0, 2.0)
    assert header.retry_budget == 3


def test_run_event_has_the_session_of_its_call() -> None:
    """The checker needs the session, because its requests may continue at a leaving endpoint."""
    events = serving_events_of(
        [
            backend_record(1.0, BackendEvent.STARTED, call="download-0/0"),
            backend_record(2.0, BackendEvent.STARTED, run="one:1:2"),
        ]
    )
    begun = [event for event in events if isinstance(event, RunBegan)]
    assert [run.session for run in begun] == ["s", ""]
