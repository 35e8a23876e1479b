"""Calls result for an admitted request inherit the lowest admitted fraction of its path."""

from unittest.mock import Mock

import pytest

from finchshed.admission.path_thresholds import PathThreshold, PathThresholds
from finchshed.admission.rank import POSITIONS, lowest_rank_of
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.directory.instance_run import InstanceRun
from finchshed.link.messages import Call
from tests.daemon.callee_fixture import make_callee

THRESHOLD = lowest_rank_of(Importance.NORMAL) + POSITIONS // 2
ROUTE = "host/look/"


def callee(served: ServedRequests) -> Callee:
    """Return a callee whose requests each make a call to a service with threshold ``THRESHOLD``."""
    paths = PathThresholds(lambda *_: PathThreshold(THRESHOLD, 0))
    paths.on_start("earlier", ROUTE)
    paths.on_call("earlier", "ledger", "host/entry/")
    paths.on_end("earlier", answered=True)
    result = make_callee(served, paths)
    result.start_serving()
    result.set_run(InstanceRun("i-1"), "sales", 8)
    return result


@pytest.mark.parametrize(("received", "inherited"), [(1.0, 0.5), (0.7, 0.5), (0.3, 0.3)])
async def test_calls_are_weighed_by_the_smallest_share_on_the_way(
    received: float, inherited: float
) -> None:
    served = ServedRequests()
    context = CallContext(
        "r1", Importance.NORMAL, 1.0, position=POSITIONS - 1, admitted_fraction=received
    )
    call = Call("e", 1, "sales", "GET", "/look/", (), b"", "", context, 1, ROUTE, True, "r1")
    callee(served).on_call(Mock(epoch="e"), call)
    request = served.get_by_identity("r1")
    assert request is not None
    assert request.context.admitted_fraction == pytest.approx(inherited)
