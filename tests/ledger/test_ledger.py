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
RANDOM = random.Random(1)


def key_made(age: float = 0.0) -> str:
    return new_key(NOW - age, RANDOM)


def ledger_at(time: float = NOW, limits: LedgerLimits | None = None) -> Ledger:
    ledger = Ledger(limits)
    ledger.advance(time, WINDOW)
    return ledger


def restarted(ledger: Ledger, limits: LedgerLimits | None = None) -> Ledger:
    data = msgspec.json.encode(ledger.snapshot())
    other = Ledger(limits)
    other.restore(msgspec.json.decode(data, type=LedgerSnapshot))
    return other


def refused(reason: LedgerRefusalReason) -> LedgerRefusal:
    return LedgerRefusal(reason)


def test_keys_carry_the_time_they_were_made_at() -> None:
    key = new_key(NOW, RANDOM)
    assert issued_at(key) == NOW
    assert new_key(NOW, RANDOM) != key
    assert issued_at("purchase-17") is None
    assert issued_at("9f0c1f9e-8a5e-4d55-9b3c-2f9f0f0f0f0f") is None


def test_only_the_canonical_text_of_a_key_counts() -> None:
    key = new_key(NOW, random.Random(1))
    for other in (key.upper(), key.replace("-", ""), f"{{{key}}}", f"urn:uuid:{key}", f" {key}"):
        assert issued_at(other) is None
    assert issued_at(key) == NOW


def test_a_cancel_that_cannot_be_kept_is_refused() -> None:
    ledger = Ledger()
    ledger.advance(NOW, 100.0)
    future = new_key(NOW + 61.0, random.Random(1))
    assert ledger.cancel(future, "a") == LedgerRefusal(LedgerRefusalReason.MADE_IN_THE_FUTURE)


def test_a_key_held_by_nobody_cannot_be_completed() -> None:
    ledger = Ledger()
    ledger.advance(NOW, 100.0)
    key = new_key(NOW, random.Random(1))
    ledger.cancel(key, "a")
    assert ledger.complete(key, "", Answered(200, (), b"")) == NotHolder()
    assert ledger.begin(key, "b") == Granted()


def test_one_attempt_is_granted_and_its_resend_again_but_no_other() -> None:
    ledger, key = ledger_at(), key_made()
    assert ledger.begin(key, "a") == Granted()
    assert ledger.begin(key, "a") == Granted()
    assert ledger.begin(key, "b") == OutcomeUnknown()


def test_after_completion_every_attempt_gets_the_same_whole_answer() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    assert ledger.complete(key, "a", ANSWER) == Recorded()
    for again in (ledger, restarted(ledger)):
        assert again.begin(key, "a") == Completed(ANSWER)
        assert again.begin(key, "b") == Completed(ANSWER)


def test_a_second_completion_does_not_change_the_answer() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    assert ledger.complete(key, "a", Answered(500, (), b"")) == Recorded()
    assert ledger.begin(key, "b") == Completed(ANSWER)


def test_a_cancelled_attempt_frees_the_key_and_is_never_granted_again() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    assert ledger.cancel(key, "a") == Recorded()
    cancelled = refused(LedgerRefusalReason.ATTEMPT_CANCELLED)
    assert ledger.begin(key, "a") == cancelled
    assert restarted(ledger).begin(key, "a") == cancelled
    assert ledger.begin(key, "b") == Granted()


def test_a_cancel_that_overtakes_its_begin_wins() -> None:
    ledger, key = ledger_at(), key_made()
    assert ledger.cancel(key, "a") == Recorded()
    assert ledger.begin(key, "a") == refused(LedgerRefusalReason.ATTEMPT_CANCELLED)
    assert ledger.begin(key, "b") == Granted()


def test_a_cancel_by_another_attempt_does_not_free_the_key() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.cancel(key, "b")
    assert ledger.begin(key, "c") == OutcomeUnknown()


def test_a_completed_attempt_cannot_be_cancelled() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    assert ledger.cancel(key, "a") == NotHolder()
    assert ledger.begin(key, "b") == Completed(ANSWER)


def test_a_completion_by_an_attempt_without_the_key_is_not_taken() -> None:
    ledger, key = ledger_at(), key_made()
    assert ledger.complete(key, "a", ANSWER) == NotHolder()
    ledger.begin(key, "a")
    ledger.cancel(key, "a")
    assert ledger.complete(key, "a", ANSWER) == NotHolder()
    assert ledger.begin(key, "b") == Granted()


def test_a_key_past_its_window_is_refused_also_though_it_is_forgotten() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.complete(key, "a", ANSWER)
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    assert len(ledger) == 0
    assert ledger.total_answer_bytes == 0
    for again in (ledger, restarted(ledger)):
        assert again.begin(key, "b") == refused(LedgerRefusalReason.EXPIRED)


def test_a_longer_window_later_does_not_revive_a_forgotten_key() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    ledger.advance(NOW + WINDOW + 2.0, 100 * WINDOW)
    assert ledger.begin(key, "b") == refused(LedgerRefusalReason.EXPIRED)


def test_a_leader_whose_clock_is_behind_does_not_move_time_back() -> None:
    ledger, key = ledger_at(), key_made()
    ledger.begin(key, "a")
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    ledger.advance(NOW - 3600.0, WINDOW)
    assert ledger.begin(key, "b") == refused(LedgerRefusalReason.EXPIRED)


def test_keys_without_time_or_from_the_future_are_refused() -> None:
    ledger = ledger_at()
    no_time = refused(LedgerRefusalReason.NO_TIME_IN_KEY)
    assert ledger.begin("purchase-17", "a") == no_time
    future = refused(LedgerRefusalReason.MADE_IN_THE_FUTURE)
    assert ledger.begin(key_made(age=-120.0), "a") == future
    assert ledger.begin(key_made(age=-30.0), "a") == Granted()


def test_a_full_ledger_refuses_new_keys_and_keeps_the_old() -> None:
    limits = LedgerLimits(max_keys=3)
    ledger = ledger_at(limits=limits)
    keys = [key_made() for _ in range(4)]
    results = [ledger.begin(key, "a") for key in keys]
    assert results == [Granted(), Granted(), Granted(), refused(LedgerRefusalReason.FULL)]
    assert ledger.begin(keys[0], "b") == OutcomeUnknown()
    ledger.advance(NOW + WINDOW + 1.0, WINDOW)
    assert ledger.begin(key_made(age=-WINDOW), "a") == Granted()


def test_an_answer_beyond_the_limit_leaves_the_outcome_unknown_to_resends() -> None:
    ledger = ledger_at(limits=LedgerLimits(max_answer_bytes=10))
    key = key_made()
    ledger.begin(key, "a")
    assert ledger.complete(key, "a", Answered(200, (), b"x" * 11)) == Recorded()
    assert ledger.begin(key, "b") == OutcomeUnknown()
    assert ledger.begin(key, "a") == OutcomeUnknown()


def test_counts_by_state() -> None:
    ledger = ledger_at()
    for number in range(6):
        key = key_made()
        ledger.begin(key, "a")
        if number % 3 == 1:
            ledger.cancel(key, "a")
        if number % 3 == 2:
            ledger.complete(key, "a", ANSWER)
    assert ledger.counts() == {"free": 2, "begun": 2, "completed": 2}
