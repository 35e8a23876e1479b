"""Linearizability of a recorded history of the register.

The search of Wing and Gong ("Testing and verifying concurrent objects", 1993) with the memory of
visited configurations added by Lowe ("Testing for linearizability", 2017): pick any operation that
began before every unpicked one ended, apply it to the model, go back when its result differs.
"""

from typing import TypeAlias

import msgspec

from finchshed.proof.consensus.register import Change, ChangeResult, Reading

INITIAL = Reading(0, "")


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One operation as its client saw it.

    Attributes
    ----------
    change
        What was proposed; None: a read.
    result
        What was answered; None: whether it took effect is unknown.
    invoked, returned
        Simulated seconds; ``returned`` is infinite while no answer came.
    """

    client: str
    change: Change | None
    result: ChangeResult | Reading | None
    invoked: float
    returned: float


Configuration: TypeAlias = tuple[int, Reading]


def is_linearizable(operations: list[Operation]) -> bool:
    """Whether some order of the operations explains all answers.

    The order must keep any operation that returned before another was invoked in front of it. A
    change of unknown outcome may come at any place after its invocation, or at none; a read
    without an answer says nothing and is left out.
    """
    known = [item for item in operations if item.change is not None or item.result is not None]
    ordered = sorted(known, key=lambda item: item.invoked)
    return _Search(ordered).succeeds()


class _Search:
    """Depth-first search; a set of operations is a bit mask over ``operations``."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = operations
        self._required = _mask_of(operations)
        self._visited: set[Configuration] = set()

    def succeeds(self) -> bool:
        stack: list[Configuration] = [(0, INITIAL)]
        while stack:
            done, state = stack.pop()
            if done & self._required == self._required:
                return True
            if (done, state) in self._visited:
                continue
            self._visited.add((done, state))
            stack.extend(self._successors(done, state))
        return False

    def _successors(self, done: int, state: Reading) -> list[Configuration]:
        found: list[Configuration] = []
        first_return = float("inf")
        for position, operation in enumerate(self._operations):
            if done >> position & 1:
                continue
            if operation.invoked > first_return:
                break
            first_return = min(first_return, operation.returned)
            after = _apply(operation, state)
            if after is not None:
                found.append((done | 1 << position, after))
        return found


def _mask_of(operations: list[Operation]) -> int:
    mask = 0
    for position, operation in enumerate(operations):
        if operation.result is not None:
            mask |= 1 << position
    return mask


def _apply(operation: Operation, state: Reading) -> Reading | None:
    """Return the state after an operation, or None if its result can't come from ``state``."""
    change, result = operation.change, operation.result
    if change is None:
        return state if result == state else None
    wins = change.expected_revision == state.revision
    after = Reading(state.revision + 1, change.change_id) if wins else state
    if result is None:
        # A change that loses has no effect, so nothing is gained by placing it.
        return after if wins else None
    expected = ChangeResult(wins, after.revision, after.winner)
    return after if result == expected else None
