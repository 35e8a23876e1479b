"""A daemon restarted without access to control serves calls whose route the caller matched."""

from unittest.mock import Mock

from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThresholds
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.directory.instance_run import InstanceRun
from finchshed.link.messages import Call, Reply
from finchshed.retry.policy import is_redirect
from tests.daemon.callee_fixture import make_callee

CONTEXT = CallContext("r1", Importance.NORMAL, 1.0)


def call(route: str) -> Call:
    return Call("e", 1, "sales", "GET", "/look/", (), b"", "", CONTEXT, 1, route, True, "r1")


def outcome_of(link: Mock) -> Refused:
    reply = link.reply.call_args.args[0]
    assert isinstance(reply, Reply)
    assert isinstance(reply.outcome, Refused)
    return reply.outcome


async def test_a_call_whose_route_the_caller_found_is_served_without_a_configuration() -> None:
    served = ServedRequests()
    callee = make_callee(served, PathThresholds(lambda *_: NO_THRESHOLD))
    callee.set_run(InstanceRun("i-1"), "sales", 8)
    link = Mock(epoch="e")
    callee.on_call(link, call("host/look/"))
    assert served.get_by_identity("r1") is not None
    link.reply.assert_not_called()


async def test_before_the_back_end_is_known_the_call_goes_elsewhere_at_no_cost() -> None:
    served = ServedRequests()
    callee = make_callee(served, PathThresholds(lambda *_: NO_THRESHOLD))
    link = Mock(epoch="e")
    callee.on_call(link, call("host/look/"))
    assert is_redirect(outcome_of(link))
    assert len(served) == 0


async def test_a_call_under_a_route_of_its_service_still_needs_a_configuration() -> None:
    callee = make_callee(ServedRequests(), PathThresholds(lambda *_: NO_THRESHOLD))
    callee.set_run(InstanceRun("i-1"), "sales", 8)
    link = Mock(epoch="e")
    callee.on_call(link, call(""))
    assert outcome_of(link).reason is RefusalReason.NO_CONFIGURATION
