import numpy

from finchshed.standins.arrivals import schedule
from finchshed.standins.settings import Phase, StandinLoad

LOADS = (
    StandinLoad(name="browse", service="booklets", path="/page", rate_per_second=50.0),
    StandinLoad(
        name="check", service="officers", path="/check", rate_per_second=10.0, surges=False
    ),
)
PHASES = (
    Phase(name="calm", duration_seconds=20.0),
    Phase(name="surge", duration_seconds=20.0, factor=4.0),
)


def test_same_seed_gives_same_arrivals() -> None:
    first = schedule(LOADS, PHASES, numpy.random.default_rng(7))
    second = schedule(LOADS, PHASES, numpy.random.default_rng(7))
    assert first == second
    assert first == sorted(first)


def test_surge_multiplies_only_surging_loads() -> None:
    arrivals = schedule(LOADS, PHASES, numpy.random.default_rng(7))
    counts = {
        (load, phase): sum(1 for item in arrivals if (item.load, item.phase) == (load, phase))
        for load in (0, 1)
        for phase in ("calm", "surge")
    }
    assert 3.5 < counts[0, "surge"] / counts[0, "calm"] < 4.5
    assert 0.7 < counts[1, "surge"] / counts[1, "calm"] < 1.4
