"""Starts, controls and stops all processes of a planned fleet.

The settings files of the plan must exist.
"""

import asyncio
import pathlib
import signal
import time
from collections.abc import Iterable

import aiohttp

from finchshed.common.errors import FinchshedError
from finchshed.fleet.actions import ChangeConfiguration
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.processes import FleetProcess, ProcessRole, ProcessSpec, wait_until_listening
from finchshed.standins.platform import StandinInstance, StandinInstanceState

READY_TIMEOUT_SECONDS = 60.0
"""How long processes may take to listen, on a busy machine."""

STOP_TIMEOUT_SECONDS = 15.0
"""How long a process may take to exit at the end of a run."""

RESTART_STOP_TIMEOUT_SECONDS = 45.0
"""Exceeds the drain of a daemon (planner.DRAIN_SECONDS)."""

OPERATOR_TIMEOUT_SECONDS = 300.0
"""How long a simulated operator may take for all its changes."""

CALLER_START_DELAY_SECONDS = 2.0
"""Time for caller processes to start before they begin to send."""

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
SELF_TERMINATING_ROLES = (ProcessRole.CALLER, ProcessRole.OPERATOR)
"""Roles of processes that exit when their work is done."""

LOG_TAIL_BYTES = 2000
"""Length of the log excerpt in an error message."""

INCARNATION = "1"
"""Incarnation of every endpoint; a run replaces no machine."""


class FleetError(FinchshedError):
    """A process of the fleet is not ready or not available."""


class Fleet:
    """All processes of one run, as an asynchronous context manager.

    Leaving the context stops every process and kills those that do not exit in time.
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
        """Delay before the platform's list shows a change."""
        return self.plan.platform_lag_seconds

    def with_role(self, *roles: ProcessRole) -> list[FleetProcess]:
        """Return the processes that have one of ``roles``."""
        return [process for process in self.processes.values() if process.spec.role in roles]

    async def start(self, *roles: ProcessRole) -> None:
        """Start all processes with one of ``roles`` and wait until they listen.

        Raises
        ------
        FleetError
            If a process does not listen in time; the message has the end of its log.
        """
        for role in STARTING_ORDER:
            if role in roles:
                processes = self.with_role(role)
                for process in processes:
                    process.start()
                await self.wait_ready(process.spec for process in processes)

    async def start_callers(self) -> None:
        """Start all callers and return when they begin to send.

        All callers begin at the same time, from which the times of faults are also measured.
        """
        begin_at = time.monotonic() + CALLER_START_DELAY_SECONDS
        for process in self.with_role(ProcessRole.CALLER):
            process.start(f"--begin_at={begin_at}")
        await asyncio.sleep(begin_at - time.monotonic())

    async def wait_ready(self, specs: Iterable[ProcessSpec]) -> None:
        """Wait until the processes of ``specs`` accept connections.

        Raises
        ------
        FleetError
            If a process exits or does not listen in time; the message has the end of its log.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for spec in specs:
            process = self.processes[spec.name]
            for address in spec.listens:
                if not await wait_until_listening(address, deadline, process):
                    raise FleetError(
                        f"{spec.name} doesn't listen at {address}\n{self.log_tail(spec)}"
                    )

    async def publish_instances(self) -> None:
        """Send the platform the current list of live and leaving instances."""
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
        """Mark an endpoint as leaving in the platform's list, which shows it after the lag."""
        self._draining.add(endpoint)
        await self.publish_instances()

    async def command_backend(self, endpoint: str, action: str, value: str = "") -> None:
        """Send a control command to a simulated backend."""
        address = self.plan.backend_addresses[endpoint]
        url = f"http://{address}/standin/{action}"
        async with self.http.post(url, params={"value": value}) as response:
            response.raise_for_status()

    async def run_operator(self, name: str, first_number: int, action: ChangeConfiguration) -> int:
        """Run a simulated operator; return its exit code, or -1 if it did not exit in time."""
        spec = self.plan.operator_spec(name, first_number, action)
        process = FleetProcess(spec, self.log_path(spec.name))
        self.processes[spec.name] = process
        process.start()
        await process.wait(OPERATOR_TIMEOUT_SECONDS)
        return process.exit_code if process.exit_code is not None else -1

    async def wait_callers(self, timeout_seconds: float) -> bool:
        """Wait until every caller exits; return whether all succeeded in time."""
        callers = self.with_role(ProcessRole.CALLER)
        ended = [await caller.wait(timeout_seconds) for caller in callers]
        return all(ended) and all(caller.exit_code == 0 for caller in callers)

    async def restart(self, name: str, down_seconds: float = 0.0) -> bool:
        """Restart a process; return whether it stopped without being killed."""
        process = self.processes[name]
        stopped = await process.stop(signal.SIGTERM, RESTART_STOP_TIMEOUT_SECONDS)
        await asyncio.sleep(down_seconds)
        await self.start_again(process)
        return stopped

    async def start_again(self, process: FleetProcess) -> None:
        """Start a process unless it is already running, and wait until it listens."""
        if not process.is_running:
            process.start()
        await self.wait_ready([process.spec])

    async def stop_all(self) -> None:
        """Stop every process, role by role."""
        for role in STOPPING_ORDER:
            # SIGINT skips the backend's drain, which is pointless when the whole fleet stops.
            number = signal.SIGINT if role is ProcessRole.BACKEND else signal.SIGTERM
            processes = self.with_role(role)
            await asyncio.gather(
                *(process.stop(number, STOP_TIMEOUT_SECONDS) for process in processes)
            )

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            process.kill_now()

    def unexpected_exits(self) -> list[str]:
        """Return the names of processes that exited without being stopped."""
        return [
            process.spec.name
            for process in self.processes.values()
            if process.expected_to_run
            and not process.is_running
            and not (process.spec.role in SELF_TERMINATING_ROLES and process.exit_code == 0)
        ]

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of the log with a process's standard output and error."""
        return self.plan.folder / "logs" / f"{name}.log"

    def log_tail(self, spec: ProcessSpec) -> str:
        """Return the end of a process's log."""
        path = self.log_path(spec.name)
        content = path.read_bytes() if path.exists() else b""
        return content[-LOG_TAIL_BYTES:].decode(errors="replace")
