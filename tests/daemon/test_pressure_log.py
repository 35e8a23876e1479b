"""A bound that is reached is logged, but not for each peer that gives way."""

from unittest.mock import patch

from finchshed.daemon.pressure_log import LOG_INTERVAL_SECONDS, PressureLog


def lines_of(*seen: tuple[int, int, float]) -> list[tuple[int, int]]:
    """Return the figures of the lines that are logged for these counts and times."""
    log = PressureLog()
    with patch("finchshed.daemon.pressure_log.logger") as logger:
        for dropped, closed, now in seen:
            log.write(dropped, closed, now)
    return [call.args[1:] for call in logger.warning.call_args_list]


def test_nothing_is_logged_while_no_bound_is_reached() -> None:
    assert lines_of((0, 0, 1.0), (0, 0, 100.0)) == []


def test_what_gave_way_is_summed_up_between_two_lines() -> None:
    later = 1.0 + LOG_INTERVAL_SECONDS
    assert lines_of((5, 0, 1.0), (9, 2, 2.0), (10, 3, later)) == [(5, 0), (5, 3)]
