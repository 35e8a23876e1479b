"""Short seeded soak; ``python -m tests.platform.soak`` plays more seeds."""

from pathlib import Path

import pytest

from tests.platform.soak import play


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_series_of_faults_break_no_rule(tmp_path: Path, seed: int) -> None:
    violations, _ = await play(seed, tmp_path)
    assert violations == []
