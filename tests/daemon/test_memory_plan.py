"""A daemon's memory is divided so that the bodies that it holds fit, copies included."""

import pytest

from finchshed.daemon.memory import COPIES, MIN_BODIES_BYTES, PROCESS_BYTES, MemoryPlan

SPOOL_BYTES = 128 << 20


@pytest.mark.parametrize("megabytes", [96, 200, 300, 1_000, 10_000])
def test_all_bodies_and_their_copies_fit(megabytes: int) -> None:
    memory = megabytes * 1_000_000
    plan = MemoryPlan(memory, SPOOL_BYTES)
    bodies = plan.spooled_bytes + plan.bodies.limit
    assert PROCESS_BYTES + COPIES * bodies <= max(memory, PROCESS_BYTES + COPIES * MIN_BODIES_BYTES)
    assert plan.max_answer_bytes < plan.bodies.limit


def test_a_machine_without_room_still_serves_small_bodies() -> None:
    plan = MemoryPlan(1 << 20, SPOOL_BYTES)
    assert plan.spooled_bytes + plan.bodies.limit == MIN_BODIES_BYTES
    assert plan.max_answer_bytes > 500_000


def test_the_setting_of_spooled_bodies_is_an_upper_bound() -> None:
    assert MemoryPlan(10 << 30, SPOOL_BYTES).spooled_bytes == SPOOL_BYTES
