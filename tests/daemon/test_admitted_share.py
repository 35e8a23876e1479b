"""What the daemon beside a back end passes on to the calls of a request it let through."""

from unittest.mock import Mock

import pytest

from finchshed.admission.path_thresholds import PathThreshold, PathThresholds
from finchshed.admission.rank import POSITIONS, lowest_rank_of
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.callee import Callee
from finchshed.link.messages import Call
from tests.daemon.lone_callee import lone_callee

FLOOR = lowest_rank_of(Importance.NORMAL) + POSITIONS // 2
ROUTE = "host/look/"


def callee(served: ServedRequests) -> Callee:
    """Return a callee whose requests each make a call that meets ``FLOOR``."""
    paths = PathThresholds(lambda *_: PathThreshold(FLOOR, 0))
    paths.on_start("earlier", ROUTE)
    paths.on_call("earlier", "ledger", "host/entry/")
    paths.on_end("earlier", answered=True)
    made = lone_callee(served, paths)
    made.start_serving()
    made.serve_instance("i-1", "sales", 8)
    return made


@pytest.mark.parametrize(("told", "passed_on"), [(1.0, 0.5), (0.7, 0.5), (0.3, 0.3)])
async def test_calls_are_weighed_by_the_smallest_share_on_the_way(
    told: float, passed_on: float
) -> None:
    served = ServedRequests()
    context = CallContext(
        "r1", Importance.NORMAL, 1.0, position=POSITIONS - 1, admitted_fraction=told
    )
    call = Call("e", 1, "sales", "GET", "/look/", (), b"", "", context, 1, ROUTE, True, "r1")
    callee(served).on_call(Mock(epoch="e"), call)
    request = served.get_by_identity("r1")
    assert request is not None
    assert request.context.admitted_fraction == pytest.approx(passed_on)
