"""What was refused as not run didn't run, and what may not be repeated ran at most once."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import CallResult, RunBegan

NAME_REFUSED: Final = "refused-not-run"
NAME_ONCE: Final = "at-most-once"


def check_refused(index: Index) -> Iterator[Violation]:
    """Yield calls that were refused and whose request nevertheless ran, before or after.

    Refusal is a statement about one call, so runs are found by the call's name. A caller that
    gave up on one call and repeats its request makes another call; what the first did is no
    part of the second's outcome.
    """
    for name, ends in index.call_ends.items():
        for end in ends:
            if end.result is CallResult.REFUSED and name in index.runs_of_call:
                run = index.runs_of_call[name][0]
                detail = f"refused ({end.reason}), ran as {run.run} at {run.time:.3f} s"
                yield Violation(NAME_REFUSED, end.time, name, detail)


def check_once(index: Index) -> Iterator[Violation]:
    """Yield requests with a key that began to run more than once at one service."""
    runs: dict[tuple[str, str], list[RunBegan]] = defaultdict(list)
    for run in index.runs.values():
        if run.key:
            runs[(run.service, run.key)].append(run)
    for (_, key), repeated in runs.items():
        if len(repeated) > 1:
            names = ", ".join(run.run for run in repeated)
            yield Violation(NAME_ONCE, repeated[1].time, key, f"ran as {names}")
