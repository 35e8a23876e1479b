"""Queue-based admission threshold."""

from finchshed.admission.queue_threshold import BUCKET_BITS, WINDOW_SECONDS, QueueThreshold
from finchshed.admission.rank import RANKS

STEP_SECONDS = WINDOW_SECONDS * 1.01
RATE = 100.0
TARGET_QUEUE = 2.0


def overloaded(windows: int, arrivals: int = 20) -> tuple[QueueThreshold, float]:
    """Return a threshold, and the time, after evenly spread arrivals with a standing queue."""
    threshold = QueueThreshold(0.0)
    now = 0.0
    threshold.update(STEP_SECONDS, 20, RATE, TARGET_QUEUE)
    now = STEP_SECONDS
    for _ in range(windows):
        for number in range(arrivals):
            threshold.on_arrival(int((number + 0.5) / arrivals * RANKS))
        threshold.on_queue(20)
        now += STEP_SECONDS
        threshold.update(now, 20, RATE, TARGET_QUEUE)
    return threshold, now


def test_threshold_admits_what_the_back_end_finishes() -> None:
    threshold, _ = overloaded(20)
    assert 0.6 * RANKS < threshold.value < 0.85 * RANKS


def test_threshold_does_not_fall_while_the_queue_is_standing() -> None:
    """Callers shed below it, so the missing arrivals must not be taken for free capacity."""
    threshold, now = overloaded(20)
    before = threshold.value
    for _ in range(20):
        now += STEP_SECONDS
        threshold.on_arrival(RANKS - 1)
        threshold.on_queue(20)
        threshold.update(now, 20, RATE, TARGET_QUEUE)
        assert threshold.value >= before


def test_threshold_falls_to_zero_soon_after_the_queue_empties() -> None:
    threshold, now = overloaded(20)
    windows = 0
    while threshold.value:
        now += STEP_SECONDS
        threshold.on_queue(0)
        threshold.update(now, 0, RATE, TARGET_QUEUE)
        windows += 1
    assert windows * WINDOW_SECONDS <= 0.5


def test_short_queue_leaves_the_threshold_unchanged() -> None:
    threshold, now = overloaded(20)
    threshold.on_queue(1)
    threshold.update(now + STEP_SECONDS, 1, RATE, TARGET_QUEUE)
    before = threshold.value
    threshold.on_queue(1)
    threshold.update(now + 2 * STEP_SECONDS, 1, RATE, TARGET_QUEUE)
    assert threshold.value == before


def test_threshold_never_refuses_everything() -> None:
    threshold, _ = overloaded(50, arrivals=5000)
    assert threshold.value <= RANKS - (1 << BUCKET_BITS)
