"""Guards against control processes, data folders and restarts that grow with the changes made."""

import asyncio
import json
import signal
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest

from finchshed.control.memory import ControlMemoryPlan
from tests.platform.endless_backend import peak_memory_bytes
from tests.platform.fake_platform import (
    FakePlatform,
    Machine,
    document,
    route,
    run_platform,
    wait_until,
)

MEMORY_MEGABYTES = 200
MEGABYTE = 1_000_000
ROUTES = 1_080
FIRST_CHANGES = 60
FURTHER_CHANGES = 240
MAX_GROWTH_BYTES = 10 * MEGABYTE
"""By which a process or its folder may be larger after the further changes than before them."""


LARGE_ROUTES = 4_000
LARGE_ROUTE_BYTES = 200
"""Bytes of a route in a document, without its padding."""

LARGE_FRACTION = 0.95
"""Part of the largest accepted size that a large document has."""

LARGE_CHANGES = 4
IN_PROGRESS = 8
SUCCESSION_SECONDS = 24.0
"""Longer than control keeps a back end that isn't announced again."""

SUCCESSION_GAP_SECONDS = 0.4


def many_routes(version: int, count: int = ROUTES) -> dict[str, Any]:
    """Return a configuration whose routes differ from those of other versions."""
    routes = (
        route(f"/look{number}/", "sales", timeout_s=1 + version / 1000) for number in range(count)
    )
    return document(version, version - 1, route("/look/", "sales"), *routes)


def private_bytes(machine: Machine) -> int:
    """Return the memory that belongs to the process alone."""
    assert machine.process is not None
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("RssAnon:"))
    return int(line.split()[1]) * 1024


def folder_bytes(machine: Machine) -> int:
    return sum(path.stat().st_size for path in machine.folder.rglob("*") if path.is_file())


def sizes(machines: Iterable[Machine]) -> dict[str, int]:
    """Return the memory and the folder of each machine, in bytes."""
    found = {}
    for machine in machines:
        found[f"memory of {machine.ip}"] = private_bytes(machine)
        found[f"folder of {machine.ip}"] = folder_bytes(machine)
    return found


async def change(
    running: FakePlatform, versions: range, controls: int = 3, count: int = ROUTES
) -> None:
    """Change the configuration as fast as changes are accepted, at the first control nodes."""
    for version in versions:
        made = json.dumps(many_routes(version, count)).encode()
        status = 0
        for attempt in range(50):
            status = await running.put(made, (version + attempt) % controls)
            if status == 200:
                break
            await asyncio.sleep(0.1)
        assert status == 200, f"version {version}"


async def version_at(running: FakePlatform, control: int) -> int:
    """Return the version that a control node tells, 0 if it tells none."""
    response = await running.read(control)
    return int(json.loads(response.body)["version"][1:]) if response.status == 200 else 0


async def wait_until_at(running: FakePlatform, version: int) -> None:
    async def all_at() -> bool:
        return all([await version_at(running, control) == version for control in range(3)])

    await wait_until(all_at, 10.0)


async def is_serving(running: FakePlatform, daemon: int) -> bool:
    return (await running.send_request("/look/up", daemon=daemon)).status == 200


def leaders_seen(running: FakePlatform) -> int:
    return sum(machine.log().count("role is leader") for machine in running.controls)


async def test_a_process_does_not_grow_with_the_number_of_changes(tmp_path: Path) -> None:
    fields = {"limits": {"memory_mb": MEMORY_MEGABYTES}}
    async with run_platform(tmp_path, *["sales"] * 2, fields=fields) as running:
        await running.put_until_accepted(many_routes(1))
        await change(running, range(2, FIRST_CHANGES))
        machines = [*running.controls, *running.daemons]
        before = sizes(machines)
        leaders = leaders_seen(running)
        last = FIRST_CHANGES + FURTHER_CHANGES
        stopped = running.daemons[1]
        stopped.signal(signal.SIGSTOP)
        await change(running, range(FIRST_CHANGES, last + 1))
        stopped.signal(signal.SIGCONT)
        after = sizes(machines)
        grown = {name: after[name] - before[name] for name in before}
        assert max(grown.values()) <= MAX_GROWTH_BYTES, grown
        assert leaders_seen(running) == leaders
        await wait_until(lambda: is_serving(running, 1))


@pytest.mark.parametrize("wipe", [False, True], ids=["restarted", "on an empty disk"])
async def test_a_process_that_comes_back_catches_up_beside_changes(
    tmp_path: Path, wipe: bool
) -> None:
    fields = {"limits": {"memory_mb": MEMORY_MEGABYTES}}
    async with run_platform(tmp_path, "sales", fields=fields) as running:
        await running.put_until_accepted(many_routes(1))
        restarted = running.controls[2]
        await change(running, range(2, FIRST_CHANGES))
        before = private_bytes(restarted)
        restarted.stop()
        await change(running, range(FIRST_CHANGES, 2 * FIRST_CHANGES), controls=2)
        changing = asyncio.create_task(
            change(running, range(2 * FIRST_CHANGES, 4 * FIRST_CHANGES), controls=2)
        )
        restarted.start(bootstrap=False, wipe=wipe)
        while not (caught_up := await version_at(running, 2)):
            assert not changing.done(), "it hasn't caught up while changes went on"
            await asyncio.sleep(0.05)
        assert caught_up >= 2 * FIRST_CHANGES - 1
        await changing
        await wait_until_at(running, 4 * FIRST_CHANGES - 1)
        assert private_bytes(restarted) <= before + MAX_GROWTH_BYTES
        assert folder_bytes(restarted) <= MEMORY_MEGABYTES * MEGABYTE // 8


def large_document(version: int, size: int, variant: int = 0) -> bytes:
    """Return a configuration of about ``size`` bytes; variants of a version differ."""
    padding = "x" * (size // LARGE_ROUTES - LARGE_ROUTE_BYTES)
    routes = (
        route(f"/look{number}/{padding}/", "sales", timeout_s=1 + version / 100)
        for number in range(LARGE_ROUTES - variant)
    )
    return json.dumps(document(version, version - 1, route("/look/", "sales"), *routes)).encode()


async def test_the_largest_documents_stay_within_the_memory(tmp_path: Path) -> None:
    largest = ControlMemoryPlan(MEMORY_MEGABYTES * MEGABYTE).document_bytes
    fields = {"limits": {"memory_mb": MEMORY_MEGABYTES}}
    async with run_platform(tmp_path, "sales", fields=fields) as running:
        await running.put_until_accepted(document(1, 0))
        assert await running.put(large_document(2, 2 * largest)) == 413
        for version in range(2, 2 + LARGE_CHANGES):
            variants = [
                large_document(version, int(LARGE_FRACTION * largest), variant)
                for variant in range(IN_PROGRESS)
            ]
            assert max(map(len, variants)) <= largest
            await asyncio.gather(
                *(running.put(variant, number % 3) for number, variant in enumerate(variants))
            )
            await wait_until(lambda sent=variants, at=version: is_in_force(running, sent[0], at))
            if version == 3:
                running.controls[2].stop()
                running.controls[2].start(bootstrap=False, wipe=True)
        await wait_until_at(running, 1 + LARGE_CHANGES)
        for machine in running.controls:
            assert machine.process is not None
            assert machine.process.poll() is None
            assert peak_memory_bytes(machine.process.pid) <= MEMORY_MEGABYTES * MEGABYTE


async def is_in_force(running: FakePlatform, made: bytes, version: int) -> bool:
    """Return whether a version is in force, and send it once more if it isn't."""
    if max([await version_at(running, control) for control in range(3)]) >= version:
        return True
    await running.put(made, version % 3)
    return False


# Back ends were forgotten some 20 s after changes began to come faster than daemons report.
async def test_service_goes_on_while_changes_come_in_quick_succession(tmp_path: Path) -> None:
    async with run_platform(tmp_path, *["sales"] * 2) as running:
        await running.put_until_accepted(many_routes(1, 10))
        await wait_until(lambda: is_serving(running, 0))
        await wait_until(lambda: is_serving(running, 1))
        served = []
        end = time.monotonic() + SUCCESSION_SECONDS
        version = 1
        while time.monotonic() < end:
            version += 1
            await change(running, range(version, version + 1), count=10)
            served += [await is_serving(running, daemon) for daemon in (0, 1)]
            await asyncio.sleep(SUCCESSION_GAP_SECONDS)
        assert set(served) == {True}
