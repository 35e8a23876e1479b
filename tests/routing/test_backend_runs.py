"""What callers remember of a back end ends with its run."""

import random

from finchshed.admission.load_report import LoadReport, RateReport
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Refused
from finchshed.configuration.resources import Endpoint
from finchshed.directory.registration import InstanceState, Registration
from finchshed.routing.backend_runs import MAX_REMEMBERED_RUNS, BackendRuns
from finchshed.routing.table import RoutingTable

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


def registration(born_ms: int, serial: int, epoch: int = 1) -> Registration:
    return Registration(
        "10.0.0.1:7000", epoch, serial, "e0", "s", state=InstanceState.READY, born_ms=born_ms
    )


def table_with_limits() -> RoutingTable:
    table = RoutingTable("z", "r", random.Random(5))
    table.replace(
        [Endpoint(name="e0", service="s", region="r", zone="z", address="10.0.0.1:7000", slots=8)]
    )
    table.on_registration(registration(FIRST, 1), 0.0)
    rate = RateReport(2.0, wait=100.0, threshold=1 << 30)
    table.on_report("e0", LoadReport(limit=8, draining=True, leaving=True, rate=rate), 0.0)
    return table


def is_chosen(table: RoutingTable, now: float) -> bool:
    context = CallContext("root", Importance.NORMAL, 1.0)
    return not isinstance(table.choose("s", context, (), now), Refused)


def test_restarted_back_end_is_used_again() -> None:
    table = table_with_limits()
    assert not is_chosen(table, 1.0)
    table.on_registration(registration(SECOND, 2), 1.0)
    assert is_chosen(table, 1.0)
    assert table.rate_limit_of("e0") is None


def test_late_registration_of_the_earlier_run_changes_nothing() -> None:
    table = table_with_limits()
    table.on_registration(registration(SECOND, 5), 1.0)
    table.on_report("e0", LoadReport(limit=8, rate=RateReport(3.0)), 1.0)
    table.on_registration(registration(FIRST, 4), 2.0)
    assert table.rate_limit_of("e0") == 3.0


def test_restart_of_the_daemon_alone_keeps_what_the_run_said() -> None:
    table = table_with_limits()
    table.on_registration(registration(FIRST, 0, epoch=2), 1.0)
    assert not is_chosen(table, 1.0)
    assert table.rate_limit_of("e0") == 2.0


def test_registration_without_a_start_changes_nothing() -> None:
    table = table_with_limits()
    table.on_registration(registration(0, 9), 1.0)
    assert not is_chosen(table, 1.0)


def test_remembered_runs_are_bounded() -> None:
    runs = BackendRuns()
    first = runs.of("e0")
    for number in range(MAX_REMEMBERED_RUNS + 10):
        runs.of(f"other-{number}")
    assert runs.of("e0") is not first
