import pytest

from finchshed.scale.models import fits_of
from finchshed.scale.projection import Size, project, table_of
from tests.scale.test_fit import spread_points


def test_what_was_measured_is_carried_to_the_size_asked_for() -> None:
    rows = project(
        fits_of(spread_points()),
        Size(daemons=1_200, burst_changes_per_second=5.0),
    )
    by_name = {(row.quantity, row.unit): row for row in rows}
    sixth = by_name["control leader, a sixth of daemons", "% of a core"]
    # The points cost 2 microseconds a change and subscriber.
    assert sixth.burst == pytest.approx(100 * 2e-6 * 5.0 * 200)
    assert sixth.mean_day == pytest.approx(100 * 2e-6 * 200 * 1_400 / 86_400)
    everyone = by_name["control leader, all daemons", "% of a core"]
    assert everyone.burst == pytest.approx(6 * sixth.burst)
    assert by_name["daemon", "bytes a second"].burst == pytest.approx(150.0 + 160.0 * 5.0)
    assert by_name["control node, all daemons", "MiB"].burst == pytest.approx(
        (60_000 + 3 * 1_200) / 1024
    )
    assert len(table_of(rows).splitlines()) == len(rows) + 1
