"""Starts a planned fleet, keeps it, and stops all of it, whatever happens.

Owns the processes; relies on a plan whose settings files are written.
"""

import asyncio
import pathlib
import signal
import time
from collections.abc import Iterable

import aiohttp

from finchshed.common.errors import FinchshedError
from finchshed.fleet.acts import ChangeConfiguration
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.processes import FleetProcess, ProcessRole, ProcessSpec, wait_until_listening
from finchshed.standins.platform import StandinInstance, StandinInstanceState

READY_SECONDS = 60.0
"""How long a process may take to listen on a busy machine; chosen, not measured."""

STOP_SECONDS = 15.0
"""How long a process may take to end at the end of a run; chosen, not measured."""

RESTART_STOP_SECONDS = 45.0
"""A planned stop may take a daemon's whole drain (planner.DRAIN_SECONDS) and a little more."""

OPERATOR_SECONDS = 300.0
"""How long a stand-in operator may take for its changes; chosen, not measured."""

CALLERS_START_SECONDS = 2.0
"""How long callers are given to start in; chosen, not measured."""

STARTING_ORDER = tuple(ProcessRole)
STOPPING_ORDER = (
    ProcessRole.OPERATOR,
    ProcessRole.CALLER,
    ProcessRole.EDGE,
    ProcessRole.DAEMON,
    ProcessRole.BACKEND,
    ProcessRole.CONTROL,
    ProcessRole.PLATFORM,
)
ENDING_ROLES = (ProcessRole.CALLER, ProcessRole.OPERATOR)
"""Processes that end by themselves when their work is done."""

LOG_TAIL_BYTES = 2000
"""How much of a log goes into an error; chosen, not measured."""

INCARNATION = "1"
"""A run replaces no machine, so each endpoint's stays the first one."""


class FleetError(FinchshedError):
    """A process of the fleet didn't start, or ended by itself."""


class Fleet:
    """All processes of one run. Use as an asynchronous context manager.

    Leaving the context stops every process; what doesn't stop in time is killed.
    """

    def __init__(self, plan: FleetPlan, network: FleetNetwork) -> None:
        self.plan = plan
        self._network = network
        self.processes = {
            spec.name: FleetProcess(spec, self.log_path(spec.name)) for spec in plan.specs
        }
        self._draining: set[str] = set()
        self.http: aiohttp.ClientSession

    async def __aenter__(self) -> "Fleet":
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10.0))
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            await self.stop_all()
        finally:
            self.kill_all()
            await self.http.close()
            self._network.release()

    @property
    def platform_lag_seconds(self) -> float:
        """How late the platform's list shows a change."""
        return self.plan.platform_lag_seconds

    def of_role(self, *roles: ProcessRole) -> list[FleetProcess]:
        """Return the processes in one of ``roles``."""
        return [process for process in self.processes.values() if process.spec.role in roles]

    async def start(self, *roles: ProcessRole) -> None:
        """Start all processes of ``roles`` and wait until they listen.

        Raises
        ------
        FleetError
            If one doesn't listen in time, with the end of its log.
        """
        for role in STARTING_ORDER:
            if role in roles:
                chosen = self.of_role(role)
                for process in chosen:
                    process.start()
                await self.wait_ready(process.spec for process in chosen)

    async def start_callers(self) -> None:
        """Start all callers and return when they begin to send.

        They are given time to start in, so that all begin together and faults that are timed from
        the same moment meet the phase they are meant for.
        """
        begin_at = time.monotonic() + CALLERS_START_SECONDS
        for process in self.of_role(ProcessRole.CALLER):
            process.start(f"--begin_at={begin_at}")
        await asyncio.sleep(begin_at - time.monotonic())

    async def wait_ready(self, specs: Iterable[ProcessSpec]) -> None:
        """Wait until the processes of ``specs`` take connections.

        Raises
        ------
        FleetError
            If one has ended, or doesn't in time; with the end of its log.
        """
        deadline = time.monotonic() + READY_SECONDS
        for spec in specs:
            process = self.processes[spec.name]
            for address in spec.listens:
                if not await wait_until_listening(address, deadline, process):
                    raise FleetError(f"{spec.name} doesn't listen at {address}\n{self.tail(spec)}")

    async def publish_instances(self) -> None:
        """Tell the platform which machines are live or leaving."""
        instances = [
            StandinInstance(
                name=endpoint.name,
                address=endpoint.address,
                incarnation=INCARNATION,
                state=(
                    StandinInstanceState.LEAVING
                    if endpoint.name in self._draining
                    else StandinInstanceState.LIVE
                ),
            )
            for endpoint in self.plan.endpoints
        ]
        url = f"http://{self.plan.platform_address}/instances"
        body = [
            {
                "name": item.name,
                "address": item.address,
                "incarnation": item.incarnation,
                "state": item.state,
            }
            for item in instances
        ]
        async with self.http.put(url, json=body) as response:
            response.raise_for_status()

    async def mark_draining(self, endpoint: str) -> None:
        """Have the platform say, after its lag, that a machine leaves."""
        self._draining.add(endpoint)
        await self.publish_instances()

    async def command_backend(self, endpoint: str, act: str, value: str = "") -> None:
        """Have a stand-in back end change how it behaves."""
        address = self.plan.backend_addresses[endpoint]
        url = f"http://{address}/standin/{act}"
        async with self.http.post(url, params={"value": value}) as response:
            response.raise_for_status()

    async def run_operator(self, name: str, first_number: int, act: ChangeConfiguration) -> int:
        """Run a stand-in operator that makes changes; return its exit code."""
        spec = self.plan.operator_spec(name, first_number, act)
        process = FleetProcess(spec, self.log_path(spec.name))
        self.processes[spec.name] = process
        process.start()
        await process.wait(OPERATOR_SECONDS)
        return process.exit_code if process.exit_code is not None else -1

    async def wait_callers(self, timeout_seconds: float) -> bool:
        """Wait until every caller has sent its requests; return whether all ended well."""
        callers = self.of_role(ProcessRole.CALLER)
        ended = [await caller.wait(timeout_seconds) for caller in callers]
        return all(ended) and all(caller.exit_code == 0 for caller in callers)

    async def restart(self, name: str, down_seconds: float = 0.0) -> bool:
        """Stop one process and start it anew later; return whether it stopped by itself."""
        process = self.processes[name]
        stopped = await process.stop(signal.SIGTERM, RESTART_STOP_SECONDS)
        await asyncio.sleep(down_seconds)
        await self.start_again(process)
        return stopped

    async def start_again(self, process: FleetProcess) -> None:
        """Start a process that has ended, if nobody did meanwhile, and wait until it listens."""
        if not process.is_running:
            process.start()
        await self.wait_ready([process.spec])

    async def stop_all(self) -> None:
        """Stop every process, role by role."""
        for role in STOPPING_ORDER:
            # A back end's own drain is for a deployment that goes on; here it ends with the rest.
            number = signal.SIGINT if role is ProcessRole.BACKEND else signal.SIGTERM
            chosen = self.of_role(role)
            await asyncio.gather(*(process.stop(number, STOP_SECONDS) for process in chosen))

    def kill_all(self) -> None:
        """End at once whatever still runs."""
        for process in self.processes.values():
            process.kill_now()

    def ended_unasked(self) -> list[str]:
        """Return the names of processes that ended without being asked to."""
        return [
            process.spec.name
            for process in self.processes.values()
            if process.expected_to_run
            and not process.is_running
            and not (process.spec.role in ENDING_ROLES and process.exit_code == 0)
        ]

    def log_path(self, name: str) -> pathlib.Path:
        """Return where a process writes its standard output and error."""
        return self.plan.folder / "logs" / f"{name}.log"

    def tail(self, spec: ProcessSpec) -> str:
        """Return the end of a process's log."""
        path = self.log_path(spec.name)
        content = path.read_bytes() if path.exists() else b""
        return content[-LOG_TAIL_BYTES:].decode(errors="replace")
