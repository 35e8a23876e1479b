"""One process of a fleet: started from a settings file, signalled, and ended.

Owns the process and its log file. Relies on the kernel's death signal, so that no process outlives
the runner.
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
"""Between two looks at a process that starts or ends; chosen, not measured."""

PR_SET_PDEATHSIG = 1
"""Option of prctl(2)."""

_libc = ctypes.CDLL(None, use_errno=True)


class ProcessRole(enum.StrEnum):
    """What a process is in its fleet; the order is the order of starting."""

    PLATFORM = "platform"
    CONTROL = "control"
    BACKEND = "backend"
    DAEMON = "daemon"
    EDGE = "edge"
    CALLER = "caller"
    OPERATOR = "operator"


PRODUCTION_ROLES = (ProcessRole.CONTROL, ProcessRole.DAEMON, ProcessRole.EDGE)


class ProcessSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How to start one process.

    Attributes
    ----------
    arguments
        What follows the interpreter on its command line.
    listens
        Addresses that take connections once the process is ready.
    endpoint
        The endpoint it is or serves, if any.
    data_folder
        What it keeps over restarts; empty for nothing.
    """

    name: str
    role: ProcessRole
    zone: str
    arguments: tuple[str, ...]
    listens: tuple[str, ...] = ()
    endpoint: str = ""
    service: str = ""
    data_folder: str = ""


class FleetProcess:
    """A process of the fleet, which may be ended and started again."""

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
        """Identity of the running process, or 0."""
        return self._process.pid if self._process is not None and self.is_running else 0

    @property
    def is_running(self) -> bool:
        """Whether the process exists (it may be frozen)."""
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
                preexec_fn=_die_with_parent,  # noqa: PLW1509 - one call of C, no Python locks
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
        """Wait until the process has ended; return whether it did in time."""
        deadline = time.monotonic() + timeout_seconds
        while self.is_running:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def stop(self, number: signal.Signals, timeout_seconds: float) -> bool:
        """Ask the process to end; kill it if it doesn't in time, or is frozen.

        A frozen process is not woken: it would go on with what reached it meanwhile.

        Returns
        -------
        bool
            Whether it ended by itself.
        """
        self.send_signal(signal.SIGKILL if self.is_frozen else number)
        if await self.wait(timeout_seconds):
            return True
        self.send_signal(signal.SIGKILL)
        await self.wait(timeout_seconds)
        return False

    def kill_now(self) -> None:
        """End the process at once and reap it."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()


def _die_with_parent() -> None:
    """Have the kernel kill the process if the runner dies without stopping it."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


async def wait_until_listening(address: str, deadline: float, process: FleetProcess) -> bool:
    """Wait until ``address`` takes connections.

    Returns
    -------
    bool
        Whether it did before ``deadline``, and before ``process`` ended.
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
