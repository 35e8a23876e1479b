"""Drain reasons and their announcement are separate; calls resume once no reason is left."""

from unittest.mock import Mock

from finchshed.daemon.calling.platform_hints import LocalMachineHints
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.distribution.messages import Hints, LeavingHint

LISTED = Hints((LeavingHint("e1", 100.0),), 0.0)
NOT_LISTED = Hints((), 0.0)


class DrainFixture:
    """An endpoint with a link from one caller."""

    def __init__(self) -> None:
        self.state = DrainState()
        self.identity = EndpointIdentity("e1", "sales")
        self.link = Mock()
        listener = Mock()
        listener.links.return_value = [self.link]
        local_hints = Mock(spec=LocalMachineHints)
        local_hints.is_leaving.side_effect = lambda hints, now: bool(hints.leaving)
        self.announcer = DrainAnnouncer(self.state, self.identity, local_hints, listener)

    def sent(self) -> list[str]:
        return [call[0] for call in self.link.method_calls]


def test_stopping_daemon_drains_before_callers_are_notified() -> None:
    fixture = DrainFixture()
    fixture.state.is_stopping = True
    assert fixture.state.is_draining
    assert not fixture.state.is_announced
    assert fixture.sent() == []
    fixture.announcer.announce()
    assert fixture.state.is_announced
    assert fixture.sent() == ["send_draining"]


def test_work_resumes_only_once_no_drain_source_is_left() -> None:
    fixture = DrainFixture()
    fixture.announcer.on_hints(LISTED)
    fixture.announcer.on_backend_draining()
    fixture.announcer.on_hints(NOT_LISTED)
    assert fixture.state.is_announced
    fixture.announcer.on_backend_returned()
    assert not fixture.state.is_announced
    assert fixture.sent() == ["send_draining", "send_draining", "send_hello"]


def test_repeated_list_changes_nothing() -> None:
    fixture = DrainFixture()
    for hints in (NOT_LISTED, LISTED, LISTED, NOT_LISTED, NOT_LISTED):
        fixture.announcer.on_hints(hints)
    assert fixture.sent() == ["send_draining", "send_load"]
    assert not fixture.state.is_announced


def test_returned_back_end_gets_a_new_incarnation() -> None:
    fixture = DrainFixture()
    before = fixture.identity.incarnation
    fixture.announcer.on_backend_draining()
    assert fixture.identity.incarnation == before
    fixture.announcer.on_backend_returned()
    assert fixture.identity.incarnation != before


def test_back_end_returning_during_a_stop_keeps_its_incarnation() -> None:
    fixture = DrainFixture()
    before = fixture.identity.incarnation
    fixture.announcer.on_backend_draining()
    fixture.state.is_stopping = True
    fixture.announcer.on_backend_returned()
    assert fixture.state.is_announced
    assert fixture.identity.incarnation == before


def test_calls_are_refused_from_the_start_until_a_back_end_registers() -> None:
    state = DrainState.awaiting_registration()
    assert state.is_draining
    assert state.is_announced
