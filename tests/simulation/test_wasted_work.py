"""Requests that would be refused further down their path don't run further up.

The deep service is overloaded, the services in front of it are not: without thresholds of the path
a request runs in front and is refused below.
"""

import msgspec
import pytest

from finchshed.bench.experiment import Case, Experiment
from finchshed.bench.measures import measure
from finchshed.emulator import world

EXPERIMENT = Experiment(
    name="wasted-work",
    deployments=("brazos-ridge",),
    warm_up_seconds=0.5,
    before_seconds=1.0,
    trigger_seconds=2.0,
    after_seconds=2.0,
)
WASTED_SHARE_MAX = 0.1


@pytest.mark.parametrize("demand", [4.0, 10.0])
def test_little_work_is_done_for_requests_that_are_refused_below(demand: float) -> None:
    case = Case(EXPERIMENT, "brazos-ridge", "finchshed", demand, seed=5)
    measured = measure(world.run(case.specification()).history.events, case.plan())
    assert measured.wasted_share < WASTED_SHARE_MAX, msgspec.json.encode(measured)
