"""Retry accounts conserve spare attempts."""

from hypothesis import given
from hypothesis import strategies as st

from finchshed.retry.account import RetryAccounts


@given(st.integers(0, 16), st.lists(st.tuples(st.booleans(), st.integers(-2, 20)), max_size=40))
def test_balance_and_lent_never_exceed_what_was_given(
    given_spare: int, steps: list[tuple[bool, int]]
) -> None:
    accounts = RetryAccounts()
    accounts.open("a", given_spare)
    lent: list[int] = []
    for lend, claimed in steps:
        if lend:
            lent.append(accounts.allocate("a"))
        elif lent:
            accounts.refund("a", lent.pop(), claimed)
    assert 0 <= accounts.close("a") + sum(lent) <= given_spare


def test_what_is_lent_at_close_is_lost() -> None:
    accounts = RetryAccounts()
    accounts.open("a", 3)
    share = accounts.allocate("a")
    assert accounts.close("a") == 3 - share
    accounts.refund("a", share, share)
    assert len(accounts) == 0
