"""Memory held for bodies stays within its limit, and small holdings go on beside large ones."""

import random

import pytest

from finchshed.common.memory_budget import (
    LARGE_BYTES,
    SMALL_KEPT_BYTES,
    Holding,
    HoldingKind,
    MemoryBudget,
)

LIMIT = 10 * LARGE_BYTES


class Holder:
    """Holds memory, and counts how often it had to give way."""

    def __init__(self, budget: MemoryBudget, kind: HoldingKind = HoldingKind.ONE_REQUEST) -> None:
        self.dropped = 0
        self.holding: Holding = budget.open(kind, self._on_dropped)

    def _on_dropped(self) -> None:
        self.dropped += 1


def test_holdings_add_up_and_are_released() -> None:
    budget = MemoryBudget(LIMIT)
    holders = [Holder(budget) for _ in range(3)]
    assert all(holder.holding.resize(LARGE_BYTES) for holder in holders)
    assert budget.held == 3 * LARGE_BYTES
    holders[0].holding.resize(10)
    holders[1].holding.release()
    assert budget.held == LARGE_BYTES + 10


def test_the_largest_gives_way() -> None:
    budget = MemoryBudget(LIMIT)
    largest, other, new = Holder(budget), Holder(budget), Holder(budget)
    largest.holding.resize(6 * LARGE_BYTES)
    other.holding.resize(3 * LARGE_BYTES)
    assert new.holding.resize(2 * LARGE_BYTES)
    assert (largest.dropped, other.dropped, new.dropped) == (1, 0, 0)
    assert largest.holding.size == 0
    assert budget.held == 5 * LARGE_BYTES


def test_one_that_would_be_the_largest_finds_no_room() -> None:
    budget = MemoryBudget(LIMIT)
    first, second = Holder(budget), Holder(budget)
    first.holding.resize(6 * LARGE_BYTES)
    assert not second.holding.resize(7 * LARGE_BYTES)
    assert (first.dropped, second.dropped) == (0, 0)
    assert second.holding.size == 0
    assert budget.held == 6 * LARGE_BYTES


def test_connections_of_many_requests_give_way_last() -> None:
    budget = MemoryBudget(LIMIT)
    link = Holder(budget, HoldingKind.MANY_REQUESTS)
    small = Holder(budget)
    link.holding.resize(6 * LARGE_BYTES)
    small.holding.resize(2 * LARGE_BYTES)
    assert link.holding.resize(9 * LARGE_BYTES)
    assert (link.dropped, small.dropped) == (0, 1)
    assert not link.holding.resize(LIMIT + 1)


def test_what_is_kept_never_gives_way() -> None:
    budget = MemoryBudget(LIMIT)
    kept, other = Holder(budget, HoldingKind.KEPT), Holder(budget)
    assert kept.holding.resize(5 * LARGE_BYTES)
    assert not other.holding.resize(6 * LARGE_BYTES)
    assert kept.dropped == 0
    assert kept.holding.size == 5 * LARGE_BYTES


def test_what_is_kept_leaves_room_for_the_rest() -> None:
    budget = MemoryBudget(LIMIT)
    kept = [Holder(budget, HoldingKind.KEPT) for _ in range(8)]
    assert [one.holding.resize(LARGE_BYTES) for one in kept] == [True] * 5 + [False] * 3
    assert Holder(budget).holding.resize(5 * LARGE_BYTES)


def test_many_small_ones_find_no_room_at_the_limit() -> None:
    budget = MemoryBudget(LIMIT)
    holders = [Holder(budget) for _ in range(12)]
    granted = [holder.holding.resize(LARGE_BYTES) for holder in holders]
    assert granted == [True] * 10 + [False] * 2
    assert budget.held == LIMIT


def test_a_much_smaller_one_finds_room_among_many_small_ones() -> None:
    budget = MemoryBudget(LIMIT)
    crowd = [Holder(budget) for _ in range(10)]
    assert all(holder.holding.resize(LARGE_BYTES) for holder in crowd)
    assert Holder(budget).holding.resize(LARGE_BYTES // 4)
    assert [holder.dropped for holder in crowd] == [1] + [0] * 9


def test_small_ones_are_kept_beside_large_ones_up_to_the_limit() -> None:
    budget = MemoryBudget(LIMIT)
    assert Holder(budget, HoldingKind.KEPT).holding.resize(LIMIT // 2)
    assert not Holder(budget, HoldingKind.KEPT).holding.resize(SMALL_KEPT_BYTES + 1)
    small = [Holder(budget, HoldingKind.KEPT) for _ in range(LIMIT // 2 // SMALL_KEPT_BYTES + 1)]
    granted = [holder.holding.resize(SMALL_KEPT_BYTES) for holder in small]
    assert granted == [True] * (len(small) - 1) + [False]


@pytest.mark.parametrize("seed", range(20))
def test_the_limit_holds_whatever_is_held(seed: int) -> None:
    rng = random.Random(seed)
    budget = MemoryBudget(LIMIT)
    holders = [Holder(budget, rng.choice(list(HoldingKind))) for _ in range(30)]
    for _ in range(500):
        holder = rng.choice(holders)
        holder.holding.resize(rng.choice((0, 100, LARGE_BYTES, 3 * LARGE_BYTES, 2 * LIMIT)))
        assert budget.held == sum(one.holding.size for one in holders)
        assert budget.held <= LIMIT
