"""Guards against wrong recovery times, also with bursts and with low demand."""

import pytest

from finchshed.replay.recovery import recovery_seconds


def answers(*spans: tuple[float, float, float]) -> list[float]:
    """Return times of answers: each span is (begin, end, rate)."""
    times: list[float] = []
    for begin, end, rate in spans:
        count = round((end - begin) * rate)
        times += [begin + number / rate for number in range(count)]
    return times


def test_immediate_recovery_takes_one_window() -> None:
    assert recovery_seconds(answers((0, 20, 100)), 100.0, 8.0, 20.0) == pytest.approx(0.5)


def test_recovery_time_includes_the_outage() -> None:
    finished = answers((0, 8, 100), (10, 20, 100))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) == pytest.approx(2.5, abs=0.1)


def test_short_burst_is_not_a_recovery() -> None:
    finished = answers((0, 8, 100), (8, 10, 200), (10, 14, 40), (14, 20, 100))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) == pytest.approx(6.0, abs=0.7)


def test_permanently_low_goodput_never_recovers() -> None:
    assert recovery_seconds(answers((0, 8, 100), (8, 20, 60)), 100.0, 8.0, 20.0) is None


def test_low_demand_is_not_a_relapse() -> None:
    spans = ((0.0, 8.0, 100.0), (8.0, 16.0, 100.0), (16.0, 20.0, 70.0))
    finished = answers(*spans)
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) is None
    found = recovery_seconds(finished, 100.0, 8.0, 20.0, answers(*spans))
    assert found == pytest.approx(0.5)
    asked = answers((0.0, 20.0, 100.0))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0, asked) is None
