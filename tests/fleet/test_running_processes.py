"""Children, io_uring, shared memory and threads of the processes of a running fleet."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from finchshed.fleet.bring_up import bring_up, plan_fleet
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.processes import PRODUCTION_ROLES, ProcessRole
from finchshed.observability.process_checks import thread_count, violations_of

SMALL = Path(__file__).parent / "small"
WAIT_SECONDS = 30.0

MAX_THREADS = {ProcessRole.DAEMON: 8, ProcessRole.EDGE: 8, ProcessRole.CONTROL: 48}
"""A daemon has the event loop's thread, four threads of libuv's pool and one executor thread that
syncs its revision; a control node also has grpcio's threads, whose number depends on the cores."""


async def test_no_production_process_has_children_io_uring_or_shared_memory(
    tmp_path: Path,
) -> None:
    fleet = plan_fleet(SMALL, read_deployment(SMALL), tmp_path / "run", PlanOptions())
    async with fleet:
        await bring_up(fleet)
        await fleet.start(ProcessRole.CALLER)
        processes = fleet.with_role(*PRODUCTION_ROLES)
        found = {process.spec.name: violations_of(process.pid) for process in processes}
        threads = {process.spec.name: thread_count(process.pid) for process in processes}
        roles = {process.spec.name: process.spec.role for process in processes}
    assert set(roles.values()) == set(PRODUCTION_ROLES)
    assert {name: lines for name, lines in found.items() if lines} == {}
    too_many = {n: count for n, count in threads.items() if count > MAX_THREADS[roles[n]]}
    assert too_many == {}, threads


VIOLATIONS = {
    "child process": "import subprocess\nkept = subprocess.Popen(['sleep', '60'])",
    "shared-memory segment /dev/shm/": (
        "from multiprocessing import shared_memory, resource_tracker\n"
        "resource_tracker.register = lambda *_: None\n"
        "kept = shared_memory.SharedMemory(create=True, size=64)\nkept.unlink()"
    ),
    "shared-memory segment /memfd:": "import os\nkept = os.memfd_create('planted')",
    "shared-memory segment /dev/zero": "import mmap\nkept = mmap.mmap(-1, 4096)",
    "shared-memory segment /SYSV": (
        "import ctypes\nlibc = ctypes.CDLL(None)\nkept = libc.shmget(0, 4096, 0o1600)\n"
        "libc.shmat.restype = ctypes.c_void_p\nlibc.shmat(kept, None, 0)\n"
        "libc.shmctl(kept, 0, None)"
    ),
    "io_uring descriptor": (
        "import os\nos.environ['UV_USE_IO_URING'] = '1'\n"
        "import uvloop\nkept = uvloop.new_event_loop()"
    ),
}


@contextmanager
def running(code: str) -> Iterator[int]:
    """Run ``code`` in a process that then waits; yield its process ID once the code has run."""
    text = f"{code}\nprint('ready', flush=True)\ninput()\n"
    if "Popen" in code:
        text += "kept.kill()\nkept.wait()\n"
    command = [sys.executable, "-c", text]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield process.pid
        process.communicate(b"\n", timeout=WAIT_SECONDS)
        assert process.returncode == 0


@pytest.mark.parametrize("kind", VIOLATIONS)
def test_violation_is_reported(kind: str) -> None:
    with running(VIOLATIONS[kind]) as pid:
        found = violations_of(pid)
    assert [line for line in found if line.startswith(kind)], found


def test_process_without_violations_is_not_reported() -> None:
    with running("import asyncio, socket") as pid:
        assert violations_of(pid) == []
        assert thread_count(pid) == 1
