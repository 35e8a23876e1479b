import asyncio
import pathlib
import sys

from finchshed.fleet import process_table
from finchshed.fleet.processes import FleetProcess, ProcessRole, ProcessSpec

READY = "ready"
# The child exits when its parent's end of the pipe closes.
WITH_CHILD = f"""
import subprocess, sys
child = subprocess.Popen(
    [sys.executable, "-c", "import sys; sys.stdin.read()"], stdin=subprocess.PIPE
)
print("{READY}", flush=True)
child.wait()
"""
WITHOUT_CHILD = f"""
import time
print("{READY}", flush=True)
time.sleep(60)
"""


async def run_and_find_violations(folder: pathlib.Path, program: str) -> list[str]:
    spec = ProcessSpec(name="one", role=ProcessRole.DAEMON, zone="", arguments=("-c", program))
    process = FleetProcess(spec, folder / "one.log")
    process.start()
    try:
        while READY not in (folder / "one.log").read_text():
            assert process.is_running, sys.executable
            await asyncio.sleep(0.02)
        return process_table.find_process_violations([process])
    finally:
        process.kill_now()


async def test_process_with_a_child_is_reported(tmp_path: pathlib.Path) -> None:
    (problem,) = await run_and_find_violations(tmp_path, WITH_CHILD)
    assert problem.startswith("one: child process ")


async def test_process_without_children_is_not_reported(tmp_path: pathlib.Path) -> None:
    assert await run_and_find_violations(tmp_path, WITHOUT_CHILD) == []


def test_stopped_process_is_skipped(tmp_path: pathlib.Path) -> None:
    spec = ProcessSpec(name="one", role=ProcessRole.DAEMON, zone="", arguments=())
    assert process_table.find_process_violations([FleetProcess(spec, tmp_path / "one.log")]) == []
