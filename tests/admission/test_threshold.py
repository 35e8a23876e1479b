"""The admission threshold over its windows."""

from finchshed.admission.rank import RANKS
from finchshed.admission.threshold import BUCKET_BITS, WINDOW_SECONDS, AdmissionThreshold

STEP = WINDOW_SECONDS * 1.01
RATE = 100.0
TARGET = 2.0


def overloaded(windows: int, arrivals: int = 20) -> tuple[AdmissionThreshold, float]:
    """Let ranks arrive evenly, at four times the rate, with a queue that stands."""
    threshold = AdmissionThreshold(0.0)
    now = 0.0
    threshold.update(STEP, 20, RATE, TARGET)
    now = STEP
    for _ in range(windows):
        for number in range(arrivals):
            threshold.on_arrival(int((number + 0.5) / arrivals * RANKS))
        threshold.on_queue(20)
        now += STEP
        threshold.update(now, 20, RATE, TARGET)
    return threshold, now


def test_threshold_lets_through_what_the_back_end_finishes() -> None:
    threshold, _ = overloaded(20)
    assert 0.6 * RANKS < threshold.value < 0.85 * RANKS


def test_threshold_does_not_fall_while_the_queue_stands() -> None:
    """Callers shed what lies below it, so nothing arrives there and the room seems large."""
    threshold, now = overloaded(20)
    held = threshold.value
    for _ in range(20):
        now += STEP
        threshold.on_arrival(RANKS - 1)
        threshold.on_queue(20)
        threshold.update(now, 20, RATE, TARGET)
        assert threshold.value >= held


def test_threshold_falls_to_nothing_soon_after_the_queue_has_emptied() -> None:
    threshold, now = overloaded(20)
    windows = 0
    while threshold.value:
        now += STEP
        threshold.on_queue(0)
        threshold.update(now, 0, RATE, TARGET)
        windows += 1
    assert windows * WINDOW_SECONDS <= 0.5


def test_short_queue_changes_nothing() -> None:
    threshold, now = overloaded(20)
    threshold.on_queue(1)
    threshold.update(now + STEP, 1, RATE, TARGET)
    held = threshold.value
    threshold.on_queue(1)
    threshold.update(now + 2 * STEP, 1, RATE, TARGET)
    assert threshold.value == held


def test_threshold_never_refuses_everything() -> None:
    threshold, _ = overloaded(50, arrivals=5000)
    assert threshold.value <= RANKS - (1 << BUCKET_BITS)
