"""Lending and giving back never create spare attempts."""

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
            lent.append(accounts.lend("a"))
        elif lent:
            accounts.give_back("a", lent.pop(), claimed)
    assert 0 <= accounts.close("a") + sum(lent) <= given_spare


def test_open_loans_are_lost_at_close() -> None:
    accounts = RetryAccounts()
    accounts.open("a", 3)
    lent = accounts.lend("a")
    assert accounts.close("a") == 3 - lent
    accounts.give_back("a", lent, lent)
    assert len(accounts) == 0
