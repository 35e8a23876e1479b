"""A daemon's memory is divided so that the bodies that it holds fit, copies included."""

import pytest

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.memory import (
    COPIES,
    MIN_BODIES_BYTES,
    PROCESS_BYTES,
    MemoryPlan,
    call_bytes,
)
from finchshed.link.messages import Call

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


# The shorter the lines of a head, the more its objects cost beside its text.
def test_a_call_is_counted_at_what_its_headers_cost() -> None:
    def bytes_of(*headers: tuple[str, str], body: bytes = b"") -> int:
        context = CallContext("root", Importance.NORMAL, 1.0)
        return call_bytes(Call("e", 1, "s", "GET", "/", headers, body, "", context))

    assert bytes_of(*[("a", "")] * 4_000) > 4_000 * 200
    assert bytes_of(body=bytes(1_000_000)) > 1_000_000
    assert bytes_of(("a", "b")) < 4_096
