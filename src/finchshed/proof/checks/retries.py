"""Retries of one request stay within a fixed bound over its whole call graph."""

from collections.abc import Iterator
from typing import Final

from finchshed.proof.checks.index import Index, Violation
from finchshed.routing.caller import MAX_REDIRECTS

NAME: Final = "retry-bound"


def check(index: Index) -> Iterator[Violation]:
    """Yield outside calls whose call graph used more than the budget.

    Two bounds are checked for each call from outside. Runs at back ends beyond the first of each
    call of the graph never exceed the budget. Attempts sent beyond the first of each call never
    exceed the budget plus the redirects: an endpoint that takes no work at all passes a call on
    without a charge, at most :data:`~finchshed.routing.caller.MAX_REDIRECTS` times a call.
    """
    budget = index.header.retry_budget
    for call in index.outside_calls:
        tree = index.tree_of(call.call)
        repeats = sum(max(len(index.runs_of_call.get(name, ())) - 1, 0) for name in tree)
        if repeats > budget:
            detail = f"{repeats} repeated runs over {len(tree)} calls, the budget is {budget}"
            yield Violation(NAME, call.time, call.call, detail)
        sent = sum(max(len(index.attempts_of_call.get(name, ())) - 1, 0) for name in tree)
        allowed = budget + MAX_REDIRECTS * len(tree)
        if sent > allowed:
            detail = f"{sent} repeated attempts over {len(tree)} calls, allowed are {allowed}"
            yield Violation(NAME, call.time, call.call, detail)
