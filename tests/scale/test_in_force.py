from finchshed.scale.in_force import AcceptedChange, DaemonHistory, in_force_times
from finchshed.scale.messages import DaemonReport


def report(
    *in_force: tuple[int, float], started_at: float = 0.0, serving_at: float = 0.0
) -> DaemonReport:
    return DaemonReport(
        name="n",
        in_force=in_force,
        revision=in_force[-1][0] if in_force else 0,
        is_running=True,
        started_at=started_at,
        serving_at=serving_at,
        control="",
        connections=1,
        bytes_received=0,
        bytes_sent=0,
        peer_fetches=0,
    )


def history(*in_force: tuple[int, float], started_at: float = 0.0) -> DaemonHistory:
    made = DaemonHistory()
    assert made.add(report(*in_force, started_at=started_at)) == 0
    return made


def change(revision: int, accepted_at: float) -> AcceptedChange:
    return AcceptedChange(revision, accepted_at - 0.1, accepted_at)


def test_a_skipped_revision_counts_as_in_force_with_the_next_one() -> None:
    times = in_force_times(
        [change(2, 10.0), change(3, 11.0)],
        {"a": history((2, 10.5), (3, 11.25)), "b": history((3, 12.0))},
    )
    assert times.each.count == 4
    assert times.each.worst == 2.0
    assert times.slowest.worst == 2.0
    assert times.slowest.median == 1.5
    assert times.missing == 0


def test_a_change_that_never_came_into_force_is_missing_and_its_daemon_named() -> None:
    histories = {"a": history((2, 10.5)), "b": history((1, 9.0)), "c": DaemonHistory()}
    times = in_force_times([change(2, 10.0)], histories)
    assert times.missing == 2
    assert times.missing_daemons == ("b", "c")
    assert in_force_times([change(2, 10.0)], histories, unreachable={"b", "c"}).missing == 0


def test_a_daemon_started_after_the_change_counts_from_its_start() -> None:
    times = in_force_times([change(2, 10.0)], {"a": history((2, 31.0), started_at=30.0)})
    assert times.each.worst == 1.0


def test_a_configuration_that_goes_back_is_counted_but_not_for_a_new_life() -> None:
    made = history((4, 10.0))
    assert made.add(report((3, 11.0))) == 1
    assert made.add(report((2, 21.0), started_at=20.0)) == 0
    assert made.add(report((5, 22.0), started_at=20.0)) == 0
    assert made.in_force_at(5) == 22.0
    assert made.in_force_at(6) is None
