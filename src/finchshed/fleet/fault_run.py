"""A run of a deployment of real processes under a fault script, judged from its history."""

import asyncio
import os
import pathlib
import time
from collections.abc import Callable, Iterable, Mapping

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.fleet import editions, final_configuration, process_table
from finchshed.fleet.acts import Edition
from finchshed.fleet.bring_up import bring_up, plan_fleet
from finchshed.fleet.coverage import CASES
from finchshed.fleet.deployment import Deployment, read_deployment
from finchshed.fleet.expectations import unmet
from finchshed.fleet.faults import FaultInjector
from finchshed.fleet.histories import Records, build_history, read_all
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.links import FleetLinks
from finchshed.fleet.operator import Operator
from finchshed.fleet.path_times import path_times_of
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.processes import PRODUCTION_ROLES, Role
from finchshed.fleet.results import VERDICT_FILE
from finchshed.fleet.scenario import Scenario, problems_of
from finchshed.fleet.summary import rows_of, wrong_answers
from finchshed.fleet.verdict import Check, Verdict, text_of
from finchshed.fleet.watch import FleetWatch
from finchshed.proof.checks import CHECKS, violations_of
from finchshed.proof.checks.index import Index
from finchshed.proof.history import Event, NodeStarted
from finchshed.proof.history_file import History
from finchshed.standins.arrivals import Arrival
from finchshed.standins.records import CallerOutcome

CALLERS_MARGIN_SECONDS = 40.0
SETTLE_SECONDS = 10.0
"""How long daemons may take after the run to act on the last revision."""

HISTORY_FILE = "history.jsonl"
PROBLEMS_FILE = "problems.txt"


def as_it_is(deployment: Deployment) -> Deployment:
    """Change nothing."""
    return deployment


class FaultRun:
    """One run: the fleet, what is done to it, and what is collected.

    Parameters
    ----------
    seed
        Seed of arrivals, service times and keys. Processes race, so a seed doesn't fix the run.
    relayed
        Whether links go through the relay also where no act needs it.
    adapt
        Changes the deployment read from ``source``.
    arrivals
        Arrivals to play, by the name of the group of callers; others draw their own.
    """

    def __init__(
        self,
        source: pathlib.Path,
        folder: pathlib.Path,
        scenario: Scenario,
        seed: int,
        *,
        relayed: bool = False,
        adapt: Callable[[Deployment], Deployment] = as_it_is,
        arrivals: Mapping[str, tuple[Arrival, ...]] | None = None,
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        options = PlanOptions(
            seed=seed,
            relayed=relayed or scenario.needs_relay,
            load_factor=scenario.load_factor,
            phases=scenario.phase,
            platform_lag_seconds=scenario.platform_lag_seconds,
            arrivals=arrivals or {},
        )
        self._deployment = adapt(read_deployment(source))
        self._fleet = plan_fleet(source, self._deployment, folder, options)
        self._folder = folder
        self._journal = FaultJournal(time.monotonic())
        self._history: History | None = None
        self._callers_began = 0.0
        self._final: final_configuration.FinalConfiguration | None = None
        self._first_revision = 0
        self._behind: list[str] = []
        self._callers_ended_well = False
        self._fallen: list[str] = []
        self._table_problems: list[str] = []

    async def run(self) -> Verdict:
        """Run it and return what it showed; prints what goes on."""
        problems = problems_of(self._scenario, self._fleet.plan)
        if problems:
            raise SettingsError([f"scenario {self._scenario.name}: {line}" for line in problems])
        links = FleetLinks(self._fleet, self._journal)
        async with self._fleet:
            await links.open()
            try:
                await self._run_with(links)
            finally:
                await self._fleet.stop_all()
                await links.close()
        return self._judge()

    def history_from_start(self) -> History:
        """Return the run's history with times that count from when the callers began."""
        assert self._history is not None, "the run is not over"
        began = self._callers_began
        events: list[Event] = [
            msgspec.structs.replace(event, time=event.time - began)
            for event in self._history.events
        ]
        return History(self._history.header, events)

    async def _run_with(self, links: FleetLinks) -> None:
        fleet = self._fleet
        _say(f"{self._deployment.name}, {self._scenario.name}: {len(fleet.processes)} processes")
        operator = await bring_up(fleet)
        self._note_started()
        started = time.monotonic() - self._journal.began
        async with FleetWatch(fleet, self._journal) as watch:
            self._first_revision = max(watch.revisions.values(), default=0)
            _say(f"in force at every daemon after {started:.1f} s")
            phases = ", ".join(
                f"{phase.name} {phase.duration_seconds:g} s x{phase.factor:g}"
                for phase in self._scenario.phase
            )
            _say(f"callers send: {phases}; {len(self._scenario.act)} acts")
            await self._load_and_faults(links, operator, watch)
            self._fallen = fleet.ended_unasked()
            self._table_problems = process_table.problems_of(fleet.of_role(*PRODUCTION_ROLES))
            await self._read_final(watch)

    async def _load_and_faults(
        self, links: FleetLinks, operator: Operator, watch: FleetWatch
    ) -> None:
        injector = FaultInjector(self._fleet, operator, self._journal, links, watch)
        self._callers_began = await self._fleet.start_callers() - self._journal.began
        total = sum(phase.duration_seconds for phase in self._scenario.phase)
        async with asyncio.TaskGroup() as group:
            faults = group.create_task(injector.run(self._scenario.act))
            self._callers_ended_well = await self._fleet.wait_callers(
                total + CALLERS_MARGIN_SECONDS
            )
            await faults

    async def _read_final(self, watch: FleetWatch) -> None:
        final = await asyncio.to_thread(final_configuration.read_final, self._fleet.plan)
        self._final = final
        if final is not None:
            self._behind = await final_configuration.behind_after(
                watch, final.revision, SETTLE_SECONDS
            )

    def _note_started(self) -> None:
        for process in self._fleet.of_role(Role.DAEMON, Role.EDGE):
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))

    def _judge(self) -> Verdict:
        operators = [process.spec.name for process in self._fleet.of_role(Role.OPERATOR)]
        records = read_all(self._fleet.plan, operators)
        history = build_history(
            self._fleet.plan, records, self._journal, self._scenario, self._seed
        )
        history.write(self._folder / HISTORY_FILE)
        self._history = history
        self._journal.write(self._folder / PROBLEMS_FILE)
        rows = rows_of(records.callers)
        verdict = Verdict(
            scenario=self._scenario.name,
            deployment=self._deployment.name,
            seed=self._seed,
            processes=len(self._fleet.processes),
            acts=len(self._scenario.act),
            load_average=os.getloadavg()[0],
            checks=[
                *_invariants(history),
                *self._checks(records),
                Check(
                    "outcomes the scenario states",
                    len(self._scenario.expect),
                    unmet(self._scenario.expect, rows),
                ),
            ],
        )
        verdict.write(self._folder / VERDICT_FILE)
        print(text_of(verdict, rows, path_times_of(Index(history))))
        return verdict

    def _checks(self, records: Records) -> Iterable[Check]:
        answered = sum(
            attempt.outcome is CallerOutcome.ANSWERED
            for record in records.callers
            for attempt in record.attempts
        )
        yield Check("answers whole and the caller's own", answered, wrong_answers(records.callers))
        yield Check(
            editions.NAME,
            sum(editions.met_a_new_one(record) for record in records.callers),
            editions.problems_of(
                records.callers,
                published=any(isinstance(act, Edition) for act in self._scenario.act),
            ),
        )
        lost = [] if self._callers_ended_well else ["a caller process didn't end well"]
        fallen = [f"ended unasked: {name}" for name in self._fallen]
        yield Check(
            "processes and acts",
            len(self._fleet.processes),
            [*lost, *fallen, *self._journal.problems],
        )
        yield Check(
            "no children, io_uring or shared memory",
            len(self._fleet.of_role(*PRODUCTION_ROLES)),
            self._table_problems,
        )
        yield Check(
            "configuration at the end",
            len(records.operators),
            [
                *final_configuration.problems_of(
                    self._final, records.operators, self._first_revision
                ),
                *self._behind,
            ],
        )


def _invariants(history: History) -> Iterable[Check]:
    index = Index(history)
    for name in CHECKS:
        problems = [str(violation) for violation in violations_of(history, [name])]
        yield Check(name, CASES[name](index), problems)


def _say(text: str) -> None:
    print(text, flush=True)
