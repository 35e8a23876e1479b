"""A wait ends at its deadline even if the event loop is busy."""

import pytest

from finchshed.runtime.waiting import wait_while


class BusyLoop:
    """A simulated event loop whose sleeps take ``slowness`` times as long as requested."""

    def __init__(self, slowness: float) -> None:
        self.time = 100.0
        self._slowness = slowness

    def now(self) -> float:
        return self.time

    async def sleep(self, seconds: float) -> None:
        self.time += seconds * self._slowness


@pytest.mark.parametrize("slowness", [1.0, 3.0, 10.0])
async def test_a_wait_ends_in_time_on_a_busy_loop(slowness: float) -> None:
    loop = BusyLoop(slowness)
    assert not await wait_while(lambda: True, 3.0, now=loop.now, sleep=loop.sleep)
    assert 103.0 <= loop.time <= 103.0 + 0.02 * slowness


async def test_a_wait_ends_when_the_condition_clears() -> None:
    loop = BusyLoop(1.0)
    assert await wait_while(lambda: loop.time < 101.0, 3.0, now=loop.now, sleep=loop.sleep)
    assert loop.time < 101.05


async def test_an_idle_condition_returns_without_sleeping() -> None:
    loop = BusyLoop(1.0)
    assert await wait_while(lambda: False, 3.0, now=loop.now, sleep=loop.sleep)
    assert loop.time == 100.0
