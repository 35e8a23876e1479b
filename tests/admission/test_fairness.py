"""Fair distribution of capacity among the callers of one class."""

import heapq
import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.fairness import MAX_CALLERS, FairPositions
from finchshed.admission.gate import Gate
from finchshed.admission.rank import POSITIONS
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.results import CallResult

SERVICE_SECONDS = 0.1


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 3.0)), max_size=200))
def test_positions_stay_in_range(arrivals: list[tuple[str, float]]) -> None:
    fair = FairPositions(0.0)
    now = 0.0
    for number, (caller, pause) in enumerate(arrivals):
        now += pause
        assert 0 <= fair.assign_position(caller, Importance.NORMAL, f"r{number}", now) < POSITIONS


def test_excess_of_a_caller_gets_lower_positions() -> None:
    fair = FairPositions(0.0)
    for number in range(40):
        fair.assign_position(f"c{number % 20}", Importance.NORMAL, f"r{number}", 0.02 * number)
    first = [
        fair.assign_position("greedy", Importance.NORMAL, f"g{number}", 1.0) for number in range(2)
    ]
    later = [
        fair.assign_position("greedy", Importance.NORMAL, f"h{number}", 1.0) for number in range(40)
    ]
    assert min(first) >= POSITIONS // 2
    assert max(later) < POSITIONS // 2
    assert later[-1] == 0
    assert fair.assign_position("greedy", Importance.CRITICAL, "other class", 1.0) >= POSITIONS // 2
    assert fair.assign_position("modest", Importance.NORMAL, "r", 1.0) >= POSITIONS // 2
    assert fair.assign_position("greedy", Importance.NORMAL, "after a pause", 4.0) >= POSITIONS // 2


def test_number_of_tracked_callers_is_bounded() -> None:
    fair = FairPositions(0.0)
    for number in range(MAX_CALLERS + 10):
        fair.assign_position(f"c{number}", Importance.NORMAL, "r", 0.0)
    assert len(fair) == MAX_CALLERS


def served_fractions(*, fair: bool) -> tuple[float, float]:
    """Return the served fractions of one greedy caller's requests and of twenty modest callers'."""
    rng = random.Random(7)
    gate = Gate(4, rng, 0.0)
    positions = FairPositions(0.0)
    sent: Counter[bool] = Counter()
    served: Counter[bool] = Counter()
    is_greedy: dict[int, bool] = {}
    running: list[tuple[float, int]] = []

    def apply(effects: list[GateEffect], now: float) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                served[is_greedy[effect.token]] += 1
                heapq.heappush(running, (now + SERVICE_SECONDS, effect.token))

    now = 0.0
    for token in range(2000):
        now += rng.expovariate(80.0)
        while running and running[0][0] <= now:
            at, finished = heapq.heappop(running)
            apply(gate.finish(finished, CallResult.OK, at), at)
        apply(gate.tick(now), now)
        is_greedy[token] = rng.random() < 50 / 70
        caller = "greedy" if is_greedy[token] else f"modest-{rng.randrange(20)}"
        position = (
            positions.assign_position(caller, Importance.NORMAL, f"r{token}", now) if fair else -1
        )
        context = CallContext(f"r{token}", Importance.NORMAL, 1.0, caller=caller, position=position)
        sent[is_greedy[token]] += 1
        apply(gate.arrive(token, context, now), now)
    return served[True] / sent[True], served[False] / sent[False]


def test_greedy_caller_does_not_starve_the_others_of_its_class() -> None:
    greedy, modest = served_fractions(fair=True)
    assert modest > 0.9
    assert 0.2 < greedy < 0.5
    _, modest_by_hash = served_fractions(fair=False)
    assert modest_by_hash < 0.7
