"""What the daemon beside a back end passes on to the calls of a request it let through."""

import random
from unittest.mock import Mock

import pytest

from finchshed.admission.paths import PathThreshold, PathThresholds
from finchshed.admission.rank import POSITIONS, class_floor
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.accounts import ServedRequests
from finchshed.daemon.callee import Callee
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.settings import DaemonSettings
from finchshed.link.messages import Call

FLOOR = class_floor(Importance.NORMAL) + POSITIONS // 2
ROUTE = "host/look/"


def callee(served: ServedRequests) -> Callee:
    """Return a callee whose requests each make a call that meets ``FLOOR``."""
    settings = DaemonSettings(
        node="d1",
        region="texas",
        zone="a",
        service="sales",
        http_address="",
        host_address="127.0.0.1:9003",
        backend_address="127.0.0.1:9000",
        link_address="127.0.0.1:9001",
        control_addresses=("127.0.0.1:9002",),
        registers_backend=True,
    )
    paths = PathThresholds(lambda *_: PathThreshold(FLOOR, 0))
    paths.on_start("earlier", ROUTE)
    paths.on_call("earlier", "ledger", "host/entry/")
    paths.on_end("earlier", answered=True)
    made = Callee(
        settings,
        backend=Mock(),
        guarded=Mock(),
        served=served,
        paths=paths,
        rng=random.Random(1),
        on_backend_answer=Mock(),
        revision=lambda: 1,
        names=HeaderNames(),
    )
    made.start_serving()
    made.serve_instance("i-1", "sales", 8)
    return made


@pytest.mark.parametrize(("told", "passed_on"), [(1.0, 0.5), (0.7, 0.5), (0.3, 0.3)])
async def test_calls_are_weighed_by_the_smallest_share_on_the_way(
    told: float, passed_on: float
) -> None:
    served = ServedRequests()
    context = CallContext("r1", Importance.NORMAL, 1.0, position=POSITIONS - 1, admitted_share=told)
    call = Call("e", 1, "sales", "GET", "/look/", (), b"", "", context, 1, ROUTE, True, "r1")
    callee(served).take(Mock(epoch="e"), call)
    request = served.get_by_identity("r1")
    assert request is not None
    assert request.context.admitted_share == pytest.approx(passed_on)
