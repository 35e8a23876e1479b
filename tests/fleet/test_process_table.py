import asyncio
import pathlib
import sys

from finchshed.fleet import process_table
from finchshed.fleet.processes import FleetProcess, ProcessRole, ProcessSpec

READY = "ready"
# The child ends with its parent, whose end of the pipe closes.
PARENT = f"""
import subprocess, sys
child = subprocess.Popen(
    [sys.executable, "-c", "import sys; sys.stdin.read()"], stdin=subprocess.PIPE
)
print("{READY}", flush=True)
child.wait()
"""
LONELY = f"""
import time
print("{READY}", flush=True)
time.sleep(60)
"""


async def problems_of(folder: pathlib.Path, program: str) -> list[str]:
    spec = ProcessSpec(name="one", role=ProcessRole.DAEMON, zone="", arguments=("-c", program))
    process = FleetProcess(spec, folder / "one.log")
    process.start()
    try:
        while READY not in (folder / "one.log").read_text():
            assert process.is_running, sys.executable
            await asyncio.sleep(0.02)
        return process_table.problems_of([process])
    finally:
        process.kill_now()


async def test_process_with_a_child_is_found(tmp_path: pathlib.Path) -> None:
    (problem,) = await problems_of(tmp_path, PARENT)
    assert problem.startswith("one: child process ")


async def test_process_without_children_is_right(tmp_path: pathlib.Path) -> None:
    assert await problems_of(tmp_path, LONELY) == []


def test_process_that_does_not_run_is_left_out(tmp_path: pathlib.Path) -> None:
    spec = ProcessSpec(name="one", role=ProcessRole.DAEMON, zone="", arguments=())
    assert process_table.problems_of([FleetProcess(spec, tmp_path / "one.log")]) == []
