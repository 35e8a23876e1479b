"""Tests of the daemon status merged over all control nodes."""

from finchshed.distribution.status import (
    REPORT_TIMEOUT_SECONDS,
    InForceReport,
    StatusTable,
    SubscriberStatus,
)


def daemon(name: str, revision: int, connected: bool = True) -> SubscriberStatus:
    return SubscriberStatus(name, f"e-{name}", "licence", "z1", revision, connected)


def report(control: str, revision: int, *daemons: SubscriberStatus) -> InForceReport:
    return InForceReport(control, revision, daemons)


def test_counts_in_force_behind_and_silent() -> None:
    table = StatusTable(0.0)
    table.merge(report("c1", 4, daemon("a", 4), daemon("b", 4)), 1.0)
    table.merge(report("c1", 5, daemon("a", 5)), 3.0)
    table.merge(report("c1", 5, daemon("c", 4, connected=False)), 3.5)
    status = table.summary(4.0, declared=["e-a", "e-b", "e-c", "e-never"])
    assert (status.revision, status.known, status.in_force) == (5, 4, 1)
    assert [(item.node, item.seconds) for item in status.behind] == [("b", 1.0)]
    silent = {item.endpoint: item.seconds for item in status.silent}
    assert silent == {"e-c": 0.5, "e-never": 4.0}


def test_moved_daemon_is_counted_at_its_current_control_node() -> None:
    table = StatusTable(0.0)
    table.merge(report("c1", 4, daemon("a", 3)), 1.0)
    table.merge(report("c2", 4, daemon("a", 4)), 2.0)
    table.merge(report("c1", 4, daemon("a", 3, connected=False)), 3.0)
    assert table.summary(3.0).in_force == 1


def test_daemons_of_a_silent_control_node_are_silent() -> None:
    table = StatusTable(0.0)
    table.merge(report("c1", 4, daemon("a", 4)), 1.0)
    later = 1.0 + REPORT_TIMEOUT_SECONDS + 1.0
    status = table.summary(later)
    assert [(item.node, item.seconds) for item in status.silent] == [("a", later - 1.0)]
    table.merge(report("c1", 4), later)
    assert table.summary(later).in_force == 1


def test_full_report_disconnects_unlisted_daemons() -> None:
    table = StatusTable(0.0)
    table.merge(report("c1", 4, daemon("a", 4), daemon("b", 4)), 1.0)
    table.merge(InForceReport("c1", 4, (daemon("a", 4),), everything=True), 2.0)
    status = table.summary(2.0)
    assert [item.node for item in status.silent] == ["b"]
