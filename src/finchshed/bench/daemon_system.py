"""Processes whose latency is measured: a back end, its daemon, an edge, and byte relays.

Owns the processes and a control node that serves one configuration; stops them all when the context
is left. Only the loopback interface is used, with ports that the kernel gave as free.
"""

import asyncio
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from finchshed.bench.fixed_control import FixedControl
from finchshed.bench.keys import BenchKeys
from finchshed.common.errors import FinchshedError
from finchshed.configuration.resources import Endpoint, Policy, Route, Service

SERVICE = "bench"
ENDPOINT = "bench-1"
ZONE = "zone-1"
REGION = "region-1"
SLOTS = 64
"""More than are ever in use at the rates measured, so that admission holds no call back."""

DEADLINE_SECONDS = 10.0
"""Long enough that no call ends by its deadline."""

START_SECONDS = 20.0
"""How long a process may take to listen."""

STOP_SECONDS = 10.0
"""How long all processes together may take to end."""

POLL_SECONDS = 0.02
"""Between two attempts to connect to a process that starts."""

PATIENT_FLAGS = {"connect-timeout-seconds": "5", "silence-seconds": "5"}
"""A machine that is busy with other work must not break links; nothing measured rests on these."""


class MeasurementError(FinchshedError):
    """A measurement can't be made."""


@dataclass
class MeasuredProcess:
    """One process under measurement."""

    name: str
    http_address: str
    link_address: str = ""
    process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Identity of the process."""
        assert self.process is not None
        return self.process.pid


def _new_process(name: str) -> MeasuredProcess:
    return MeasuredProcess(name, _free_address(), _free_address())


@dataclass
class DaemonSystem:
    """Control, a back end with its daemon, an edge, and byte relays.

    Parameters
    ----------
    body_bytes
        Size of each answer.
    relay_count
        Number of processes that only pass bytes, in a row before the back end.
    wrapper
        Returns the command a daemon is run by, given its name and arguments.
    keys
        Authority that certificates of the daemons and of control are issued by, and the folder
        they are written to; None: plain text.
    """

    body_bytes: int = 100
    relay_count: int = 0
    wrapper: Callable[[str, list[str]], list[str]] | None = None
    keys: BenchKeys | None = None
    control: FixedControl = field(default_factory=FixedControl)
    backend: MeasuredProcess = field(default_factory=lambda: _new_process("backend"))
    daemon: MeasuredProcess = field(default_factory=lambda: _new_process(ENDPOINT))
    edge: MeasuredProcess = field(default_factory=lambda: _new_process("edge"))
    relays: list[MeasuredProcess] = field(default_factory=list)

    async def __aenter__(self) -> "DaemonSystem":
        try:
            await self._start()
        except BaseException:
            self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self._stop()

    async def _start(self) -> None:
        if self.keys is not None:
            self.control.credentials = self.keys.control()
        await self.control.start()
        self.control.resources = self._resources()
        self._launch_backend()
        beside = {
            "service": SERVICE,
            "endpoint": self.daemon.name,
            "backend-address": self.backend.http_address,
        }
        self._launch_daemon(self.daemon, beside)
        self._launch_daemon(self.edge, {})
        self._launch_relays()
        for process in (self.backend, *self.relays, self.daemon, self.edge):
            await _wait_listening(process)

    def _resources(self) -> tuple[Service | Policy | Endpoint, ...]:
        routes = (Route(prefix="/"),)
        endpoint = Endpoint(
            name=self.daemon.name,
            service=SERVICE,
            region=REGION,
            zone=ZONE,
            address=self.daemon.link_address,
            slots=SLOTS,
        )
        service = Service(name=SERVICE, routes=routes, deadline_seconds=DEADLINE_SECONDS)
        return (service, Policy(), endpoint)

    def _launch_backend(self) -> None:
        port = self.backend.http_address.rpartition(":")[2]
        arguments = ["-m", "finchshed.bench.echo_backend", port, str(self.body_bytes)]
        self.backend.process = _launch([sys.executable, *arguments])

    def _launch_relays(self) -> None:
        onward = self.backend.http_address
        for number in range(1, self.relay_count + 1):
            relay = _new_process(f"relay-{number}")
            port = relay.http_address.rpartition(":")[2]
            arguments = ["-m", "finchshed.bench.byte_relay", port, onward]
            relay.process = _launch([sys.executable, *arguments])
            self.relays.append(relay)
            onward = relay.http_address

    def _launch_daemon(self, daemon: MeasuredProcess, beside: Mapping[str, str]) -> None:
        flags = {
            "node": daemon.name,
            "region": REGION,
            "zone": ZONE,
            "http-address": daemon.http_address,
            "link-address": daemon.link_address,
            "control-addresses": self.control.address,
            **PATIENT_FLAGS,
            **beside,
        }
        if self.keys is not None:
            flags.update(self.keys.flags_of(daemon.name, ZONE, beside.get("endpoint", "")))
        arguments = ["-m", "finchshed", "daemon"]
        arguments += [f"--{name}={value}" for name, value in flags.items()]
        if self.wrapper is None:
            daemon.process = _launch([sys.executable, *arguments])
        else:
            daemon.process = _launch(self.wrapper(daemon.name, arguments))

    def _stop(self) -> None:
        processes = [
            measured.process
            for measured in (self.edge, self.daemon, *self.relays, self.backend)
            if measured.process is not None
        ]
        for process in processes:
            process.terminate()
        deadline = time.monotonic() + STOP_SECONDS
        for process in processes:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.control.stop()


def _launch(command: list[str]) -> subprocess.Popen[bytes]:
    return subprocess.Popen(command, env=dict(os.environ))


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
        return f"{host}:{port}"


async def _wait_listening(measured: MeasuredProcess) -> None:
    host, _, port = measured.http_address.rpartition(":")
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        if measured.process is not None and measured.process.poll() is not None:
            raise MeasurementError(f"{measured.name} ended at its start")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
            continue
        writer.close()
        return
    raise MeasurementError(f"{measured.name} does not listen")
