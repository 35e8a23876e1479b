import pytest

from finchshed.bench import daemon_slopes
from finchshed.bench.daemon_slopes import SlopePoint, fits_of, sweep_peers, sweep_rates
from finchshed.bench.process_usage import MachineLoad

MACHINE = MachineLoad(cores=1, busy_cores=0.0, load_average=0.0)


def point(varied: str, value: float, core_share: float) -> SlopePoint:
    return SlopePoint("edge", varied, value, 0.0, 0, core_share, 1 << 20, 0.0, 3.0 * value, MACHINE)


def test_a_slope_is_found_and_what_it_misses_is_told() -> None:
    points = [point("rate", rate, 0.01 + rate * 200e-6) for rate in (50.0, 100.0, 200.0, 400.0)]
    line = fits_of(points)[0]
    assert line.predict({"constant": 1.0, "rate": 1000.0}) == pytest.approx(210_000.0)
    assert line.residual_rms < 1e-3
    bent = [*points, point("rate", 800.0, 0.5)]
    assert fits_of(bent)[0].worst_residual > 10_000.0


async def test_points_come_from_real_daemons(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(daemon_slopes, "RATES", (50.0, 100.0))
    monkeypatch.setattr(daemon_slopes, "PEERS", (3, 12))
    monkeypatch.setattr(daemon_slopes, "SETTLE_SECONDS", 0.2)
    rates = await sweep_rates(seconds=1.0, seed=1)
    assert [held.failed for held in rates] == [0] * 4
    assert all(held.core_share > 0.0 and held.resident_bytes > 1 << 20 for held in rates)
    peers = await sweep_peers(seconds=0.5, seed=1)
    assert [held.value for held in peers] == [3.0, 12.0]
    assert all(held.core_share > 0.0 for held in peers)
