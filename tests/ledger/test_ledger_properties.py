"""At-most-once execution over random histories of attempts, cancels, restarts and time."""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.common.outcomes import Answered
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import Ledger, LedgerSnapshot
from finchshed.ledger.results import Completed, Granted

NOW = 1_800_000_000.0
KEYS = [new_key(NOW + number, random.Random(number)) for number in range(3)]

operations = st.lists(
    st.tuples(
        st.sampled_from(["begin", "late_begin", "cancel", "complete", "advance", "restart"]),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=60,
)


class ExecutionModel:
    """Model of daemons: a granted attempt is executed once unless it was cancelled before."""

    def __init__(self) -> None:
        self.runs: dict[str, set[str]] = {}
        self.cancelled_attempts: set[str] = set()
        self.answers: dict[str, Answered] = {}


@settings(max_examples=300, deadline=None, derandomize=True)
@given(operations)
def test_no_key_runs_twice_and_answers_never_change(
    history: list[tuple[str, int, int]],
) -> None:
    ledger = Ledger()
    time = NOW
    ledger.advance(time, 100.0)
    model = ExecutionModel()
    for action, key_number, attempt_number in history:
        key, attempt = KEYS[key_number], f"{key_number}-{attempt_number}"
        executed = model.runs.setdefault(key, set())
        if action in ("begin", "late_begin"):
            result = ledger.begin(key, attempt)
            taken = action == "begin" and attempt not in model.cancelled_attempts
            if isinstance(result, Granted) and taken:
                executed.add(attempt)
            if isinstance(result, Completed):
                assert model.answers[key] == result.answer
        elif action == "cancel" and attempt not in executed:
            model.cancelled_attempts.add(attempt)
            ledger.cancel(key, attempt)
        elif action == "complete" and attempt in executed:
            answer = Answered(200, (), f"{key}/{attempt}".encode())
            ledger.complete(key, attempt, answer)
            model.answers.setdefault(key, answer)
        elif action == "advance":
            time += 10.0 * attempt_number
            ledger.advance(time, 100.0 + 50.0 * key_number)
        elif action == "restart":
            data = msgspec.json.encode(ledger.snapshot())
            ledger = Ledger()
            ledger.restore(msgspec.json.decode(data, type=LedgerSnapshot))
        assert len(executed) <= 1, "a key ran under two attempts"
