"""Spare attempts are never created by allocations and refunds."""

from hypothesis import given
from hypothesis import strategies as st

from finchshed.retry.account import RetryAccounts


@given(st.integers(0, 16), st.lists(st.tuples(st.booleans(), st.integers(-2, 20)), max_size=40))
def test_balance_and_allocations_never_exceed_the_initial_budget(
    initial: int, steps: list[tuple[bool, int]]
) -> None:
    accounts = RetryAccounts()
    accounts.open("a", initial)
    allocated: list[int] = []
    for is_allocation, claimed in steps:
        if is_allocation:
            allocated.append(accounts.allocate("a"))
        elif allocated:
            accounts.refund("a", allocated.pop(), claimed)
    assert 0 <= accounts.close("a") + sum(allocated) <= initial


def test_open_allocations_are_lost_at_close() -> None:
    accounts = RetryAccounts()
    accounts.open("a", 3)
    allocated = accounts.allocate("a")
    assert accounts.close("a") == 3 - allocated
    accounts.refund("a", allocated, allocated)
    assert len(accounts) == 0
