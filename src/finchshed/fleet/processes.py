"""Starts, signals and stops single processes of a fleet.

The kernel kills the processes if the runner dies (PR_SET_PDEATHSIG).
"""

import asyncio
import ctypes
import enum
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

POLL_SECONDS = 0.02

PR_SET_PDEATHSIG = 1
"""Option of prctl(2)."""

_libc = ctypes.CDLL(None, use_errno=True)


class ProcessRole(enum.StrEnum):
    """Role of a process in its fleet, in starting order."""

    PLATFORM = "platform"
    CONTROL = "control"
    BACKEND = "backend"
    DAEMON = "daemon"
    EDGE = "edge"
    CALLER = "caller"
    OPERATOR = "operator"


PRODUCTION_ROLES = (ProcessRole.CONTROL, ProcessRole.DAEMON, ProcessRole.EDGE)


class ProcessSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of one process.

    Attributes
    ----------
    arguments
        Command line arguments of the Python interpreter.
    listens
        Addresses that accept connections once the process is ready.
    endpoint
        Endpoint of a backend or daemon; empty for other roles.
    data_folder
        Folder of its persistent data, or empty.
    """

    name: str
    role: ProcessRole
    zone: str
    arguments: tuple[str, ...]
    listens: tuple[str, ...] = ()
    endpoint: str = ""
    data_folder: str = ""


class FleetProcess:
    """A process of the fleet that can be stopped and started again."""

    def __init__(self, spec: ProcessSpec, log_path: pathlib.Path) -> None:
        self.spec = spec
        self._log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None
        self.expected_to_run = False
        self.is_frozen = False

    @property
    def is_working(self) -> bool:
        """Whether the process runs and isn't frozen."""
        return self.is_running and not self.is_frozen

    @property
    def pid(self) -> int:
        """Process ID, or 0 if the process is not running."""
        return self._process.pid if self._process is not None and self.is_running else 0

    @property
    def is_running(self) -> bool:
        """Whether the process exists, even if it is frozen."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last run; None while running or before the first."""
        return None if self._process is None else self._process.poll()

    def start(self, *more_arguments: str) -> None:
        """Start the process; its standard output and error go to its log file."""
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                (sys.executable, *self.spec.arguments, *more_arguments),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,  # noqa: PLW1509 - a single C call that takes no Python locks
            )
        self.expected_to_run = True
        self.is_frozen = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process exists."""
        if number in {signal.SIGTERM, signal.SIGINT, signal.SIGKILL}:
            self.expected_to_run = False
        if not self.is_running or self._process is None:
            return
        if number in {signal.SIGSTOP, signal.SIGCONT}:
            self.is_frozen = number is signal.SIGSTOP
        self._process.send_signal(number)

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait until the process exits; return whether it did in time."""
        deadline = time.monotonic() + timeout_seconds
        while self.is_running:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def stop(self, number: signal.Signals, timeout_seconds: float) -> bool:
        """Send a signal to stop the process; kill it if it is frozen or does not exit in time.

        A frozen process is not resumed, because it would process input that arrived meanwhile.

        Returns
        -------
        bool
            Whether the process exited before the timeout.
        """
        self.send_signal(signal.SIGKILL if self.is_frozen else number)
        if await self.wait(timeout_seconds):
            return True
        self.send_signal(signal.SIGKILL)
        await self.wait(timeout_seconds)
        return False

    def kill_now(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()


def _set_parent_death_signal() -> None:
    """Have the kernel kill the process if the runner dies without stopping it."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


async def wait_until_listening(address: str, deadline: float, process: FleetProcess) -> bool:
    """Wait until ``address`` accepts connections.

    Returns
    -------
    bool
        Whether it did before ``deadline`` and before ``process`` exited.
    """
    host, _, port = address.rpartition(":")
    while time.monotonic() < deadline and process.is_running:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
            continue
        writer.close()
        return True
    return False
