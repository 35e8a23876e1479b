"""Signs of a drain and their announcement are apart; work is taken again once no sign is left."""

from unittest.mock import Mock

from finchshed.daemon.calling.platform_hints import LocalMachineHints
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.distribution.messages import Hints, LeavingHint

LISTED = Hints((LeavingHint("e1", 100.0),), 0.0)
NOT_LISTED = Hints((), 0.0)


class Endpoint:
    """An endpoint with one caller's link."""

    def __init__(self) -> None:
        self.state = DrainState()
        self.identity = EndpointIdentity("e1", "sales")
        self.link = Mock()
        listener = Mock()
        listener.links.return_value = [self.link]
        listing = Mock(spec=LocalMachineHints)
        listing.is_leaving.side_effect = lambda hints, now: bool(hints.leaving)
        self.announcer = DrainAnnouncer(self.state, self.identity, listing, listener)

    def sent(self) -> list[str]:
        return [call[0] for call in self.link.method_calls]


def test_a_stop_is_a_sign_before_callers_are_told() -> None:
    endpoint = Endpoint()
    endpoint.state.is_stopping = True
    assert endpoint.state.is_draining
    assert not endpoint.state.is_announced
    assert endpoint.sent() == []
    endpoint.announcer.announce()
    assert endpoint.state.is_announced
    assert endpoint.sent() == ["send_draining"]


def test_work_is_taken_again_only_once_no_sign_is_left() -> None:
    endpoint = Endpoint()
    endpoint.announcer.on_hints(LISTED)
    endpoint.announcer.on_backend_draining()
    endpoint.announcer.on_hints(NOT_LISTED)
    assert endpoint.state.is_announced
    endpoint.announcer.on_backend_returned()
    assert not endpoint.state.is_announced
    assert endpoint.sent() == ["send_draining", "send_draining", "send_hello"]


def test_a_list_that_says_the_same_again_changes_nothing() -> None:
    endpoint = Endpoint()
    for hints in (NOT_LISTED, LISTED, LISTED, NOT_LISTED, NOT_LISTED):
        endpoint.announcer.on_hints(hints)
    assert endpoint.sent() == ["send_draining", "send_load"]
    assert not endpoint.state.is_announced


def test_a_back_end_that_returned_is_another_life_of_the_endpoint() -> None:
    endpoint = Endpoint()
    before = endpoint.identity.incarnation
    endpoint.announcer.on_backend_draining()
    assert endpoint.identity.incarnation == before
    endpoint.announcer.on_backend_returned()
    assert endpoint.identity.incarnation != before


def test_one_that_returned_during_a_stop_keeps_its_life() -> None:
    endpoint = Endpoint()
    before = endpoint.identity.incarnation
    endpoint.announcer.on_backend_draining()
    endpoint.state.is_stopping = True
    endpoint.announcer.on_backend_returned()
    assert endpoint.state.is_announced
    assert endpoint.identity.incarnation == before


def test_calls_are_refused_from_the_start_until_a_back_end_registers() -> None:
    state = DrainState.awaiting_registration()
    assert state.is_draining
    assert state.is_announced
