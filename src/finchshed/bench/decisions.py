"""``finchshed bench decisions``: what one decision costs, over the size of what it decides on.

Each decision of the data path is timed in batches at several sizes, and a line is fitted through
the least times of a size: its slope says what a decision costs more for each peer, account or
request held, and the residual how well a line describes it. Memory is what ``tracemalloc`` counts
for building the state, divided by the size.
"""

import platform
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import msgspec

from finchshed import __version__
from finchshed.admission.fairness import FairPositions
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.returning import recognize
from finchshed.bench.linear_fit import fit
from finchshed.bench.reported_choice import reported_choice_step
from finchshed.bench.retry_steps import spending_step
from finchshed.bench.share_decisions import (
    request_step,
    request_without_shares_step,
    update_step,
)
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.retry.account import RetryAccounts
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.reservations import RESERVED_FRACTION, ServiceReservations
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.caller_effects import SendAttempt
from finchshed.routing.table import RoutingTable
from finchshed.session.table import SessionTable

SIZES = (10, 100, 400, 1100)
"""Up to the back ends of the design size (docs/CAPACITY.md)."""

BATCHES = 15
"""Batches a size is timed in; the least counts."""

BATCH_SECONDS = 0.02
"""Length of a batch."""

MICROSECONDS = 1e6
SERVICES = 52
"""Services of the design size (docs/CAPACITY.md)."""

FAR_SECONDS = 1000.0
"""Timeout of clients that can use any retry-after time."""

REFUSED_PER_SECOND = 100
"""Requests that a daemon refuses a second; reservations of the largest size take 11 s."""

ANSWER = Answered(200, (), b"")
REPORT = LoadReport(limit=8)

Step = Callable[[], None]


class DecisionPoint(msgspec.Struct, frozen=True):
    """One size: least and median microseconds of a decision, and bytes of state for each item."""

    size: int
    microseconds: float
    median_microseconds: float
    bytes_per_item: float


class DecisionCost(msgspec.Struct, frozen=True):
    """One decision over sizes, and the line through its least times.

    Attributes
    ----------
    residual_microseconds
        Largest deviation from the line.
    """

    decision: str
    points: tuple[DecisionPoint, ...]
    intercept_microseconds: float
    slope_microseconds: float
    residual_microseconds: float


class DecisionReport(msgspec.Struct, frozen=True):
    """All decisions, and where they were measured."""

    version: str
    processor: str
    python: str
    fits: tuple[DecisionCost, ...]


def context_of(number: int) -> CallContext:
    """Return the context of one request; the position spreads over a class."""
    importance = Importance(number % len(Importance))
    return CallContext(f"root-{number}", importance, 10.0, spare_attempts=3)


def table_of(peers: int) -> RoutingTable:
    """Return a table of ``peers`` endpoints in the services of the design size."""
    table = RoutingTable("z0", "r", random.Random(1))
    table.replace(
        Endpoint(
            name=f"e{number}",
            service=f"s{number % SERVICES}",
            region="r",
            zone=f"z{number // SERVICES % 7}",
            address=f"10.0.{number // 250}.{number % 250}:7000",
            slots=8,
        )
        for number in range(peers)
    )
    return table


def gate_step(queued: int) -> Step:
    """Return a step: a request arrives at a gate with ``queued`` waiting, another ends."""
    gate = Gate(max(8, queued), random.Random(1), 0.0)
    slots = max(8, queued)
    for token in range(slots + queued):
        gate.arrive(token, context_of(token), 0.0)
    running = list(range(slots))
    state = [slots + queued]

    def step() -> None:
        token = state[0]
        state[0] += 1
        gate.arrive(token, context_of(token), 0.0)
        for effect in gate.finish(running.pop(), CallResult.OK, 0.0):
            running.append(effect.token)

    return step


def gate_tick_step(queued: int) -> Step:
    """Return a step: a tick of a gate with ``queued`` requests waiting."""
    gate = Gate(max(8, queued), random.Random(1), 0.0)
    for token in range(max(8, queued) + queued):
        gate.arrive(token, context_of(token), 0.0)
    return lambda: _drop(gate.tick(0.0))


def choice_step(peers: int) -> Step:
    """Return a step: a choice among the endpoints of one service, and its answer."""
    table = table_of(peers)
    context = context_of(1)

    def step() -> None:
        chosen = table.choose("s1", context, (), 0.0)
        if isinstance(chosen, Endpoint):
            table.on_sent(chosen.name, 0.0)
            table.on_reply(chosen.name, REPORT, CallResult.OK, 0.01, 0.0)

    return step


def one_service_step(peers: int) -> Step:
    """Return a step: a choice where all endpoints belong to one service and zone."""
    return reported_choice_step(peers, (), context_of(1))


def usual_service_step(peers: int) -> Step:
    """Return a step: the same, where all back ends report that they are as fast as usual."""
    return reported_choice_step(peers, (1.0,), context_of(1))


def slow_service_step(peers: int) -> Step:
    """Return a step: the same, where one in three back ends reports that it is slow."""
    return reported_choice_step(peers, (1.0, 1.0, 2.5), context_of(1))


def call_step(peers: int) -> Step:
    """Return a step: a whole call at the caller's side: begin, choice, answer, end."""
    table = table_of(peers)
    rng = random.Random(2)
    bucket = RetryBucket(0.1, 0.0)
    context = context_of(1)

    def step() -> None:
        logic = CallStateMachine(table, bucket, "s1", context, repeatable=True, rng=rng)
        send = logic.begin(0.0)[0]
        if isinstance(send, SendAttempt):
            logic.on_outcome(send.attempt, ANSWER, send.allocated_attempts, REPORT, 0.01)

    return step


def account_step(accounts: int) -> Step:
    """Return a step: the whole life of an account beside ``accounts`` others."""
    held = RetryAccounts()
    for number in range(accounts):
        held.open(f"a{number}", 3)

    def step() -> None:
        held.open("one", 3)
        lent = held.allocate("one")
        held.refund("one", lent, lent)
        held.close("one")

    return step


def position_step(callers: int) -> Step:
    """Return a step: the fair position of one request beside ``callers`` callers."""
    fair = FairPositions(0.0)
    for number in range(callers):
        fair.assign_position(f"caller-{number}", Importance.NORMAL, "root", 0.0)
    return lambda: _drop(fair.assign_position("caller-1", Importance.NORMAL, "root", 0.0))


def reservation_step(reservations: int) -> Step:
    """Return a step: a request is admitted, one refused with a reservation, and one looked up."""
    service = ServiceReservations(random.Random(1))
    # Reserves just what is admitted, so that the number of reservations stays the same.
    service.share.factor = 1.0 / RESERVED_FRACTION
    held = service.of_class(Importance.NORMAL)
    state = [0]

    def refuse() -> float:
        state[0] += 1
        now = state[0] / REFUSED_PER_SECOND
        service.on_admitted(Importance.NORMAL, now)
        service.reserve(Importance.NORMAL, now + FAR_SECONDS, now)
        return now

    def step() -> None:
        now = refuse()
        deadline = now + FAR_SECONDS
        found = recognize(held, deadline, now)
        if found.reservation is not None:
            held.use(found.reservation)

    for _ in range(REFUSED_PER_SECOND):
        now = refuse()
    for number in range(reservations):
        service.reserve(Importance.NORMAL, now + FAR_SECONDS + number / REFUSED_PER_SECOND, now)
    return step


def session_step(sessions: int) -> Step:
    """Return a step: a request of a session beside ``sessions`` others, and an expiry."""
    table = SessionTable()
    for number in range(sessions):
        table.open(f"s{number}", "s", "e", max_sessions=10**6, idle_seconds=60.0, now=0.0)

    def step() -> None:
        table.on_request("s1", 1.0)
        table.on_answer("s1", 1.0)
        table.expire(1.0)

    return step


DECISIONS: dict[str, Callable[[int], Step]] = {
    "gate: arrival and end, by requests queued": gate_step,
    "gate: tick, by requests queued": gate_tick_step,
    "routing: choice and answer, by peers": choice_step,
    "routing: choice in one service, by peers": one_service_step,
    "routing: same, usual slowdown reported": usual_service_step,
    "routing: same, one in three slow": slow_service_step,
    "caller: whole call, by peers": call_step,
    "retry account: whole life, by accounts open": account_step,
    "retry spending: attempt and retry, by services": spending_step,
    "fair position, by callers": position_step,
    "reservation: refusal and return, by number": reservation_step,
    "session: request and expiry, by sessions": session_step,
    "shares: request, by callers": request_step,
    "shares: request without shares, by callers": request_without_shares_step,
    "shares: request and update, by callers": update_step,
}
"""Decisions, by what they are and what their size counts."""


def measure_point(make: Callable[[int], Step], size: int) -> DecisionPoint:
    """Time one decision at one size."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    step = make(size)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    step()
    count = max(1, int(BATCH_SECONDS / max(_seconds_of(step, 20) / 20, 1e-8)))
    times = sorted(_seconds_of(step, count) / count for _ in range(BATCHES))
    median = times[len(times) // 2]
    return DecisionPoint(size, times[0] * MICROSECONDS, median * MICROSECONDS, held / size)


def cost_of(decision: str, points: tuple[DecisionPoint, ...]) -> DecisionCost:
    """Fit a line through the least times."""
    terms = {
        "intercept": [1.0] * len(points),
        "slope": [float(point.size) for point in points],
    }
    line = fit(decision, terms, [point.microseconds for point in points])
    intercept, slope = (item.value for item in line.coefficients)
    return DecisionCost(decision, points, intercept, slope, line.worst_residual)


def decisions(out: str = "") -> int:
    """Time the decisions of the data path at several sizes; print a table.

    Parameters
    ----------
    out
        File for the figures as JSON; none if empty.
    """
    costs: list[DecisionCost] = []
    print(
        f"{'decision':<46}" + "".join(f"{size:>9}" for size in SIZES) + "   slope us   bytes/item"
    )
    for name, make in DECISIONS.items():
        points = tuple(measure_point(make, size) for size in SIZES)
        cost = cost_of(name, points)
        costs.append(cost)
        row = "".join(f"{point.microseconds:>9.2f}" for point in points)
        print(f"{name:<46}{row}{cost.slope_microseconds:>11.5f}{points[-1].bytes_per_item:>13.0f}")
        sys.stdout.flush()
    report = DecisionReport(
        __version__, platform.machine(), platform.python_version(), tuple(costs)
    )
    if out:
        Path(out).write_bytes(msgspec.json.encode(report) + b"\n")
    return ExitCode.OK


def _seconds_of(step: Step, count: int) -> float:
    began = time.process_time()
    for _ in range(count):
        step()
    return time.process_time() - began


def _drop(_: object) -> None:
    """Take a result that nobody looks at."""
