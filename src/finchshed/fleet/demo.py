"""A demonstration: a whole deployment, a surge, and what each class of request got."""

import asyncio
import pathlib
import time

from finchshed.cli.exit_codes import ExitCode
from finchshed.fleet.admin import wait_in_force
from finchshed.fleet.deployment import Deployment, read_deployment
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.operator import Operator
from finchshed.fleet.plan import Planner, PlanOptions
from finchshed.fleet.processes import Role
from finchshed.fleet.runner import Fleet
from finchshed.fleet.summary import read_caller_records, rows_of, table_of, wrong_answers
from finchshed.standins.records import CallerOutcome

IN_FORCE_SECONDS = 20.0
CALLERS_MARGIN_SECONDS = 30.0
SHOWN_PROBLEMS = 10

SYSTEM_ROLES = (Role.PLATFORM, Role.CONTROL, Role.BACKEND, Role.DAEMON, Role.EDGE)


def plan_fleet(
    source: pathlib.Path, folder: pathlib.Path, options: PlanOptions
) -> tuple[Deployment, Fleet]:
    """Read a deployment and plan its fleet in ``folder``."""
    deployment = read_deployment(source)
    network = FleetNetwork()
    try:
        plan = Planner(source, deployment, folder, network, options).plan()
    except BaseException:
        network.release()
        raise
    return deployment, Fleet(plan, network)


async def bring_up(fleet: Fleet) -> Operator:
    """Start everything but the callers, apply the declarations, wait until they are in force."""
    await fleet.start(Role.PLATFORM, Role.CONTROL)
    await fleet.publish_instances()
    operator = Operator(fleet.plan)
    print(f"control nodes listen; {await operator.apply_declarations()}", flush=True)
    await fleet.start(Role.BACKEND, Role.DAEMON, Role.EDGE)
    await wait_in_force(fleet, IN_FORCE_SECONDS)
    return operator


async def run_demo(source: pathlib.Path, folder: pathlib.Path, options: PlanOptions) -> int:
    """Run the demonstration; return 0 only if every caller got whole answers of its own."""
    begun = time.monotonic()
    deployment, fleet = plan_fleet(source, folder, options)
    async with fleet:
        print(f"{deployment.name}: {len(fleet.processes)} processes, files in {folder}", flush=True)
        await bring_up(fleet)
        print(f"in force at every daemon after {time.monotonic() - begun:.1f} s", flush=True)
        phases = options.phases or deployment.phase
        described = ", ".join(f"{p.name} {p.duration_seconds:g} s x{p.factor:g}" for p in phases)
        print(f"callers send: {described}", flush=True)
        await fleet.start(Role.CALLER)
        total = sum(phase.duration_seconds for phase in phases)
        well = await fleet.wait_callers(total + CALLERS_MARGIN_SECONDS)
        fallen = fleet.ended_unasked()
        await fleet.stop_all()
    passed = report(fleet, well, fallen)
    print(f"stopped after {time.monotonic() - begun:.1f} s: {'passed' if passed else 'FAILED'}")
    return ExitCode.OK if passed else ExitCode.FAILED


def report(fleet: Fleet, callers_ended_well: bool, fallen: list[str]) -> bool:
    """Print what the callers got; return whether the run passed."""
    records = read_caller_records(fleet.record_paths_of(Role.CALLER))
    rows = rows_of(records)
    print(table_of(rows))
    wrong = wrong_answers(records)
    checked = sum(
        attempt.outcome is CallerOutcome.ANSWERED
        for record in records
        for attempt in record.attempts
    )
    print(f"answers checked: {checked}, whole and the caller's own: {checked - len(wrong)}")
    for line in wrong[:SHOWN_PROBLEMS]:
        print(f"  {line}")
    for name in fallen:
        print(f"ended unasked: {name}\n{fleet.tail(fleet.plan.spec(name))}")
    loads = {load.name for group in fleet.plan.deployment.caller for load in group.loads}
    unanswered = loads - {row.load for row in rows if row.answered}
    if unanswered:
        print(f"no answer at all: {', '.join(sorted(unanswered))}")
    if not callers_ended_well:
        print("a caller didn't end well")
    return callers_ended_well and not (wrong or fallen or unanswered)


def run(source: pathlib.Path, folder: pathlib.Path, options: PlanOptions) -> int:
    """Run the demonstration in an event loop of its own."""
    return asyncio.run(run_demo(source, folder, options))
