"""The checker accepts exactly the histories that have a valid sequential order."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.proof.consensus.linearizability import INITIAL, Operation, is_linearizable
from finchshed.proof.consensus.register import Change, ChangeResult, Reading

INFINITY = float("inf")


def change(
    name: str, expected: int, result: ChangeResult | None, start: float, end: float = INFINITY
) -> Operation:
    return Operation(
        client=name, change=Change(name, expected), result=result, invoked=start, returned=end
    )


def read(result: Reading, start: float, end: float) -> Operation:
    return Operation(client="r", change=None, result=result, invoked=start, returned=end)


WON_1 = ChangeResult(True, 1, "a")


def test_read_after_a_change_sees_it() -> None:
    won = change("a", 0, WON_1, 0, 1)
    assert is_linearizable([won, read(Reading(1, "a"), 2, 3)])
    assert not is_linearizable([won, read(INITIAL, 2, 3)])


def test_read_concurrent_with_a_change_sees_either_state() -> None:
    won = change("a", 0, WON_1, 0, 4)
    assert is_linearizable([won, read(INITIAL, 1, 2)])
    assert is_linearizable([won, read(Reading(1, "a"), 1, 2)])


def test_read_does_not_return_a_state_older_than_an_earlier_read() -> None:
    won = change("a", 0, WON_1, 0, 9)
    assert not is_linearizable([won, read(Reading(1, "a"), 1, 2), read(INITIAL, 3, 4)])


def test_two_changes_cannot_both_win_a_revision() -> None:
    both = [change("a", 0, WON_1, 0, 2), change("b", 0, ChangeResult(True, 1, "b"), 0, 2)]
    assert not is_linearizable(both)
    loser = change("b", 0, ChangeResult(False, 1, "a"), 0, 2)
    assert is_linearizable([both[0], loser])


def test_conflict_names_the_current_winner() -> None:
    won = change("a", 0, WON_1, 0, 2)
    assert not is_linearizable([won, change("b", 0, ChangeResult(False, 1, "c"), 0, 2)])


@pytest.mark.parametrize("seen", [INITIAL, Reading(1, "a")])
def test_unanswered_change_may_have_taken_effect_or_not(seen: Reading) -> None:
    assert is_linearizable([change("a", 0, None, 0), read(seen, 5, 6)])


def test_unanswered_change_takes_no_effect_before_its_invocation() -> None:
    assert not is_linearizable([read(Reading(1, "a"), 0, 1), change("a", 0, None, 2)])


def is_linearizable_by_enumeration(operations: list[Operation]) -> bool:
    """Enumerate all orders of all subsets of the operations."""
    for size in range(len(operations) + 1):
        for order in itertools.permutations(operations, size):
            if _is_valid_order(operations, order):
                return True
    return False


def _is_valid_order(operations: list[Operation], order: tuple[Operation, ...]) -> bool:
    if any(item not in order and item.result is not None for item in operations):
        return False
    for position, later in enumerate(order):
        if any(later.invoked > after.returned for after in order[position + 1 :]):
            return False
    state = INITIAL
    for item in order:
        expected: ChangeResult | Reading = state
        if item.change is not None:
            wins = item.change.expected_revision == state.revision
            state = Reading(state.revision + 1, item.change.change_id) if wins else state
            expected = ChangeResult(wins, state.revision, state.winner)
        if item.result is not None and item.result != expected:
            return False
    return True


@st.composite
def histories(draw: st.DrawFn) -> list[Operation]:
    names = "abcde"[: draw(st.integers(1, 5))]
    operations = []
    for name in names:
        start = draw(st.integers(0, 6))
        end = start + draw(st.integers(1, 5))
        revision = draw(st.integers(0, 2))
        winner = draw(st.sampled_from(names)) if revision else ""
        if draw(st.booleans()):
            operations.append(read(Reading(revision, winner), start, end))
        elif draw(st.booleans()):
            operations.append(change(name, draw(st.integers(0, 1)), None, start))
        else:
            accepted = draw(st.booleans())
            result = ChangeResult(accepted, revision, name if accepted else winner)
            operations.append(change(name, draw(st.integers(0, 1)), result, start, end))
    return operations


@settings(max_examples=300, deadline=None, derandomize=True)
@given(histories())
def test_checker_agrees_with_enumeration(operations: list[Operation]) -> None:
    assert is_linearizable(operations) == is_linearizable_by_enumeration(operations)
