"""State transitions and limits of the at-most-once ledger."""

import random

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.ledger.keys import issued_at, new_key
from finchshed.ledger.ledger import Ledger, LedgerLimits, LedgerSnapshot
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    NotHolder,
    OutcomeUnknown,
    Recorded,
)

NOW = 1_800_000_000.0
WINDOW = 600.0
ANSWER = Answered(200, (("content-type", "text/plain"),), b"licence 17")
RNG = random.Random(1)


def new_key_of_age(age: float = 0.0) -> str:
    return new_key(NOW - age, RNG)


def ledger_at(time: float = NOW, limits: LedgerLimits | None = None) -> Ledger:
    ledger = Ledger(limits)
    ledger.advance(time, WINDOW)
    return ledger


def restarted(ledger: Ledger, limits: LedgerLimits | None = None) -> Ledger:
    data = msgspec.json.encode(ledger.snapshot())
    other = Ledger(limits)
    other.restore(msgspec.json.decode(data, type=LedgerSnapshot))
    return other


def refusal(reason: LedgerRefusalReason) -> LedgerRefusal:
    return LedgerRefusal(reason)


def test_keys_contain_their_issue_time() -> None:
    key = new_key(NOW, RNG)
    assert issued_at(key) == NOW
    assert new_key(NOW, RNG) != key
    assert issued_at("purchase-17") is None
    assert issued_at("9f0c1f9e-8a5e-4d55-9b3c-2f9f0f0f0f0f") is None


def test_only_the_canonical_form_of_a_key_is_accepted() -> None:
    key = new_key(NOW, random.Random(1))
    for other in (key.upper(), key.replace("-", ""), f"{{{key}}}", f"urn:uuid:{key}", f" {key}"):
        assert issued_at(other) is None
    assert issued_at(key) == NOW


def test_cancel_of_a_key_from_the_future_is_refused() -> None:
    ledger = Ledger()
    ledger.advance(NOW, 100.0)
    future = new_key(NOW + 61.0, random.Random(1))
    assert ledger.cancel(future, "a") == LedgerRefusal(LedgerRefusalReason.MADE_IN_THE_FUTURE)


def test_key_without_a_holder_cannot_be_completed() -> None:
    ledger = Ledger()
    ledger.advance(NOW, 100.0)
    key = new_key(NOW, random.Random(1))
    ledger.cancel(key, "a")
    assert ledger.complete(key, "", Answered(200, (), b"")) == NotHolder()
    assert ledger.begin(key, "b") == Granted()


def test_only_the_first_attempt_and_its_resends_are_granted() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    assert ledger.begin(key, "a") == Granted()
    assert ledger.begin(key, "a") == Granted()
    assert ledger.begin(key, "b") == OutcomeUnknown()


def test_every_attempt_gets_the_recorded_answer_after_completion() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    assert ledger.complete(key, "a", ANSWER) == Recorded()
    for again in (ledger, restarted(ledger)):
        assert again.begin(key, "a") == Completed(ANSWER)
        assert again.begin(key, "b") == Completed(ANSWER)


def test_second_completion_does_not_change_the_answer() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    assert ledger.complete(key, "a", Answered(500, (), b"")) == Recorded()
    assert ledger.begin(key, "b") == Completed(ANSWER)


def test_cancelled_attempt_frees_the_key_and_is_not_granted_again() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    assert ledger.cancel(key, "a") == Recorded()
    cancelled = refusal(LedgerRefusalReason.ATTEMPT_CANCELLED)
    assert ledger.begin(key, "a") == cancelled
    assert restarted(ledger).begin(key, "a") == cancelled
    assert ledger.begin(key, "b") == Granted()


def test_cancel_that_arrives_before_its_begin_takes_precedence() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    assert ledger.cancel(key, "a") == Recorded()
    assert ledger.begin(key, "a") == refusal(LedgerRefusalReason.ATTEMPT_CANCELLED)
    assert ledger.begin(key, "b") == Granted()


def test_cancel_by_another_attempt_does_not_free_the_key() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.cancel(key, "b")
    assert ledger.begin(key, "c") == OutcomeUnknown()


def test_completed_attempt_cannot_be_cancelled() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    assert ledger.cancel(key, "a") == NotHolder()
    assert ledger.begin(key, "b") == Completed(ANSWER)


def test_completion_by_an_attempt_without_the_key_is_rejected() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    assert ledger.complete(key, "a", ANSWER) == NotHolder()
    ledger.begin(key, "a")
    ledger.cancel(key, "a")
    assert ledger.complete(key, "a", ANSWER) == NotHolder()
    assert ledger.begin(key, "b") == Granted()


def test_expired_key_is_refused_after_it_is_dropped() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    assert len(ledger) == 0
    assert ledger.total_answer_bytes == 0
    for again in (ledger, restarted(ledger)):
        assert again.begin(key, "b") == refusal(LedgerRefusalReason.EXPIRED)


def test_longer_window_does_not_revive_a_dropped_key() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    ledger.advance(NOW + WINDOW + 2.0, 100 * WINDOW)
    assert ledger.begin(key, "b") == refusal(LedgerRefusalReason.EXPIRED)


def test_leader_with_a_late_clock_does_not_move_time_back() -> None:
    ledger, key = ledger_at(), new_key_of_age()
    ledger.begin(key, "a")
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    ledger.advance(NOW - 3600.0, WINDOW)
    assert ledger.begin(key, "b") == refusal(LedgerRefusalReason.EXPIRED)


def test_keys_without_issue_time_or_from_the_future_are_refused() -> None:
    ledger = ledger_at()
    no_time = refusal(LedgerRefusalReason.NO_TIME_IN_KEY)
    assert ledger.begin("purchase-17", "a") == no_time
    future = refusal(LedgerRefusalReason.MADE_IN_THE_FUTURE)
    assert ledger.begin(new_key_of_age(age=-120.0), "a") == future
    assert ledger.begin(new_key_of_age(age=-30.0), "a") == Granted()


def test_full_ledger_refuses_new_keys_and_keeps_existing_ones() -> None:
    limits = LedgerLimits(max_keys=3)
    ledger = ledger_at(limits=limits)
    keys = [new_key_of_age() for _ in range(4)]
    results = [ledger.begin(key, "a") for key in keys]
    assert results == [Granted(), Granted(), Granted(), refusal(LedgerRefusalReason.FULL)]
    assert ledger.begin(keys[0], "b") == OutcomeUnknown()
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    assert ledger.begin(new_key_of_age(age=-WINDOW), "a") == Granted()


def test_resend_of_an_oversized_answer_gets_outcome_unknown() -> None:
    ledger = ledger_at(limits=LedgerLimits(max_answer_bytes=10))
    key = new_key_of_age()
    ledger.begin(key, "a")
    assert ledger.complete(key, "a", Answered(200, (), b"x" * 11)) == Recorded()
    assert ledger.begin(key, "b") == OutcomeUnknown()
    assert ledger.begin(key, "a") == OutcomeUnknown()


def test_counts_keys_by_state() -> None:
    ledger = ledger_at()
    for number in range(6):
        key = new_key_of_age()
        ledger.begin(key, "a")
        if number % 3 == 1:
            ledger.cancel(key, "a")
        if number % 3 == 2:
            ledger.complete(key, "a", ANSWER)
    assert ledger.counts() == {"free": 2, "begun": 2, "completed": 2}
