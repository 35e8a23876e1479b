"""Back ends that start again under the instance that they had."""

import random

from finchshed.directory.instance_run import InstanceRun
from finchshed.directory.registrar import BackendHeartbeat, Registrar
from finchshed.directory.registration import InstanceState, Registration

HEARTBEAT_TIMEOUT_SECONDS = 4.0
FIRST, SECOND, THIRD = 1_700_000_000_000, 1_700_000_005_000, 1_700_000_009_000


def make_registrar() -> Registrar:
    return Registrar(
        "10.0.0.1:7000", "a", "texas", epoch=1, silence_seconds=HEARTBEAT_TIMEOUT_SECONDS
    )


def heartbeat(
    born_ms: int, sequence: int, *, leaving: bool = False, instance: str = "i-1"
) -> BackendHeartbeat:
    return BackendHeartbeat(instance, "sales", 8, sequence, leaving, born_ms)


def test_later_run_counts_anew_and_does_not_leave() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(FIRST, 40), 0.0)
    registrar.on_leave("i-1", FIRST)
    assert registrar.registration.state is InstanceState.LEAVING
    assert registrar.on_heartbeat(heartbeat(SECOND, 1), 1.0)
    assert registrar.registration.state is InstanceState.READY
    assert registrar.run == InstanceRun("i-1", SECOND)


def test_late_messages_of_the_earlier_run_change_nothing() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(FIRST, 40), 0.0)
    registrar.on_heartbeat(heartbeat(SECOND, 3), 1.0)
    assert not registrar.on_heartbeat(heartbeat(FIRST, 41), 1.1)
    assert not registrar.on_heartbeat(heartbeat(FIRST, 42, leaving=True), 1.2)
    assert not registrar.on_leave("i-1", FIRST)
    earlier = Registration("10.0.0.1:7000", 0, 9, "i-1", state=InstanceState.LEAVING, born_ms=FIRST)
    assert not registrar.on_own_registration(earlier)
    assert registrar.run == InstanceRun("i-1", SECOND)
    assert registrar.registration.state is InstanceState.READY


def test_earlier_run_of_another_instance_does_not_take_over() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(SECOND, 1, instance="i-2"), 0.0)
    assert not registrar.on_heartbeat(heartbeat(FIRST, 90, instance="i-1"), 0.5)
    assert registrar.registration.instance == "i-2"


def test_leave_without_a_start_is_that_of_the_registered_run() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(FIRST, 1), 0.0)
    assert registrar.on_leave("i-1")
    assert not registrar.on_heartbeat(heartbeat(FIRST, 2), 1.0)
    assert registrar.registration.state is InstanceState.LEAVING
    assert registrar.on_heartbeat(heartbeat(SECOND, 1), 2.0)
    assert registrar.registration.state is InstanceState.READY


def test_heartbeat_without_a_start_does_not_replace_a_run_with_one() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(FIRST, 1), 0.0)
    assert not registrar.on_heartbeat(heartbeat(0, 7), 0.5)
    assert not registrar.on_heartbeat(heartbeat(0, 7, instance="i-9"), 0.5)
    assert registrar.run == InstanceRun("i-1", FIRST)


def test_run_found_by_a_health_check_is_not_new_when_it_tells_its_start() -> None:
    registrar = make_registrar()
    registrar.on_health("i-1", "sales", 8, 0.0)
    before = registrar.run
    registrar.on_heartbeat(heartbeat(FIRST, 9), 0.5)
    assert registrar.run.is_same(before)
    assert registrar.registration.state is InstanceState.READY


def test_start_by_a_clock_that_was_set_back_counts_once_the_earlier_run_is_gone() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat(SECOND, 40), 0.0)
    assert not registrar.on_heartbeat(heartbeat(FIRST, 1), 1.0)
    registrar.tick(HEARTBEAT_TIMEOUT_SECONDS + 0.1)
    assert registrar.on_heartbeat(heartbeat(FIRST, 5), 5.0)
    assert registrar.run == InstanceRun("i-1", FIRST)
    assert not registrar.on_heartbeat(heartbeat(SECOND, 41), 5.5)
    assert registrar.registration.state is InstanceState.READY


def test_delayed_heartbeats_of_three_runs_never_bring_an_earlier_one_back() -> None:
    """Runs take turns; each heartbeat may arrive late, twice or never."""
    for seed in range(200):
        rng = random.Random(seed)
        registrar = make_registrar()
        arrivals: list[tuple[float, BackendHeartbeat]] = []
        for number, born_ms in enumerate((FIRST, SECOND, THIRD)):
            for beat in range(6):
                sent_at = number * 3.0 + beat * 0.5
                for _ in range(rng.choice((0, 1, 1, 2))):
                    arrivals.append((sent_at + rng.choice((0.0, 4.0)), heartbeat(born_ms, beat)))
        newest = 0
        for at, beat in sorted(arrivals, key=lambda arrival: arrival[0]):
            registrar.on_heartbeat(beat, at)
            newest = max(newest, beat.born_ms)
            assert registrar.run.born_ms == newest, seed
