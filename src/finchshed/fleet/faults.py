"""Carries out the acts of a fault script on a running fleet."""

import asyncio
import collections
import itertools
import pathlib
import resource
import shutil
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from finchshed.fleet import acts
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.links import FleetLinks
from finchshed.fleet.operator import Operator
from finchshed.fleet.plan import backend_name, daemon_name
from finchshed.fleet.processes import FleetProcess, Role
from finchshed.fleet.relay import Condition, Rule
from finchshed.fleet.runner import Fleet, FleetError
from finchshed.fleet.watch import FleetWatch
from finchshed.proof.history import (
    EndpointLeaving,
    EndpointReturned,
    Fault,
    NodeStarted,
    NodeStopped,
    PlannedStop,
)

KILL_WAIT_SECONDS = 5.0
FOLLOWING_ROLES = (Role.DAEMON, Role.EDGE)
"""Processes that follow the configuration."""

PLANNED_SIGN = "stop"
"""Sign of an endpoint of which a process was asked to stop."""

FIRST_NUMBER_STEP = 1000
"""Each stand-in operator numbers its changes from a multiple of this."""

UNLIMITED = resource.RLIM_INFINITY


class FaultInjector:
    """Does acts to a fleet and notes them in the journal.

    Parameters
    ----------
    watch
        Tells who leads the control group.
    """

    def __init__(
        self,
        fleet: Fleet,
        operator: Operator,
        journal: FaultJournal,
        links: FleetLinks,
        watch: FleetWatch,
    ) -> None:
        self._fleet = fleet
        self._operator = operator
        self._journal = journal
        self._links = links
        self._watch = watch
        self._numbers = itertools.count(1)
        self._perform: dict[type[acts.Act], Callable[[Any], Awaitable[None]]] = {
            acts.Kill: self._kill,
            acts.Freeze: self._freeze,
            acts.Restart: self._restart,
            acts.RollingRestart: self._rolling_restart,
            acts.Slow: self._slow,
            acts.Misreport: self._misreport,
            acts.Leave: self._leave,
            acts.Edition: self._edition,
            acts.Cut: self._cut,
            acts.Delay: self._delay,
            acts.Throttle: self._throttle,
            acts.Reset: self._reset,
            acts.FillDisk: self._fill_disk,
            acts.Change: self._change,
        }

    async def run(self, script: tuple[acts.FaultAct, ...]) -> None:
        """Do each act at its time, side by side; return when all are over."""
        async with asyncio.TaskGroup() as group:
            for act in script:
                group.create_task(self._at(act))

    async def _at(self, act: acts.FaultAct) -> None:
        await asyncio.sleep(act.at)
        await self._perform[type(act)](act)

    async def _kill(self, act: acts.Kill) -> None:
        process = self._resolve(act.target)
        process.send_signal(signal.SIGKILL)
        await process.wait(KILL_WAIT_SECONDS)
        self._note_fault("kill", process)
        self._note_stopped(process)
        if act.wipe:
            wipe_folder(process.spec.data_folder)
        if act.restart_after_seconds >= 0.0:
            await asyncio.sleep(act.restart_after_seconds)
            await self._start(process)
            self._note_fault("kill", process, ended=True)

    async def _freeze(self, act: acts.Freeze) -> None:
        process = self._resolve(act.target)
        process.send_signal(signal.SIGSTOP)
        self._note_fault("freeze", process)
        self._note_stopped(process)
        await asyncio.sleep(act.duration_seconds)
        process.send_signal(signal.SIGCONT)
        self._note_fault("freeze", process, ended=True)
        self._note_started(process)

    async def _restart(self, act: acts.Restart) -> None:
        await self._planned_restart(self._resolve(act.target))

    async def _rolling_restart(self, act: acts.RollingRestart) -> None:
        await self._restart_in_turn(self._fleet.of_role(Role.CONTROL), act.pause_seconds)
        by_service: dict[str, list[FleetProcess]] = collections.defaultdict(list)
        for endpoint in self._fleet.plan.endpoints:
            by_service[endpoint.service] += [
                self._fleet.processes[backend_name(endpoint.name)],
                self._fleet.processes[daemon_name(endpoint.name)],
            ]
        async with asyncio.TaskGroup() as group:
            for processes in by_service.values():
                group.create_task(self._restart_in_turn(processes, act.pause_seconds))
        await self._restart_in_turn(self._fleet.of_role(Role.EDGE), act.pause_seconds)

    async def _restart_in_turn(self, processes: list[FleetProcess], pause_seconds: float) -> None:
        for process in processes:
            await self._planned_restart(process)
            await asyncio.sleep(pause_seconds)

    async def _planned_restart(self, process: FleetProcess) -> None:
        spec = process.spec
        self._journal.add(PlannedStop(self._journal.now(), spec.name, spec.endpoint))
        if spec.endpoint:
            self._journal.add(EndpointLeaving(self._journal.now(), spec.endpoint, PLANNED_SIGN))
        if spec.role in FOLLOWING_ROLES:
            self._journal.add(NodeStopped(self._journal.now(), spec.name))
        stopped = await self._fleet.restart(spec.name)
        if not stopped:
            self._journal.problem(f"{spec.name} didn't end by itself after SIGTERM")
        self._note_started(process)
        if spec.endpoint:
            self._journal.add(EndpointReturned(self._journal.now(), spec.endpoint))

    async def _slow(self, act: acts.Slow) -> None:
        endpoints = self._endpoints(act.target)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", str(act.factor))
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints)))
        await asyncio.sleep(act.duration_seconds)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", "1.0")
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints), ended=True))

    async def _misreport(self, act: acts.Misreport) -> None:
        await self._fleet.command_backend(act.target, "report", act.report.value)
        await self._fleet.command_backend(act.target, "fail", "1" if act.failing else "0")
        self._journal.add(Fault(self._journal.now(), "misreport", (act.target,)))
        await asyncio.sleep(act.duration_seconds)
        await self._fleet.command_backend(act.target, "report", "honest")
        await self._fleet.command_backend(act.target, "fail", "0")
        self._journal.add(Fault(self._journal.now(), "misreport", (act.target,), ended=True))

    async def _leave(self, act: acts.Leave) -> None:
        lag = self._fleet.platform_lag_seconds if act.sign is acts.Sign.PLATFORM else 0.0
        first_sign = self._journal.now() + lag
        self._journal.add(EndpointLeaving(first_sign, act.target, act.sign.value))
        if act.sign is acts.Sign.ANSWER:
            await self._fleet.command_backend(act.target, "drain")
        elif act.sign is acts.Sign.OPERATOR:
            await self._operator.must("drain", act.target)
        elif act.sign is acts.Sign.PLATFORM:
            await self._fleet.mark_leaving(act.target)
        else:
            for name in (daemon_name(act.target), backend_name(act.target)):
                process = self._fleet.processes[name]
                process.send_signal(signal.SIGSTOP)
                self._note_stopped(process)

    async def _edition(self, act: acts.Edition) -> None:
        for endpoint in self._endpoints(act.target):
            await self._fleet.command_backend(endpoint, "edition", str(act.edition))

    async def _cut(self, act: acts.Cut) -> None:
        ways = [(act.source, act.target)]
        if not act.one_way:
            ways.append((act.target, act.source))
        await self._suffer("cut", ways, Condition(cut=True), act.duration_seconds)

    async def _delay(self, act: acts.Delay) -> None:
        ways = [(act.source, act.target), (act.target, act.source)]
        condition = Condition(delay_seconds=act.delay_seconds)
        await self._suffer("delay", ways, condition, act.duration_seconds)

    async def _throttle(self, act: acts.Throttle) -> None:
        ways = [(act.source, act.target), (act.target, act.source)]
        condition = Condition(bytes_per_second=act.bytes_per_second)
        await self._suffer("throttle", ways, condition, act.duration_seconds)

    async def _suffer(
        self,
        fault: str,
        ways: list[tuple[str, str]],
        condition: Condition,
        duration_seconds: float,
    ) -> None:
        names = []
        targets: list[str] = []
        for source, target in ways:
            name = f"{fault}-{next(self._numbers)}"
            resolved = (self._end_of(source), self._end_of(target))
            rule = Rule(source=resolved[0], target=resolved[1], condition=condition)
            self._links.set(name, rule)
            names.append(name)
            targets += resolved
        ends = tuple(dict.fromkeys(targets))
        self._journal.add(Fault(self._journal.now(), fault, ends))
        await asyncio.sleep(duration_seconds)
        for name in names:
            self._links.clear(name)
        self._journal.add(Fault(self._journal.now(), fault, ends, ended=True))

    async def _reset(self, act: acts.Reset) -> None:
        ends = (self._end_of(act.source), self._end_of(act.target))
        self._links.relay.reset(*ends)
        self._journal.add(Fault(self._journal.now(), "reset", ends))

    async def _fill_disk(self, act: acts.FillDisk) -> None:
        process = self._resolve(act.target)
        name = process.spec.name
        limit = largest_file_bytes(pathlib.Path(process.spec.data_folder))
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,)))
        await asyncio.sleep(act.duration_seconds)
        if process.pid:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (UNLIMITED, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,), ended=True))

    async def _change(self, act: acts.Change) -> None:
        number = next(self._numbers)
        name = f"operator-{number}"
        code = await self._fleet.run_operator(name, act.times, number * FIRST_NUMBER_STEP)
        if code != 0:
            self._journal.problem(f"{name}: a change was never accepted (exit code {code})")

    async def _start(self, process: FleetProcess) -> None:
        process.start()
        await self._fleet.wait_ready([process.spec])
        self._note_started(process)

    def _note_fault(self, fault: str, process: FleetProcess, *, ended: bool = False) -> None:
        """Note a fault of a process under its own name and its endpoint's."""
        targets = tuple(name for name in (process.spec.name, process.spec.endpoint) if name)
        self._journal.add(Fault(self._journal.now(), fault, targets, ended))

    def _note_stopped(self, process: FleetProcess) -> None:
        if process.spec.role in FOLLOWING_ROLES:
            self._journal.add(NodeStopped(self._journal.now(), process.spec.name))
        self._links.note_reachability()

    def _note_started(self, process: FleetProcess) -> None:
        if process.spec.role in FOLLOWING_ROLES:
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))
        self._links.note_reachability()

    def _resolve(self, selector: str) -> FleetProcess:
        return self._fleet.processes[self._end_of(selector)]

    def _end_of(self, selector: str) -> str:
        """Return the process that a selector stands for now; other names as they are."""
        if selector == "leader":
            if not self._watch.leader:
                raise FleetError("no control node leads")
            return self._watch.leader
        if selector == "follower":
            return self._watch.followers()[0]
        return selector

    def _endpoints(self, target: str) -> list[str]:
        return [
            endpoint.name
            for endpoint in self._fleet.plan.endpoints
            if target in {endpoint.name, endpoint.service}
        ]


def wipe_folder(folder: str) -> None:
    """Empty a data folder, as a replaced disk would be."""
    if folder:
        shutil.rmtree(folder, ignore_errors=True)
        pathlib.Path(folder).mkdir(parents=True)


def largest_file_bytes(folder: pathlib.Path) -> int:
    """Return the size of the largest file under ``folder``."""
    sizes = [path.stat().st_size for path in folder.rglob("*") if path.is_file()]
    return max(sizes, default=0)
