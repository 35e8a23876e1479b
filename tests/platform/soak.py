"""Soak of real processes: seeded series of signals, restarts and changes that overlap.

``python -m tests.platform.soak --seeds 1-50`` plays seeds one after the other, each for some 20 s.
Clients keep using their open connections until the process is gone; a greedy one sends bursts, and
refused ones return when told. Back ends report slowdowns that change several times a second. Each
run is judged by what clients and back ends saw; exit code 1 if a seed failed.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from tests.platform.duplicating_backend import DuplicatingBackend, DuplicationPlan
from tests.platform.fake_backend import FakeBackend, working
from tests.platform.fake_platform import ZONES, Machine, document, route, run_platform, wait_until
from tests.platform.soak_broken import BrokenAnswers, hold_up_daemons, with_broken_answers
from tests.platform.soak_changes import MAX_CONTROL_BYTES, change_in_series, further_routes
from tests.platform.soak_checks import violations_of
from tests.platform.soak_configuration import (
    lose_disk_while_all_are_off,
    lose_disks,
    read_back_violations,
    read_densely,
)
from tests.platform.soak_downloads import FILE_PREFIX, download_files, with_downloads
from tests.platform.soak_load import PLAIN_KEY, TENANTS, play_load
from tests.platform.soak_state import NamedPeriod, Soak, freeze

WORK_SECONDS = 0.04
SOAK_SECONDS = 14.0
SETTLE_SECONDS = 20.0
SERIES = 5
"""Number of series of acts that run at the same time."""

SERVED = 200
ROUTES = (
    route("/look/", "sales"),
    route("/buy/", "sales", "unsafe"),
    route(FILE_PREFIX, "sales", "download", timeout_s=6),
)
MAX_BODY_BYTES = 8 << 20
LOSES_DISKS_CHANCE = 0.4
DOWNLOADS_CHANCE = 0.4
COPIES_CHANCE = 0.6
"""Chances of a seed that control machines lose their disks, that files are downloaded, and that
back ends turn requests away and send copies of their answers."""

CHANGES_CHANCE = 0.4
BROKEN_CHANCE = 0.6
"""Chances that a large configuration changes all the time, and that back ends send what is no whole
answer to daemons that are held up for moments."""

TURNED_AWAY_FRACTION = 0.1
COPIED_FRACTION = 0.06


def soak_document(version: int, base: int, *further: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with the tenants whose keys the clients send."""
    made = document(version, base, *ROUTES, *further)
    made["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    return {**made, "tenants": list(TENANTS)}


async def restart_machine(machine: Machine, number: signal.Signals) -> None:
    """End a process by a signal and start it again."""
    machine.signal(number)
    await asyncio.to_thread(machine.wait, 12.0)
    machine.start(bootstrap=False)


async def stop_daemon(soak: Soak, machine: Machine) -> None:
    """Stop a daemon in order, with further signals on the way, and start it again."""
    machine.signal(signal.SIGTERM)
    for number in (signal.SIGHUP, signal.SIGTERM):
        await asyncio.sleep(soak.rng.uniform(0.0, 1.5))
        assert machine.process is not None
        if machine.process.poll() is None:
            machine.signal(number)
    await asyncio.to_thread(machine.wait, 12.0)
    machine.start(bootstrap=False)


async def restart_daemon(soak: Soak) -> None:
    daemon = soak.rng.randrange(len(soak.running.daemons))
    number = soak.rng.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
    machine = soak.running.daemons[daemon]
    async with soak.lock(machine):
        soak.disturb(daemon)
        if number is signal.SIGTERM:
            await stop_daemon(soak, machine)
        else:
            await restart_machine(machine, number)
        soak.disturb(daemon)


async def freeze_daemon(soak: Soak) -> None:
    daemon = soak.rng.randrange(len(soak.running.daemons))
    await freeze(soak, daemon, soak.rng.uniform(0.2, 2.0))


async def reload_daemon(soak: Soak) -> None:
    machine = soak.rng.choice(soak.running.daemons)
    async with soak.lock(machine):
        machine.signal(signal.SIGHUP)


async def restart_control(soak: Soak) -> None:
    if soak.loses_disks:
        return  # only one machine may be lost at a time
    machine = soak.rng.choice(soak.running.controls)
    async with soak.lock(machine):
        await restart_machine(machine, signal.SIGKILL)


async def name_limit(soak: Soak) -> None:
    backend = soak.rng.choice(soak.running.backends)
    if "Server-Limit" in backend.answer_headers or not backend.is_running:
        return
    rate = soak.rng.choice((0.0, 0.7, 3.4, 8.0))
    period = NamedPeriod(backend, time.monotonic(), rate=rate)
    backend.answer_headers["Server-Limit"] = str(rate)
    soak.limits.append(period)
    await asyncio.sleep(soak.rng.uniform(3.0, 7.0))
    if period.is_over:
        return  # the run ended meanwhile, and a later one may name its own limit
    period.ended = time.monotonic()
    del backend.answer_headers["Server-Limit"]


def end_run(soak: Soak, backend: FakeBackend) -> None:
    """Record that what a run had named ends with it."""
    for period in (*soak.limits, *soak.leaves):
        if period.backend is backend:
            period.ended = min(period.ended, time.monotonic())


async def crash_backend(soak: Soak) -> None:
    backend = soak.rng.choice(soak.running.backends)
    backend.keeps_instance = soak.rng.random() < 0.7
    end_run(soak, backend)
    backend.crash(soak.rng.uniform(0.1, 1.0))


async def leave(soak: Soak) -> None:
    backend = soak.rng.choice(soak.running.backends)
    if "Server-Leaving" in backend.answer_headers or not backend.is_running:
        return
    period = NamedPeriod(backend, time.monotonic())
    soak.leaves.append(period)
    backend.answer_headers["Server-Leaving"] = "1"
    await asyncio.sleep(soak.rng.uniform(3.0, 5.0))
    if period.is_over:
        return  # it crashed meanwhile
    backend.keeps_instance = soak.rng.random() < 0.7
    end_run(soak, backend)
    backend.crash(soak.rng.uniform(0.1, 1.0))


async def change_configuration(soak: Soak) -> None:
    await put_configuration(soak, soak.rng.randint(1, 3), soak.rng.randrange(3))


async def put_configuration(soak: Soak, step: int, control: int) -> bool:
    """Send a configuration ``step`` versions on; return whether it was acknowledged."""
    base = soak.version
    soak.version += step
    version = soak.version
    further = further_routes(version) if soak.changes_in_series else []
    made = soak_document(version, base, *further)
    is_acknowledged = await soak.running.put(made, control) == SERVED
    if is_acknowledged:
        soak.acknowledged.append((time.monotonic(), version))
    return is_acknowledged


async def send_foreign_heartbeat(soak: Soak) -> None:
    backend = soak.rng.choice(soak.running.backends)
    body: dict[str, Any] | bytes = soak.rng.choice(
        [b"{", {"info": 1}, {**backend.next_heartbeat(), "status": {"state": "up", "sequence": 1}}]
    )
    await backend.post("heartbeat", body, soak.rng.choice(["i-foreign", backend.instance]))


ACTS: tuple[Callable[[Soak], Awaitable[None]], ...] = (
    restart_daemon,
    freeze_daemon,
    reload_daemon,
    restart_control,
    name_limit,
    name_limit,
    leave,
    crash_backend,
    change_configuration,
    send_foreign_heartbeat,
)


async def play_series(soak: Soak, end: float) -> None:
    """Play random acts one after the other until ``end``."""
    while time.monotonic() < end:
        await asyncio.sleep(soak.rng.uniform(0.05, 1.2))
        act = soak.rng.choice(ACTS)
        soak.acts[act.__name__] += 1
        await act(soak)


async def restart_ended(soak: Soak) -> None:
    """Start processes again that ended by themselves, as the platform does, until cancelled."""
    while True:
        await asyncio.sleep(0.3)
        for machine in (*soak.running.daemons, *soak.running.controls):
            if soak.lock(machine).locked() or machine.process is None:
                continue
            code = machine.process.poll()
            if code is not None:
                soak.ends[code] += 1
                machine.start(bootstrap=False)


async def wait_until_calm(soak: Soak) -> None:
    """Wait until each daemon serves reads by every back end's service again."""
    for backend in soak.running.backends:
        backend.answer_headers.clear()

    async def all_serve() -> bool:
        for daemon in range(len(soak.running.daemons)):
            if (
                await soak.running.send_request("/look/calm", daemon=daemon, key=PLAIN_KEY)
            ).status != 200:
                return False
        return True

    await wait_until(all_serve, SETTLE_SECONDS)


def control_series(soak: Soak, end: float, rng: random.Random) -> list[Coroutine[Any, Any, None]]:
    """Return the reads of the configuration, and in some seeds lost disks and downloads."""
    series = [read_densely(soak, end, rng)]
    soak.loses_disks = rng.random() < LOSES_DISKS_CHANCE
    if soak.loses_disks:
        series.append(lose_disks(soak, end, rng))
    if rng.random() < DOWNLOADS_CHANCE:
        series.append(download_files(soak, end, rng))
    soak.changes_in_series = rng.random() < CHANGES_CHANCE
    if soak.changes_in_series:
        put = partial(put_configuration, soak, 1)
        series.append(change_in_series(soak, put, end, rng))
    return series


def plan_copies(soak: Soak, rng: random.Random) -> None:
    """In some seeds, let back ends turn requests away and send copies of their answers."""
    if rng.random() >= COPIES_CHANCE:
        return
    soak.plan = DuplicationPlan(rng, TURNED_AWAY_FRACTION, COPIED_FRACTION)
    for backend in soak.running.backends:
        assert isinstance(backend, DuplicatingBackend)
        backend.plan = soak.plan


def end_copies(soak: Soak) -> None:
    """Let back ends answer each request once again."""
    for backend in soak.running.backends:
        assert isinstance(backend, DuplicatingBackend)
        backend.plan = None


async def play(seed: int, folder: Path) -> tuple[list[str], Soak]:
    """Play one seed; return what broke, and the run."""
    rng = random.Random(seed)
    count = rng.choice((3, 4, 6))
    zones = ZONES[: rng.choice((1, 3))]
    services = ["sales"] * count
    broken = BrokenAnswers(random.Random(f"broken {seed}"))
    has_broken = broken.rng.random() < BROKEN_CHANCE
    handler = with_broken_answers(with_downloads(working(WORK_SECONDS)), broken)
    async with run_platform(
        folder,
        *services,
        handlers={"sales": handler},
        zones=zones,
        fields={"limits": {"memory_mb": MAX_CONTROL_BYTES // 1_000_000}},
        make_backend=DuplicatingBackend,
    ) as running:
        soak = Soak(running, rng)
        await running.put_until_accepted(soak_document(3, 0))
        soak.acknowledged.append((time.monotonic(), 3))
        await wait_until_calm(soak)
        plan_copies(soak, random.Random(f"copies {seed}"))
        end = time.monotonic() + SOAK_SECONDS
        series = [play_series(soak, end) for _ in range(SERIES)]
        series += control_series(soak, end, random.Random(f"control {seed}"))
        if has_broken:
            broken.is_over = False
            series.append(hold_up_daemons(soak, end, broken.rng))
        supervision = asyncio.create_task(restart_ended(soak))
        await asyncio.gather(play_load(soak, end, random.Random(f"load {seed}")), *series)
        found = violations_of(soak)
        end_copies(soak)
        broken.is_over = True
        soak.broken_answers = broken.count
        try:
            await wait_until_calm(soak)
        except AssertionError:
            found.append(f"not every daemon serves {SETTLE_SECONDS} s after the end")
        found += await read_back_violations(soak)
        supervision.cancel()
        last = random.Random(f"last {seed}")
        await lose_disk_while_all_are_off(soak, partial(put_configuration, soak, 1), last)
        found += await read_back_violations(soak)
        # The interpreter itself ends by a reload signal before it has begun to run the program.
        found += [
            f"{count} processes ended by themselves, code {code}"
            for code, count in soak.ends.items()
            if code != -signal.SIGHUP
        ]
        return found, soak


def main() -> int:
    """Play the seeds that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed")
    parser.add_argument("--logs", default="", help="folder in which logs of failed seeds are kept")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.logs or None))
        found, soak = asyncio.run(play(seed, folder))
        statuses = Counter(request.status for request in soak.sent)
        print(
            f"seed {seed}: {len(soak.sent)} requests {dict(statuses)},"
            f" {len(soak.returned)} returns"
            f" ({sum(request.status == SERVED for request in soak.returned)} served),"
            f" {sum(soak.acts.values())} acts, {len(soak.limits)} limits,"
            f" {len(soak.leaves)} leaves, {len(soak.reads)} configuration reads,"
            f" {soak.lost_disks} lost disks,"
            f" acknowledged before the last kill: {soak.ended_with_acknowledgement},"
            f" {sum(download.is_whole for download in soak.downloads)} of"
            f" {len(soak.downloads)} downloads whole,"
            f" {0 if soak.plan is None else soak.plan.copies} copies,"
            f" {soak.broken_answers} broken answers, {len(soak.acknowledged)} changes,"
            f" ends {dict(soak.ends)}, {len(found)} violations",
            flush=True,
        )
        for violation in found[:10]:
            print(f"  {violation}", flush=True)
        failed += bool(found)
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
