"""What a process has made by the time it serves is never looked at again."""

import gc
from collections.abc import Iterator

import pytest

from finchshed.runtime import garbage


@pytest.fixture(autouse=True)
def thawed() -> Iterator[None]:
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    gc.enable()


def collections() -> int:
    return sum(generation["collections"] for generation in gc.get_stats())


def test_nothing_is_collected_while_paused_and_what_came_is_left_alone() -> None:
    with garbage.paused():
        before = collections()
        made = [[number] for number in range(10_000)]
        assert collections() == before
    assert gc.isenabled()
    assert gc.get_freeze_count() >= len(made)


def test_collections_go_on_if_an_import_fails() -> None:
    with pytest.raises(ImportError), garbage.paused():
        raise ImportError("no such module")
    assert gc.isenabled()


def test_settling_collects_nothing() -> None:
    before = collections()
    garbage.freeze_existing_objects()
    assert collections() == before
    assert gc.get_threshold()[0] == garbage.YOUNG_THRESHOLD
