"""Guards against requests that a planned stop cuts without an answer.

Real processes; longer series are started by hand, see :mod:`tests.platform.stop_series`.
"""

import signal
from pathlib import Path

import pytest

from tests.platform.stop_series import Plan, play

AGAIN = ((0.9, signal.SIGTERM), (0.5, signal.SIGHUP), (0.5, signal.SIGTERM))

PLANS = {
    "calm": Plan(),
    "further signals": Plan(signals=AGAIN),
    "restarts in turn": Plan(stopped=3, gap=0.7, restarts=True),
}


@pytest.mark.parametrize("name", PLANS)
async def test_a_planned_stop_cuts_no_request(tmp_path: Path, name: str) -> None:
    result = await play(PLANS[name], 68, tmp_path)
    assert result.violations == []


# Their time goes beyond the stop, which therefore ends while they are in progress.
@pytest.mark.parametrize("signals", [(), AGAIN], ids=["one signal", "further signals"])
async def test_a_planned_stop_answers_requests_whose_back_end_is_silent(
    tmp_path: Path, signals: tuple[tuple[float, signal.Signals], ...]
) -> None:
    result = await play(Plan(silent=0.1, signals=signals), 68, tmp_path)
    assert result.violations == []
    assert result.outlasting
