"""Guards against more attempts of a root request than its retry budget over the call graph."""

import random
from collections import Counter

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, Outcome
from tests.simulation.system import ServiceModel, System

BUDGET = 3
DEPTH = 25
CLIENT_ATTEMPTS = 3
ROOTS = 12
CRASH_SECONDS = 0.2
SETTLED_SECONDS = 8.0


def chain(backend_retries: int) -> list[ServiceModel]:
    """Return a chain of services, each calling the next."""
    return [
        ServiceModel(
            f"s{level}",
            endpoints=2,
            slots=8,
            seconds=0.004,
            calls=(f"s{level + 1}",) if level < DEPTH else (),
            backend_retries=backend_retries,
        )
        for level in range(1, DEPTH + 1)
    ]


def tree(backend_retries: int) -> list[ServiceModel]:
    """Return three levels: a root calls three branches, and each of them three leaves."""
    return [
        ServiceModel(
            "s1", 2, 12, 0.004, ("s2",) * 3, parallel=True, backend_retries=backend_retries
        ),
        ServiceModel(
            "s2", 2, 24, 0.004, ("s3",) * 3, parallel=True, backend_retries=backend_retries
        ),
        ServiceModel("s3", 2, 48, 0.004),
    ]


def run(
    system: System, deepest: str, crashes: list[tuple[float, str]]
) -> tuple[Counter[str], Counter[str]]:
    """Send root requests with client retries at other edges; return attempts and entries."""
    entries: Counter[str] = Counter()

    def enter(root: str, attempt: int) -> None:
        entries[root] += 1
        edge = system.edges[attempt % len(system.edges)]
        context = CallContext(root, Importance.NORMAL, 1.0, spare_attempts=BUDGET)

        def done(outcome: Outcome, _spare: int) -> None:
            answered = isinstance(outcome, Answered) and outcome.status < 500
            if not answered and attempt + 1 < CLIENT_ATTEMPTS:
                system.after(0.01, lambda: enter(root, attempt + 1))

        edge.call("s1", context, True, done)

    for number in range(ROOTS):
        system.after(0.05 * number, lambda number=number: enter(f"r{number}", 0))  # type: ignore[misc]
    for at, name in crashes:
        system.after(at, lambda name=name: system.crash(name, CRASH_SECONDS))  # type: ignore[misc]
    system.env.run(until=SETTLED_SECONDS)
    return system.record.attempts[deepest], entries


crash_times = st.floats(0.0, 1.0)
SLOW_TEST_SETTINGS = settings(
    max_examples=25, deadline=None, suppress_health_check=list(HealthCheck)
)


@SLOW_TEST_SETTINGS
@given(
    seed=st.integers(0, 2**16),
    crashes=st.lists(st.tuples(crash_times, st.integers(1, DEPTH), st.integers(0, 1)), max_size=30),
    own_repeats=st.integers(0, 2),
)
def test_chain_of_25_stays_within_the_bound(
    seed: int, crashes: list[tuple[float, int, int]], own_repeats: int
) -> None:
    system = System(chain(own_repeats), edges=3, seed=seed)
    named = [(at, f"s{level}-{number}") for at, level, number in crashes]
    attempts, entries = run(system, f"s{DEPTH}", named)
    for root, count in attempts.items():
        assert count <= entries[root] * (1 + BUDGET)


@SLOW_TEST_SETTINGS
@given(
    seed=st.integers(0, 2**16),
    crashes=st.lists(st.tuples(crash_times, st.integers(1, 3), st.integers(0, 1)), max_size=12),
    own_repeats=st.integers(0, 2),
)
def test_fan_out_stays_within_the_bound(
    seed: int, crashes: list[tuple[float, int, int]], own_repeats: int
) -> None:
    system = System(tree(own_repeats), edges=3, seed=seed)
    named = [(at, f"s{level}-{number}") for at, level, number in crashes]
    leaves, entries = run(system, "s3", named)
    branches = system.record.attempts["s2"]
    for root, count in entries.items():
        retried_branches = max(0, branches[root] - 3 * count)
        assert branches[root] <= count * (3 + 3 * BUDGET)
        assert leaves[root] <= count * (9 + 9 * BUDGET)
        assert leaves[root] <= 3 * branches[root] + count * BUDGET
        assert retried_branches <= 3 * count * BUDGET


def test_retries_by_back_ends_do_not_multiply_attempts() -> None:
    """Daemons crash at random, the deepest most often, and each back end retries twice."""
    worst = 0.0
    for seed in (3, 5, 11, 15):
        rng = random.Random(seed)
        crashes = [
            (rng.random(), f"s{rng.randint(1, DEPTH)}-{rng.randint(0, 1)}") for _ in range(20)
        ]
        crashes += [(0.02 * step, f"s{DEPTH}-{step % 2}") for step in range(50)]
        attempts, entries = run(System(chain(backend_retries=2), 3, seed), f"s{DEPTH}", crashes)
        assert attempts
        worst = max(worst, *(count / entries[root] for root, count in attempts.items()))
    assert worst <= 1 + BUDGET
