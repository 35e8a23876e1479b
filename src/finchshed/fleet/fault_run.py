"""Runs a deployment of real processes under a fault script.

Stops all processes at the end of the run, even after an error. The results are checked by
:mod:`finchshed.fleet.run_checks`.
"""

import asyncio
import os
import pathlib
import time

from finchshed.common.errors import SettingsError
from finchshed.fleet import final_configuration, process_table
from finchshed.fleet.bring_up import bring_up, plan_fleet
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.fault_injector import FleetFaultInjector
from finchshed.fleet.histories import build_history, read_run_records
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.links import FleetLinks
from finchshed.fleet.observer import FleetObserver
from finchshed.fleet.operator import FleetOperator
from finchshed.fleet.path_times import measure_path_times
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.processes import PRODUCTION_ROLES, ProcessRole
from finchshed.fleet.results import VERDICT_FILE
from finchshed.fleet.run_checks import RunFindings, check_run
from finchshed.fleet.scenario import FaultScenario, find_unknown_names
from finchshed.fleet.summary import summarize_records
from finchshed.fleet.verdict import RunVerdict, format_verdict
from finchshed.proof.checks.index import Index
from finchshed.proof.history import NodeStarted

CALLER_EXIT_TIMEOUT_SECONDS = 40.0
"""How long callers may take to exit after the last phase, including retries."""

CONVERGENCE_TIMEOUT_SECONDS = 10.0
"""How long daemons may take after the run to apply the last revision."""

HISTORY_FILE = "history.jsonl"
PROBLEMS_FILE = "problems.txt"


class FaultRun:
    """One run of a fleet under a fault script.

    Parameters
    ----------
    seed
        Seed of arrivals, service times and keys. Runs with one seed still differ, because
        processes run concurrently.
    relayed
        Whether links go through the relay even if no action needs it.
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
        """Run the scenario, print its progress and return the verdict."""
        problems = find_unknown_names(self._scenario, self._fleet.plan)
        if problems:
            raise SettingsError([f"scenario {self._scenario.name}: {line}" for line in problems])
        links = FleetLinks(self._fleet, self._journal)
        async with self._fleet:
            await links.open()
            try:
                await self._run_started(links)
            finally:
                await self._fleet.stop_all()
                await links.close()
        return self._check()

    async def _run_started(self, links: FleetLinks) -> None:
        fleet = self._fleet
        _print_progress(
            f"{self._deployment.name}, {self._scenario.name}: {len(fleet.processes)} processes"
        )
        operator = await bring_up(fleet)
        self._record_started_nodes()
        startup_seconds = time.monotonic() - self._journal.began
        async with FleetObserver(fleet, self._journal) as observer:
            self._findings.first_revision = max(observer.revisions.values(), default=0)
            _print_progress(f"in force at every daemon after {startup_seconds:.1f} s")
            phases = ", ".join(
                f"{phase.name} {phase.duration_seconds:g} s x{phase.factor:g}"
                for phase in self._scenario.phase
            )
            _print_progress(f"callers send: {phases}; {len(self._scenario.act)} acts")
            await self._run_load_and_faults(links, operator, observer)
            self._findings.unexpected_exits = fleet.unexpected_exits()
            self._findings.process_table_problems = process_table.find_process_violations(
                fleet.with_role(*PRODUCTION_ROLES)
            )
            await self._read_final(observer)

    async def _run_load_and_faults(
        self, links: FleetLinks, operator: FleetOperator, observer: FleetObserver
    ) -> None:
        injector = FleetFaultInjector(self._fleet, operator, self._journal, links, observer)
        await self._fleet.start_callers()
        total = sum(phase.duration_seconds for phase in self._scenario.phase)
        async with asyncio.TaskGroup() as group:
            faults = group.create_task(injector.run(self._scenario.act))
            self._findings.callers_succeeded = await self._fleet.wait_callers(
                total + CALLER_EXIT_TIMEOUT_SECONDS
            )
            await faults

    async def _read_final(self, observer: FleetObserver) -> None:
        final = await asyncio.to_thread(final_configuration.read_final, self._fleet.plan)
        self._findings.final = final
        if final is not None:
            self._findings.outdated_daemons = await final_configuration.wait_for_revision(
                observer, final.revision, CONVERGENCE_TIMEOUT_SECONDS
            )

    def _record_started_nodes(self) -> None:
        for process in self._fleet.with_role(ProcessRole.DAEMON, ProcessRole.EDGE):
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))

    def _check(self) -> RunVerdict:
        operators = [process.spec.name for process in self._fleet.with_role(ProcessRole.OPERATOR)]
        records = read_run_records(self._fleet.plan, operators)
        history = build_history(
            self._fleet.plan, records, self._journal, self._scenario, self._seed
        )
        history.write(self._folder / HISTORY_FILE)
        self._journal.write(self._folder / PROBLEMS_FILE)
        findings = self._findings
        findings.processes = len(self._fleet.processes)
        findings.production_processes = len(self._fleet.with_role(*PRODUCTION_ROLES))
        verdict = RunVerdict(
            scenario=self._scenario.name,
            deployment=self._deployment.name,
            seed=self._seed,
            processes=findings.processes,
            acts=len(self._scenario.act),
            load_average=os.getloadavg()[0],
            checks=check_run(self._scenario, history, records, findings, self._journal.problems),
        )
        verdict.write(self._folder / VERDICT_FILE)
        print(
            format_verdict(
                verdict, summarize_records(records.callers), measure_path_times(Index(history))
            )
        )
        return verdict


def _print_progress(text: str) -> None:
    print(text, flush=True)
