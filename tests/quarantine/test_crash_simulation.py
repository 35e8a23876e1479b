"""Guards against a request that crashes many back ends, and against blocking other requests."""

import pytest

from tests.quarantine.crash_simulation import CRASHING, Policy, Simulation

SETTLED_SECONDS = 3.0
MAX_LATE_SENDS = 3
SEEDS = 12


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("kills", [0.0, 0.5])
def test_crashing_request_is_rarely_sent_after_its_third_crash(seed: int, kills: float) -> None:
    result = Simulation(seed, Policy.ISOLATE, kills_per_second=kills).run()
    # With random kills it may be quarantined after fewer crashes of its own.
    third = (*result.crashed_at, float("inf"), float("inf"), float("inf"))[2]
    assert sum(at > third + SETTLED_SECONDS for at in result.sent_at) <= MAX_LATE_SENDS
    assert CRASHING in result.suspected


def test_simulation_exceeds_the_bound_without_quarantine() -> None:
    result = Simulation(1, Policy.NONE).run()
    settled = result.crashed_at[2] + SETTLED_SECONDS
    assert sum(at > settled for at in result.sent_at) > MAX_LATE_SENDS


def test_random_kills_quarantine_no_request() -> None:
    results = [
        Simulation(seed, Policy.ISOLATE, has_crashing=False, kills_per_second=0.5).run()
        for seed in range(SEEDS)
    ]
    assert not any(result.others_quarantined for result in results)
    served = sum(result.others_served for result in results) / sum(
        result.others for result in results
    )
    assert served > 0.98


def test_other_requests_are_served_despite_a_crashing_one() -> None:
    results = [Simulation(seed, Policy.ISOLATE).run() for seed in range(SEEDS)]
    served = sum(result.others_served for result in results) / sum(
        result.others for result in results
    )
    assert served > 0.93
    assert sum(len(result.others_quarantined) for result in results) <= SEEDS // 4
