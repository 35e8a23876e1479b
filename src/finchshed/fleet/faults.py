"""Carries out the acts of a fault script on a running fleet.

Owns the order of each act's steps and what the journal says of them. Signals go to processes that
the fleet started, by their id; who leads comes from the observer.
"""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import resource
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from finchshed.common.errors import FinchshedError
from finchshed.fleet import acts
from finchshed.fleet.data_folders import largest_file_bytes, wipe_folder
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.link_faults import LinkFaults
from finchshed.fleet.links import FleetLinks
from finchshed.fleet.observer import FleetObserver
from finchshed.fleet.operator import FleetOperator
from finchshed.fleet.plan import backend_name, daemon_name
from finchshed.fleet.processes import FleetProcess, ProcessRole
from finchshed.fleet.runner import Fleet, FleetError
from finchshed.proof.history import (
    EndpointLeaving,
    EndpointReturned,
    Fault,
    NodeStarted,
    NodeStopped,
    PlannedStop,
)

KILL_WAIT_SECONDS = 5.0
"""How long the kernel may take to end a killed process; chosen, not measured."""

ABLE_SECONDS = 20.0
"""How long a planned restart waits for a process that another act has frozen or killed.

Longer than any such act of a storm lasts. Chosen, not measured.
"""

POLL_SECONDS = 0.1
"""Between two looks at such a process; chosen, not measured."""

FOLLOWING_ROLES = (ProcessRole.DAEMON, ProcessRole.EDGE)
"""Processes that follow the configuration."""

PLANNED_SIGN = "stop"
"""Sign of an endpoint whose daemon was asked to stop."""

FIRST_NUMBER_STEP = 1000
"""Each stand-in operator numbers its changes from a multiple of this."""

UNLIMITED = resource.RLIM_INFINITY


class FleetFaultInjector:
    """Does acts to a fleet and notes them in the journal.

    Parameters
    ----------
    observer
        Tells who leads the control group.
    """

    def __init__(
        self,
        fleet: Fleet,
        operator: FleetOperator,
        journal: FaultJournal,
        links: FleetLinks,
        observer: FleetObserver,
    ) -> None:
        self._fleet = fleet
        self._operator = operator
        self._journal = journal
        self._links = links
        self._observer = observer
        self._numbers = itertools.count(1)
        self._link_faults = LinkFaults(links, journal, self._end_of)
        self._control = {process.spec.name for process in fleet.of_role(ProcessRole.CONTROL)}
        self._perform: dict[type[acts.Act], Callable[[Any], Awaitable[None]]] = {
            acts.Kill: self._kill,
            acts.Freeze: self._freeze,
            acts.Restart: self._restart,
            acts.RollingRestart: self._rolling_restart,
            acts.Slow: self._slow,
            acts.MisreportLoad: self._misreport,
            acts.Leave: self._leave,
            acts.Edition: self._edition,
            acts.Cut: self._link_faults.cut,
            acts.Delay: self._link_faults.delay,
            acts.Throttle: self._link_faults.throttle,
            acts.Reset: self._link_faults.reset,
            acts.FillDisk: self._fill_disk,
            acts.ChangeConfiguration: self._change,
        }

    async def run(self, script: tuple[acts.FaultAct, ...]) -> None:
        """Do each act at its time, side by side; return when all are over."""
        async with asyncio.TaskGroup() as group:
            for act in script:
                group.create_task(self._at(act))

    async def _at(self, act: acts.FaultAct) -> None:
        await asyncio.sleep(act.at)
        try:
            await self._perform[type(act)](act)
        except (FinchshedError, aiohttp.ClientError, TimeoutError) as error:
            self._journal.problem(f"{act.__struct_config__.tag} at {act.at:g}: {error!r}")

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
        await self._planned_restart(self._resolve(act.target), act.down_seconds)

    async def _rolling_restart(self, act: acts.RollingRestart) -> None:
        await self._restart_in_turn(self._fleet.of_role(ProcessRole.CONTROL), act.pause_seconds)
        by_service: dict[str, list[FleetProcess]] = collections.defaultdict(list)
        for endpoint in self._fleet.plan.endpoints:
            by_service[endpoint.service] += [
                self._fleet.processes[backend_name(endpoint.name)],
                self._fleet.processes[daemon_name(endpoint.name)],
            ]
        async with asyncio.TaskGroup() as group:
            for processes in by_service.values():
                group.create_task(self._restart_in_turn(processes, act.pause_seconds))
        await self._restart_in_turn(self._fleet.of_role(ProcessRole.EDGE), act.pause_seconds)

    async def _restart_in_turn(self, processes: list[FleetProcess], pause_seconds: float) -> None:
        for process in processes:
            await self._planned_restart(process)
            await asyncio.sleep(pause_seconds)

    async def _planned_restart(self, process: FleetProcess, down_seconds: float = 0.0) -> None:
        spec = process.spec
        if not await self._becomes_able_to_stop(process):
            return
        self._journal.add(PlannedStop(self._journal.now(), spec.name, spec.endpoint))
        if spec.role is ProcessRole.DAEMON:
            self._journal.add(EndpointLeaving(self._journal.now(), spec.endpoint, PLANNED_SIGN))
        if spec.role in FOLLOWING_ROLES:
            self._journal.add(NodeStopped(self._journal.now(), spec.name))
        stopped = await self._fleet.restart(spec.name, down_seconds)
        if not stopped:
            self._journal.problem(f"{spec.name} didn't end by itself after SIGTERM")
        self._note_started(process)
        if spec.endpoint:
            self._journal.add(EndpointReturned(self._journal.now(), spec.endpoint))

    async def _becomes_able_to_stop(self, process: FleetProcess) -> bool:
        """Wait while a process is frozen or gone by another act; return whether it works."""
        for _ in range(int(ABLE_SECONDS / POLL_SECONDS)):
            if process.is_working:
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def _slow(self, act: acts.Slow) -> None:
        endpoints = self._endpoints(act.target)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", str(act.factor))
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints)))
        await asyncio.sleep(act.duration_seconds)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", "1.0")
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints), ended=True))

    async def _misreport(self, act: acts.MisreportLoad) -> None:
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
        if act.sign is not acts.Sign.ANSWER:
            # The sign of an answer comes with the first one, which the back end's records tell.
            self._journal.add(EndpointLeaving(first_sign, act.target, act.sign.value))
        if act.sign is acts.Sign.ANSWER:
            await self._fleet.command_backend(act.target, "drain")
        elif act.sign is acts.Sign.OPERATOR:
            await self._operator.must("drain", act.target)
        elif act.sign is acts.Sign.PLATFORM:
            await self._fleet.mark_draining(act.target)
        else:
            for name in (daemon_name(act.target), backend_name(act.target)):
                process = self._fleet.processes[name]
                process.send_signal(signal.SIGSTOP)
                self._note_stopped(process)

    async def _edition(self, act: acts.Edition) -> None:
        for number in range(act.edition, act.edition + act.times):
            for endpoint in self._endpoints(act.target):
                await self._publish(endpoint, number)
                await asyncio.sleep(act.pause_seconds)
            await asyncio.sleep(act.every_seconds)

    async def _publish(self, endpoint: str, number: int) -> None:
        """Publish an edition on one back end; one that is gone or starting gets the next."""
        with contextlib.suppress(aiohttp.ClientError):
            await self._fleet.command_backend(endpoint, "edition", str(number))

    async def _fill_disk(self, act: acts.FillDisk) -> None:
        process = self._resolve(act.target)
        name = process.spec.name
        pid = process.pid
        if not process.is_working:
            return
        limit = largest_file_bytes(pathlib.Path(process.spec.data_folder))
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,)))
        self._observer.disks_seen_full.discard(name)
        await asyncio.sleep(act.duration_seconds)
        is_same = process.pid == pid and process.is_working
        if is_same and name in self._control and name not in self._observer.disks_seen_full:
            self._journal.problem(f"{name}: its disk was never seen full")
        if process.pid == pid:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (UNLIMITED, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,), ended=True))

    async def _change(self, act: acts.ChangeConfiguration) -> None:
        number = next(self._numbers)
        name = f"operator-{number}"
        code = await self._fleet.run_operator(name, number * FIRST_NUMBER_STEP, act)
        if code != 0:
            self._journal.problem(f"{name}: a change was never answered (exit code {code})")

    async def _start(self, process: FleetProcess) -> None:
        await self._fleet.start_again(process)
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
        if process.spec.role in FOLLOWING_ROLES and process.is_working:
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))
        self._links.note_reachability()

    def _resolve(self, selector: str) -> FleetProcess:
        return self._fleet.processes[self._end_of(selector)]

    def _end_of(self, selector: str) -> str:
        """Return the process that a selector stands for now; other names as they are."""
        if selector == "leader":
            if not self._observer.leader:
                raise FleetError("no control node leads")
            return self._observer.leader
        if selector == "follower":
            return self._observer.followers()[0]
        return selector

    def _endpoints(self, target: str) -> list[str]:
        return [
            endpoint.name
            for endpoint in self._fleet.plan.endpoints
            if target in {endpoint.name, endpoint.service}
        ]
