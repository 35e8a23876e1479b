"""Tests of registration from heartbeats, including delayed and duplicated ones."""

from finchshed.directory.registrar import BackendHeartbeat, Registrar
from finchshed.directory.registration import InstanceState, Registration

ADDRESS = "10.0.0.1:7000"
HEARTBEAT_TIMEOUT_SECONDS = 4.0


def make_registrar(epoch: int = 1) -> Registrar:
    return Registrar(ADDRESS, "a", "texas", epoch=epoch, silence_seconds=HEARTBEAT_TIMEOUT_SECONDS)


def heartbeat(
    instance: str, sequence: int, *, leaving: bool = False, slots: int = 8
) -> BackendHeartbeat:
    return BackendHeartbeat(instance, "sales", slots, sequence, leaving)


def test_heartbeat_registers_the_back_end() -> None:
    registrar = make_registrar()
    assert registrar.registration.state is InstanceState.GONE
    assert registrar.on_heartbeat(heartbeat("i-1", 1), 0.0)
    expected = Registration(ADDRESS, 1, 1, "i-1", "sales", "a", "texas", 8, InstanceState.READY)
    assert registrar.registration == expected
    assert not registrar.on_heartbeat(heartbeat("i-1", 2), 1.5)


def test_late_or_duplicate_heartbeat_reverts_no_state() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-1", 5), 0.0)
    assert registrar.on_heartbeat(heartbeat("i-1", 6, leaving=True), 1.0)
    assert registrar.registration.state is InstanceState.LEAVING
    for late in (heartbeat("i-1", 5), heartbeat("i-1", 4), heartbeat("i-1", 6, leaving=True)):
        assert not registrar.on_heartbeat(late, 2.0)
    assert not registrar.on_heartbeat(heartbeat("i-1", 7), 3.0)
    assert registrar.registration.state is InstanceState.LEAVING


def test_heartbeat_does_not_revert_an_announced_leave() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-1", 1), 0.0)
    assert registrar.on_leave("i-1")
    assert not registrar.on_heartbeat(heartbeat("i-1", 2), 1.0)
    assert registrar.registration.state is InstanceState.LEAVING
    assert not registrar.on_leave("i-1")


def test_late_heartbeat_of_an_earlier_instance_is_ignored() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-1", 9), 0.0)
    registrar.on_heartbeat(heartbeat("i-2", 1), 1.0)
    assert not registrar.on_heartbeat(heartbeat("i-1", 9), 2.0)
    assert not registrar.on_leave("i-1")
    assert registrar.registration.instance == "i-2"
    assert registrar.registration.state is InstanceState.READY


def test_running_back_end_supersedes_a_late_heartbeat_after_a_daemon_restart() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-2", 4), 0.0)
    assert registrar.on_heartbeat(heartbeat("i-1", 9), 0.5)
    assert registrar.on_heartbeat(heartbeat("i-2", 5), 1.5)
    assert registrar.registration.instance == "i-2"


def test_silent_back_end_is_gone_until_its_next_heartbeat() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-1", 1), 0.0)
    assert not registrar.tick(HEARTBEAT_TIMEOUT_SECONDS)
    assert registrar.tick(HEARTBEAT_TIMEOUT_SECONDS + 0.1)
    assert registrar.registration.state is InstanceState.GONE
    assert not registrar.tick(HEARTBEAT_TIMEOUT_SECONDS + 0.2)
    assert registrar.on_heartbeat(heartbeat("i-1", 2), 6.0)
    assert registrar.registration.state is InstanceState.READY


def test_unreachable_or_misdirected_back_end_is_gone() -> None:
    registrar = make_registrar()
    registrar.on_heartbeat(heartbeat("i-1", 1), 0.0)
    assert not registrar.on_misdirected("i-0")
    assert registrar.on_misdirected("i-1")
    assert not registrar.on_unreachable()
    registrar.on_heartbeat(heartbeat("i-1", 2), 1.0)
    assert registrar.on_unreachable()
    assert registrar.registration.state is InstanceState.GONE


def test_each_change_increases_the_serial() -> None:
    registrar = make_registrar()
    serials = []
    for sequence, slots in enumerate((8, 9, 9, 10), start=1):
        registrar.on_heartbeat(heartbeat("i-1", sequence, slots=slots), 0.0)
        serials.append(registrar.registration.serial)
    assert serials == [1, 2, 2, 3]


def test_restart_with_an_earlier_clock_registers_under_a_higher_epoch() -> None:
    held = Registration(ADDRESS, 50, 7, "i-0", "sales", state=InstanceState.READY)
    registrar = make_registrar(epoch=20)
    registrar.on_heartbeat(heartbeat("i-1", 1), 0.0)
    assert registrar.on_own_registration(held)
    assert registrar.registration.supersedes(held)
    assert registrar.registration.instance == "i-1"
    assert not registrar.on_own_registration(held)
    assert not registrar.on_own_registration(registrar.registration)


def test_health_check_identifies_the_back_end_until_its_first_heartbeat() -> None:
    registrar = make_registrar()
    assert registrar.on_health("i-1", "sales", 8, 0.0)
    assert registrar.registration.state is InstanceState.READY
    assert not registrar.on_health("i-2", "sales", 8, 0.1)
    assert registrar.on_heartbeat(heartbeat("i-1", 7, leaving=True), 0.5)
    assert registrar.registration.state is InstanceState.LEAVING
    assert registrar.tick(0.5 + HEARTBEAT_TIMEOUT_SECONDS + 0.1)


def test_late_health_check_does_not_override_a_heartbeat() -> None:
    registrar = make_registrar()
    registrar.on_leave("i-1")
    assert not registrar.on_health("i-1", "sales", 8, 0.1)
    registrar.on_heartbeat(heartbeat("i-2", 1), 0.2)
    assert not registrar.on_health("i-3", "sales", 8, 0.3)
    assert registrar.registration.instance == "i-2"


def test_leave_registered_by_an_earlier_run_of_the_daemon_still_holds() -> None:
    registrar = make_registrar(epoch=20)
    held = Registration(ADDRESS, 10, 4, "i-1", "sales", state=InstanceState.LEAVING)
    assert not registrar.on_own_registration(held)
    assert registrar.on_heartbeat(heartbeat("i-1", 3), 0.0)
    assert registrar.registration.state is InstanceState.LEAVING
    registrar.on_heartbeat(heartbeat("i-2", 1), 1.0)
    assert registrar.registration.state is InstanceState.READY
