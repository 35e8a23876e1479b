"""Stateful test: duplicate and late requests in any order run no key twice, also after restores."""

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from finchshed.common.outcomes import Answered
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import Ledger, LedgerLimits, LedgerSnapshot, answer_bytes
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    LedgerResult,
    Recorded,
)

START = 1_800_000_000.0
WINDOW_SECONDS = 100.0
LIMITS = LedgerLimits(max_keys=6, max_answer_bytes=40, max_total_answer_bytes=100)

attempts = st.sampled_from(["a", "b", "c"])


class LedgerMachine(RuleBasedStateMachine):
    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.time = START
        self.window = WINDOW_SECONDS
        self.reference = Ledger(LIMITS)
        self.restarted = Ledger(LIMITS)
        self.granted: set[tuple[str, str]] = set()
        self.sent: dict[str, str] = {}
        self.abandoned: set[tuple[str, str]] = set()
        self.cancelled: set[tuple[str, str]] = set()
        self.first_answers: dict[str, Answered] = {}
        self.issued: dict[str, float] = {}
        self.advance(0.0)

    def apply_to_both(self, name: str, *arguments: object) -> LedgerResult:
        result: LedgerResult = getattr(self.reference, name)(*arguments)
        assert getattr(self.restarted, name)(*arguments) == result
        return result

    @rule(target=keys, age=st.floats(-90.0, 130.0), seed=st.integers(0, 1 << 30))
    def make_key(self, age: float, seed: int) -> str:
        key = new_key(self.time - age, random.Random(seed))
        self.issued[key] = int((self.time - age) * 1000) / 1000
        return key

    @rule(key=keys, attempt=attempts)
    def begin(self, key: str, attempt: str) -> None:
        """Covers duplicate and late begins as well."""
        result = self.apply_to_both("begin", key, attempt)
        expired = self.issued[key] < self.reference.oldest_issued
        refused = LedgerRefusal(LedgerRefusalReason.EXPIRED)
        assert (result == refused) == expired
        if isinstance(result, Granted):
            assert (key, attempt) not in self.cancelled
            assert self.sent.get(key, attempt) == attempt
            self.granted.add((key, attempt))
        elif isinstance(result, Completed):
            assert result.answer == self.first_answers[key]

    @rule(key=keys, attempt=attempts)
    def send(self, key: str, attempt: str) -> None:
        if (key, attempt) in self.granted - self.abandoned:
            assert self.sent.setdefault(key, attempt) == attempt, "the key ran twice"

    @rule(key=keys, attempt=attempts)
    def give_up(self, key: str, attempt: str) -> None:
        if self.sent.get(key) != attempt:
            self.abandoned.add((key, attempt))
            if self.apply_to_both("cancel", key, attempt) == Recorded():
                self.cancelled.add((key, attempt))

    @rule(key=keys, size=st.integers(0, 60))
    def complete(self, key: str, size: int) -> None:
        if key in self.sent:
            answer = Answered(200, (), b"x" * size)
            self.apply_to_both("complete", key, self.sent[key], answer)
            self.first_answers.setdefault(key, answer)

    @rule(key=keys, attempt=st.sampled_from(["", "a", "stray"]))
    def complete_without_execution(self, key: str, attempt: str) -> None:
        if self.sent.get(key) != attempt and (key, attempt) not in self.granted:
            self.apply_to_both("complete", key, attempt, Answered(200, (), b"stray"))

    @rule(seconds=st.floats(0.0, 60.0))
    def advance(self, seconds: float) -> None:
        self.time += seconds
        self.apply_to_both("advance", self.time, self.window)

    @rule(seconds=st.sampled_from([20.0, WINDOW_SECONDS, 400.0]))
    def change_window(self, seconds: float) -> None:
        self.window = seconds

    @rule()
    def clock_goes_back(self) -> None:
        self.apply_to_both("advance", self.time - 3_600.0, self.window)

    @rule()
    def restart(self) -> None:
        data = msgspec.json.encode(self.restarted.snapshot())
        self.restarted = Ledger(LIMITS)
        self.restarted.restore(msgspec.json.decode(data, type=LedgerSnapshot))

    @invariant()
    def sizes_are_bounded_and_consistent(self) -> None:
        for ledger in (self.reference, self.restarted):
            entries = ledger.snapshot().entries
            assert len(entries) <= LIMITS.max_keys
            held = sum(answer_bytes(entry.answer) for entry in entries.values())
            assert held == ledger.total_answer_bytes <= LIMITS.max_total_answer_bytes
            assert sum(ledger.counts().values()) == len(entries)
            assert all(entry.issued >= ledger.oldest_issued for entry in entries.values())

    @invariant()
    def restarts_change_nothing(self) -> None:
        assert self.reference.snapshot() == self.restarted.snapshot()


def test_no_request_order_runs_a_key_twice_or_changes_an_answer() -> None:
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
        ),
    )
