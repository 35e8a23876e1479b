"""Quarantine register: attribution of crashes, clearing, expiry and merging."""

import random

import pytest

from finchshed.quarantine.messages import MAX_CRASHES, Crash, CrashRecord
from finchshed.quarantine.register import (
    MAX_RECORDS,
    QUARANTINE_SECONDS,
    REFUTED_SECONDS,
    SUSPECT_SECONDS,
    QuarantineRegister,
    Suspicion,
)


def suspicion(register: QuarantineRegister, signature: str, now: float = 10.0) -> Suspicion:
    return register.assess(signature, now).suspicion


def test_three_crashes_quarantine_a_request_if_one_had_no_other_suspect() -> None:
    register = QuarantineRegister()
    register.on_crash("i-1", ["cause", "other", "cause"], 1.0)
    assert suspicion(register, "cause") is suspicion(register, "other") is Suspicion.SUSPECT
    register.on_crash("i-2", ["cause", "new"], 2.0)
    assert suspicion(register, "new") is Suspicion.FREE  # the crash is attributed to the suspect
    register.on_crash("i-3", ["cause", "other"], 3.0)
    assessment = register.assess("cause", 10.0)
    assert assessment.suspicion is Suspicion.QUARANTINED
    assert (assessment.crashes, assessment.seconds) == (3, QUARANTINE_SECONDS - 7.0)
    assert register.assess("other", 10.0).crashes == 1


def test_two_requests_with_shared_crashes_are_separated_by_a_run_without_the_other() -> None:
    register = QuarantineRegister()
    for number in range(3):
        register.on_crash(f"i-{number}", ["cause", "other"], float(number))
    assert suspicion(register, "cause") is Suspicion.SUSPECT
    register.on_completed("other", 4.0)
    register.on_crash("i-3", ["cause"], 5.0)
    assert suspicion(register, "cause") is Suspicion.QUARANTINED
    assert suspicion(register, "other") is Suspicion.FREE


def test_completed_request_is_cleared_whatever_the_order_of_records() -> None:
    register = QuarantineRegister()
    records = register.on_crash("i-1", ["popular"], 1.0)
    cleared = register.on_completed("popular", 2.0)
    assert cleared is not None
    assert register.on_completed("popular", 2.1) is None
    elsewhere = QuarantineRegister()
    elsewhere.merge((cleared,), 3.0)
    elsewhere.merge(records, 3.1)
    assert suspicion(elsewhere, "popular") is Suspicion.FREE
    elsewhere.on_crash("i-2", ["popular"], 4.0)
    assert elsewhere.assess("popular", 5.0).crashes == 1


def test_connections_breaking_in_two_batches_count_as_one_crash() -> None:
    register = QuarantineRegister()
    register.on_crash("i-1", ["cause"], 1.0)
    register.on_crash("i-2", ["cause"], 2.0)
    assert register.on_crash("i-2", ["beside"], 2.02) == ()
    assert suspicion(register, "beside") is Suspicion.FREE


def test_request_is_suspect_after_quarantine_and_a_further_crash_doubles_the_period() -> None:
    register = QuarantineRegister()
    for number in range(4):
        register.on_crash(f"i-{number}", ["cause"], float(number))
    end = 3.0 + QUARANTINE_SECONDS
    assert suspicion(register, "cause", end - 0.1) is Suspicion.QUARANTINED
    assert suspicion(register, "cause", end + 0.1) is Suspicion.SUSPECT
    register.on_crash("i-9", ["cause"], end + 1.0)
    assert suspicion(register, "cause", end + 2 * QUARANTINE_SECONDS) is Suspicion.QUARANTINED


def test_expired_records_are_removed() -> None:
    register = QuarantineRegister()
    register.on_crash("i-1", ["once"], 0.0)
    register.on_crash("i-2", ["cleared"], 0.0)
    register.on_completed("cleared", 0.5)
    register.expire(REFUTED_SECONDS + 1.0)
    assert len(register) == 1
    assert suspicion(register, "once", SUSPECT_SECONDS + 1.0) is Suspicion.FREE
    register.expire(SUSPECT_SECONDS + 1.0)
    assert not register


def test_records_are_bounded_and_quarantined_requests_are_not_evicted() -> None:
    register = QuarantineRegister()
    for number in range(4):
        register.on_crash(f"i-{number}", ["cause"], 0.0)
    for number in range(MAX_RECORDS + 50):
        register.on_crash(f"j-{number}", [f"one-{number}"], 1.0 + number / 1000.0)
    assert len(register) == MAX_RECORDS
    assert suspicion(register, "cause") is Suspicion.QUARANTINED
    for number in range(MAX_CRASHES * 2):
        register.on_crash(f"k-{number}", ["cause"], 9.0)
    record = register.record_of("cause", 9.0)
    assert record is not None
    assert len(record.crashes) == MAX_CRASHES


@pytest.mark.parametrize("seed", range(20))
def test_registers_converge_whatever_the_order_of_records(seed: int) -> None:
    rng = random.Random(seed)
    records = []
    for number in range(12):
        crashes = (Crash(f"i-{number % 5}", rng.random() < 0.3),)
        refuted = (f"i-{rng.randrange(5)}",) if rng.random() < 0.3 else ()
        records.append(CrashRecord(f"s-{rng.randrange(2)}", 0.0, crashes, refuted))
    assessments = []
    for _ in range(3):
        rng.shuffle(records)
        register = QuarantineRegister()
        for record in records:
            register.merge((record,), 1.0)
        assessments.append([register.assess(f"s-{number}", 2.0) for number in range(2)])
    assert assessments[0] == assessments[1] == assessments[2]
