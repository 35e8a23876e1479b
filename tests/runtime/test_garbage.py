"""Objects that exist when a process starts serving are excluded from garbage collection."""

import gc
from collections.abc import Iterator

import pytest

from finchshed.runtime import garbage


@pytest.fixture(autouse=True)
def restore_collector() -> Iterator[None]:
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    gc.enable()


def collection_count() -> int:
    return sum(generation["collections"] for generation in gc.get_stats())


def test_pausing_disables_collection_and_freezes_new_objects() -> None:
    with garbage.paused():
        before = collection_count()
        created = [[number] for number in range(10_000)]
        assert collection_count() == before
    assert gc.isenabled()
    assert gc.get_freeze_count() >= len(created)


def test_collection_is_enabled_again_after_a_failed_import() -> None:
    with pytest.raises(ImportError), garbage.paused():
        raise ImportError("no such module")
    assert gc.isenabled()


def test_freezing_does_not_trigger_a_collection() -> None:
    before = collection_count()
    garbage.freeze_existing_objects()
    assert collection_count() == before
    assert gc.get_threshold()[0] == garbage.YOUNG_THRESHOLD
