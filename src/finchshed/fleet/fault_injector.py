"""Executes the actions of a fault script on a running fleet and records them in the journal.

Signals are sent only to processes that the fleet started. The observer identifies the leader of
the control group.
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
from finchshed.fleet import actions
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

KILL_TIMEOUT_SECONDS = 5.0
"""How long a killed process may take to disappear."""

RUNNING_TIMEOUT_SECONDS = 20.0
"""How long a planned restart waits for a process that another action has frozen or killed.

This exceeds the duration of any such action in a storm.
"""

POLL_SECONDS = 0.1

CONFIGURED_ROLES = (ProcessRole.DAEMON, ProcessRole.EDGE)
"""Roles of processes that apply the configuration."""

PLANNED_SIGN = "stop"
"""Leaving signal of an endpoint whose daemon was asked to stop."""

CHANGE_NUMBER_STEP = 1000
"""Each simulated operator numbers its changes from a distinct multiple of this."""

UNLIMITED = resource.RLIM_INFINITY


class FleetFaultInjector:
    """Executes fault actions and records them in the journal.

    Parameters
    ----------
    observer
        Source of the current leader of the control group.
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
        self._operator_numbers = itertools.count(1)
        self._link_faults = LinkFaults(links, journal, self._resolve_name)
        self._control = {process.spec.name for process in fleet.with_role(ProcessRole.CONTROL)}
        self._handlers: dict[type[actions.Action], Callable[[Any], Awaitable[None]]] = {
            actions.Kill: self._kill,
            actions.Freeze: self._freeze,
            actions.Restart: self._restart,
            actions.RollingRestart: self._rolling_restart,
            actions.Slow: self._slow,
            actions.MisreportLoad: self._misreport,
            actions.Leave: self._leave,
            actions.Edition: self._edition,
            actions.Cut: self._link_faults.cut,
            actions.Delay: self._link_faults.delay,
            actions.Throttle: self._link_faults.throttle,
            actions.Reset: self._link_faults.reset,
            actions.FillDisk: self._fill_disk,
            actions.ChangeConfiguration: self._change,
        }

    async def run(self, script: tuple[actions.FaultAction, ...]) -> None:
        """Run all actions concurrently, each at its time; return when all have ended."""
        async with asyncio.TaskGroup() as group:
            for action in script:
                group.create_task(self._run_action(action))

    async def _run_action(self, action: actions.FaultAction) -> None:
        await asyncio.sleep(action.at)
        try:
            await self._handlers[type(action)](action)
        except (FinchshedError, aiohttp.ClientError, TimeoutError) as error:
            self._journal.add_problem(f"{action.__struct_config__.tag} at {action.at:g}: {error!r}")

    async def _kill(self, action: actions.Kill) -> None:
        process = self._resolve(action.target)
        process.send_signal(signal.SIGKILL)
        await process.wait(KILL_TIMEOUT_SECONDS)
        self._record_fault("kill", process)
        self._record_stopped(process)
        if action.wipe:
            wipe_folder(process.spec.data_folder)
        if action.restart_after_seconds >= 0.0:
            await asyncio.sleep(action.restart_after_seconds)
            await self._start(process)
            self._record_fault("kill", process, ended=True)

    async def _freeze(self, action: actions.Freeze) -> None:
        process = self._resolve(action.target)
        process.send_signal(signal.SIGSTOP)
        self._record_fault("freeze", process)
        self._record_stopped(process)
        await asyncio.sleep(action.duration_seconds)
        process.send_signal(signal.SIGCONT)
        self._record_fault("freeze", process, ended=True)
        self._record_started(process)

    async def _restart(self, action: actions.Restart) -> None:
        await self._planned_restart(self._resolve(action.target), action.down_seconds)

    async def _rolling_restart(self, action: actions.RollingRestart) -> None:
        await self._restart_in_turn(
            self._fleet.with_role(ProcessRole.CONTROL), action.pause_seconds
        )
        by_service: dict[str, list[FleetProcess]] = collections.defaultdict(list)
        for endpoint in self._fleet.plan.endpoints:
            by_service[endpoint.service] += [
                self._fleet.processes[backend_name(endpoint.name)],
                self._fleet.processes[daemon_name(endpoint.name)],
            ]
        async with asyncio.TaskGroup() as group:
            for processes in by_service.values():
                group.create_task(self._restart_in_turn(processes, action.pause_seconds))
        await self._restart_in_turn(self._fleet.with_role(ProcessRole.EDGE), action.pause_seconds)

    async def _restart_in_turn(self, processes: list[FleetProcess], pause_seconds: float) -> None:
        for process in processes:
            await self._planned_restart(process)
            await asyncio.sleep(pause_seconds)

    async def _planned_restart(self, process: FleetProcess, down_seconds: float = 0.0) -> None:
        spec = process.spec
        if not await self._wait_until_working(process):
            return
        self._journal.add(PlannedStop(self._journal.now(), spec.name, spec.endpoint))
        if spec.role is ProcessRole.DAEMON:
            self._journal.add(EndpointLeaving(self._journal.now(), spec.endpoint, PLANNED_SIGN))
        if spec.role in CONFIGURED_ROLES:
            self._journal.add(NodeStopped(self._journal.now(), spec.name))
        stopped = await self._fleet.restart(spec.name, down_seconds)
        if not stopped:
            self._journal.add_problem(f"{spec.name} didn't end by itself after SIGTERM")
        self._record_started(process)
        if spec.endpoint:
            self._journal.add(EndpointReturned(self._journal.now(), spec.endpoint))

    async def _wait_until_working(self, process: FleetProcess) -> bool:
        """Wait until no other action has the process frozen or stopped; return whether it runs."""
        for _ in range(int(RUNNING_TIMEOUT_SECONDS / POLL_SECONDS)):
            if process.is_working:
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def _slow(self, action: actions.Slow) -> None:
        endpoints = self._endpoints(action.target)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", str(action.factor))
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints)))
        await asyncio.sleep(action.duration_seconds)
        for endpoint in endpoints:
            await self._fleet.command_backend(endpoint, "slow", "1.0")
        self._journal.add(Fault(self._journal.now(), "slow", tuple(endpoints), ended=True))

    async def _misreport(self, action: actions.MisreportLoad) -> None:
        await self._fleet.command_backend(action.target, "report", action.report.value)
        await self._fleet.command_backend(action.target, "fail", "1" if action.failing else "0")
        self._journal.add(Fault(self._journal.now(), "misreport", (action.target,)))
        await asyncio.sleep(action.duration_seconds)
        await self._fleet.command_backend(action.target, "report", "honest")
        await self._fleet.command_backend(action.target, "fail", "0")
        self._journal.add(Fault(self._journal.now(), "misreport", (action.target,), ended=True))

    async def _leave(self, action: actions.Leave) -> None:
        lag = (
            self._fleet.platform_lag_seconds if action.sign is actions.LeavingSign.PLATFORM else 0.0
        )
        signal_time = self._journal.now() + lag
        if action.sign is not actions.LeavingSign.ANSWER:
            # For ANSWER, the event is derived from the backend's first response while draining.
            self._journal.add(EndpointLeaving(signal_time, action.target, action.sign.value))
        if action.sign is actions.LeavingSign.ANSWER:
            await self._fleet.command_backend(action.target, "drain")
        elif action.sign is actions.LeavingSign.OPERATOR:
            await self._operator.run_checked("drain", action.target)
        elif action.sign is actions.LeavingSign.PLATFORM:
            await self._fleet.mark_draining(action.target)
        else:
            for name in (daemon_name(action.target), backend_name(action.target)):
                process = self._fleet.processes[name]
                process.send_signal(signal.SIGSTOP)
                self._record_stopped(process)

    async def _edition(self, action: actions.Edition) -> None:
        for number in range(action.edition, action.edition + action.times):
            for endpoint in self._endpoints(action.target):
                await self._publish(endpoint, number)
                await asyncio.sleep(action.pause_seconds)
            await asyncio.sleep(action.every_seconds)

    async def _publish(self, endpoint: str, number: int) -> None:
        """Publish an edition on one backend, skipping a backend that is not reachable."""
        with contextlib.suppress(aiohttp.ClientError):
            await self._fleet.command_backend(endpoint, "edition", str(number))

    async def _fill_disk(self, action: actions.FillDisk) -> None:
        process = self._resolve(action.target)
        name = process.spec.name
        pid = process.pid
        if not process.is_working:
            return
        limit = largest_file_bytes(pathlib.Path(process.spec.data_folder))
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,)))
        self._observer.disks_seen_full.discard(name)
        await asyncio.sleep(action.duration_seconds)
        is_same = process.pid == pid and process.is_working
        if is_same and name in self._control and name not in self._observer.disks_seen_full:
            self._journal.add_problem(f"{name}: its disk was never seen full")
        if process.pid == pid:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (UNLIMITED, UNLIMITED))
        self._journal.add(Fault(self._journal.now(), "fill_disk", (name,), ended=True))

    async def _change(self, action: actions.ChangeConfiguration) -> None:
        number = next(self._operator_numbers)
        name = f"operator-{number}"
        code = await self._fleet.run_operator(name, number * CHANGE_NUMBER_STEP, action)
        if code != 0:
            self._journal.add_problem(f"{name}: a change was never answered (exit code {code})")

    async def _start(self, process: FleetProcess) -> None:
        await self._fleet.start_again(process)
        self._record_started(process)

    def _record_fault(self, fault: str, process: FleetProcess, *, ended: bool = False) -> None:
        """Record a fault under the names of the process and of its endpoint."""
        targets = tuple(name for name in (process.spec.name, process.spec.endpoint) if name)
        self._journal.add(Fault(self._journal.now(), fault, targets, ended))

    def _record_stopped(self, process: FleetProcess) -> None:
        if process.spec.role in CONFIGURED_ROLES:
            self._journal.add(NodeStopped(self._journal.now(), process.spec.name))
        self._links.note_reachability()

    def _record_started(self, process: FleetProcess) -> None:
        if process.spec.role in CONFIGURED_ROLES and process.is_working:
            self._journal.add(NodeStarted(self._journal.now(), process.spec.name))
        self._links.note_reachability()

    def _resolve(self, selector: str) -> FleetProcess:
        return self._fleet.processes[self._resolve_name(selector)]

    def _resolve_name(self, selector: str) -> str:
        """Return the name of the process that a selector denotes now; other names unchanged."""
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
