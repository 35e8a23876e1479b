"""A run of a deployment of real processes under a fault script.

Owns the fleet, its links and the journal for the length of the run, and stops all of it whatever
happens. What the run showed is judged by :mod:`finchshed.fleet.judgement`.
"""

import asyncio
import os
import pathlib
import time

from finchshed.common.errors import SettingsError
from finchshed.fleet import final_configuration, process_table
from finchshed.fleet.bring_up import bring_up, plan_fleet
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.faults import FleetFaultInjector
from finchshed.fleet.histories import build_history, read_all
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.judgement import RunFindings, checks_of
from finchshed.fleet.links import FleetLinks
from finchshed.fleet.observer import FleetObserver
from finchshed.fleet.operator import FleetOperator
from finchshed.fleet.path_times import path_times_of
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.processes import PRODUCTION_ROLES, ProcessRole
from finchshed.fleet.results import VERDICT_FILE
from finchshed.fleet.scenario import FaultScenario, problems_of
from finchshed.fleet.summary import rows_of
from finchshed.fleet.verdict import RunVerdict, text_of
from finchshed.proof.checks.index import Index
from finchshed.proof.history import NodeStarted

CALLERS_MARGIN_SECONDS = 40.0
"""How long callers may take after the last phase, with all their repeats; chosen, not measured."""

SETTLE_SECONDS = 10.0
"""How long daemons may take after the run to act on the last revision; chosen, not measured."""

HISTORY_FILE = "history.jsonl"
PROBLEMS_FILE = "problems.txt"


class FaultRun:
    """One run: the fleet, what is done to it, and what is collected.

    Parameters
    ----------
    seed
        Seed of arrivals, service times and keys. Processes race, so a seed doesn't fix the run.
    relayed
        Whether links go through the relay also where no act needs it.
    """

    def __init__(
        self,
        source: pathlib.Path,
        folder: pathlib.Path,
        scenario: FaultScenario,
        seed: int,
        *,
        relayed: bool = False,
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        options = PlanOptions(
            seed=seed,
            relayed=relayed or scenario.needs_relay,
            load_factor=scenario.load_factor,
            phases=scenario.phase,
            platform_lag_seconds=scenario.platform_lag_seconds,
        )
        self._deployment = read_deployment(source)
        self._fleet = plan_fleet(source, self._deployment, folder, options)
        self._folder = folder
        self._journal = FaultJournal(time.monotonic())
        self._findings = RunFindings()

    async def run(self) -> RunVerdict:
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

    async def _run_with(self, links: FleetLinks) -> None:
        fleet = self._fleet
        _say(f"{self._deployment.name}, {self._scenario.name}: {len(fleet.processes)} processes")
        operator = await bring_up(fleet)
        self._note_started()
        started = time.monotonic() - self._journal.began
        async with FleetObserver(fleet, self._journal) as observer:
            self._findings.first_revision = max(observer.revisions.values(), default=0)
            _say(f"in force at every daemon after {started:.1f} s")
            phases = ", ".join(
                f"{phase.name} {phase.duration_seconds:g} s x{phase.factor:g}"
                for phase in self._scenario.phase
            )
            _say(f"callers send: {phases}; {len(self._scenario.act)} acts")
            await self._load_and_faults(links, operator, observer)
            self._findings.ended_unasked = fleet.ended_unasked()
            self._findings.process_table_problems = process_table.problems_of(
                fleet.of_role(*PRODUCTION_ROLES)
            )
            await self._read_final(observer)

    async def _load_and_faults(
        self, links: FleetLinks, operator: FleetOperator, observer: FleetObserver
    ) -> None:
        injector = FleetFaultInjector(self._fleet, operator, self._journal, links, observer)
        await self._fleet.start_callers()
        total = sum(phase.duration_seconds for phase in self._scenario.phase)
        async with asyncio.TaskGroup() as group:
            faults = group.create_task(injector.run(self._scenario.act))
            self._findings.callers_ended_well = await self._fleet.wait_callers(
                total + CALLERS_MARGIN_SECONDS
            )
            await faults

    async def _read_final(self, observer: FleetObserver) -> None:
        final = await asyncio.to_thread(final_configuration.read_final, self._fleet.plan)
        self._findings.final = final
        if final is not None:
            self._findings.behind = await final_configuration.behind_after(
                observer, final.revision, SETTLE_SECONDS
            )

    def _note_started(self) -> None:
        for process in self._fleet.of_role(ProcessRole.DAEMON, ProcessRole.EDGE):
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))

    def _judge(self) -> RunVerdict:
        operators = [process.spec.name for process in self._fleet.of_role(ProcessRole.OPERATOR)]
        records = read_all(self._fleet.plan, operators)
        history = build_history(
            self._fleet.plan, records, self._journal, self._scenario, self._seed
        )
        history.write(self._folder / HISTORY_FILE)
        self._journal.write(self._folder / PROBLEMS_FILE)
        findings = self._findings
        findings.processes = len(self._fleet.processes)
        findings.production_processes = len(self._fleet.of_role(*PRODUCTION_ROLES))
        verdict = RunVerdict(
            scenario=self._scenario.name,
            deployment=self._deployment.name,
            seed=self._seed,
            processes=findings.processes,
            acts=len(self._scenario.act),
            load_average=os.getloadavg()[0],
            checks=checks_of(self._scenario, history, records, findings, self._journal.problems),
        )
        verdict.write(self._folder / VERDICT_FILE)
        print(text_of(verdict, rows_of(records.callers), path_times_of(Index(history))))
        return verdict


def _say(text: str) -> None:
    print(text, flush=True)
