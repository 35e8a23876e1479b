"""Planned stops of daemons under mixed work, judged by what clients and back ends saw.

``python -m tests.platform.stop_series --seeds 1-50`` plays seeds one after the other; exit code 1
if a seed failed. Clients use new and kept connections, and keep using open ones until the process
is gone. Some back ends run a request and never answer it. Signals and restarts come in series that
overlap, on several machines.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from aiohttp import web

from tests.platform.fake_backend import OUTBOUND_PORT, FakeBackend, echo
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    Machine,
    route,
    run_platform,
    wait_until_known,
)

GRACE_SECONDS = 6.0
LATE_SECONDS = 3.0
"""A request sent later than this after the SIGTERM has no excuse, whatever its work."""

LAST_PART_SECONDS = GRACE_SECONDS / 6
"""An earlier one may be cut if its back end was at work in this last part of the grace time."""

MARGIN_SECONDS = 0.05
"""Differences of time between the clients' and the daemon's view that aren't judged."""

CALM_SECONDS = 2.0
MAX_WAIT_SECONDS = 0.3
"""Longest pause before a new connection."""

SETTLE_SECONDS = 1.0
DEADLINE_MS = 6_000
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request hasn't run."""

SLOTS = 256
POLL_SECONDS = 0.05


@dataclass(frozen=True)
class Kind:
    """One kind of request; times in seconds, sizes in bytes.

    ``max_pause`` is how long a kept connection is idle at the longest.
    """

    prefix: str
    method: str
    is_kept: bool
    timeout: float
    max_work: float
    answer_bytes: int
    repeatable: str = "safe"
    max_pause: float = 0.3


KINDS = (
    Kind("/read/", "GET", False, 6.0, 1.2, 1_500),
    Kind("/issue/", "POST", True, 0.8, 0.4, 1_500, "unsafe"),
    Kind("/load/", "GET", True, 1.2, 0.3, 400_000, "download"),
    Kind("/tide/", "GET", False, 0.5, 0.1, 400),
    Kind("/rare/", "GET", True, 6.0, 1.2, 1_500, max_pause=5.0),
)
SILENT = "silent"
"""Last part of the path of a request whose answer the back end loses."""


@dataclass(frozen=True)
class Plan:
    """What a run plays.

    Attributes
    ----------
    clients
        Clients of each kind and stopped machine.
    silent
        Fraction of the requests whose answer is lost.
    signals
        Further signals after the first SIGTERM, with the pause before each, seconds.
    stopped
        Machines that are stopped, one each ``gap`` seconds.
    restarts
        Whether a machine that has stopped is started again.
    """

    clients: int = 6
    silent: float = 0.0
    signals: tuple[tuple[float, signal.Signals], ...] = ()
    stopped: int = 2
    gap: float = 0.0
    restarts: bool = False


@dataclass
class Sent:
    """A request of a client; times are monotonic."""

    identity: str
    kind: Kind
    is_silent: bool
    at: float
    ended_at: float = 0.0
    status: int | None = None
    """Status of the whole answer, None if the connection ended without one."""


@dataclass
class Run:
    """A request at a back end; ``ended_at`` is None while it is at work. Times are monotonic."""

    began_at: float
    ended_at: float | None = None


@dataclass
class Clients:
    """Clients of one machine."""

    machine: Machine
    number: int
    plan: Plan
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    is_over: bool = False

    async def run(self, kind: Kind) -> None:
        """Send requests of one kind, one after the other."""
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_WAIT_SECONDS))
            try:
                reader, writer = await asyncio.open_connection(self.machine.ip, OUTBOUND_PORT)
            except OSError:
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use(kind, reader, writer)
            writer.transport.abort()

    async def _use(
        self, kind: Kind, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_over = await self._ask(kind, reader, writer)
        while not is_over and kind.is_kept and not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, kind.max_pause))
            is_over = await self._ask(kind, reader, writer)

    async def _ask(
        self, kind: Kind, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request; return whether its connection is used no longer."""
        is_silent = self.rng.random() < self.plan.silent
        work = self.rng.uniform(0.0, kind.max_work)
        identity = f"{self.number:04x}{len(self.sent):012x}"
        sent = Sent(identity, kind, is_silent, time.monotonic())
        self.sent.append(sent)
        target = f"{kind.prefix}{work:.3f}/{kind.answer_bytes}" + f"/{SILENT}" * is_silent
        lines = [
            f"{kind.method} {target} HTTP/1.1",
            "Host: sales.example",
            f"Request-Id: {identity}",
            f"Deadline-Ms: {DEADLINE_MS}",
            "Content-Length: 4\r\n\r\nbody" if kind.method == "POST" else "\r\n",
        ]
        try:
            writer.write("\r\n".join(lines).encode())
            async with asyncio.timeout(DEADLINE_MS / 1000):
                headers = await read_answer(reader, sent)
                return headers.get("connection") == "close"
        except TimeoutError:
            return True
        finally:
            sent.ended_at = time.monotonic()


class HasStatus(Protocol):
    """A request whose answer is read."""

    status: int | None


async def read_answer(reader: asyncio.StreamReader, sent: HasStatus) -> dict[str, str]:
    """Read a whole answer and note its status; return its headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.lower().split(": ", 1) for line in head[1:] if line)
    headers = {name: value for name, value in pairs}
    await reader.readexactly(int(headers["content-length"]))
    sent.status = int(head[0].split()[1])
    return headers


class Work:
    """Handler of the back ends; records when each request was at work."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = {}

    async def __call__(self, backend: FakeBackend, request: web.Request) -> web.Response:
        """Answer after the time that the path names, with a body of the size that it names."""
        parts = request.path.split("/")
        if request.path == "/look/early" or len(parts) < 4:
            return await echo(backend, request)
        run = Run(time.monotonic())
        self.runs.setdefault(request.headers["Request-Id"], []).append(run)
        try:
            await asyncio.sleep(float(parts[2]))
        finally:
            run.ended_at = time.monotonic()
        if parts[-1] == SILENT:
            await _until_closed(request)
        return web.Response(body=bytes(int(parts[3])))


async def _until_closed(request: web.Request) -> None:
    for _ in range(int(2 * DEADLINE_MS / 1000 / POLL_SECONDS)):
        if request.transport is None:
            return
        await asyncio.sleep(POLL_SECONDS)


def routes() -> list[dict[str, object]]:
    """Return the routes of all kinds."""
    listed = [
        route(kind.prefix, "ledger", kind.repeatable, timeout_s=kind.timeout, max_attempts=2)
        for kind in KINDS
    ]
    return [*listed, route("/look/", "ledger")]


class Stop:
    """The stop of one machine, with the signals that follow the first."""

    def __init__(self, running: FakePlatform, machine: Machine, plan: Plan) -> None:
        self.machine = machine
        self.at = 0.0
        self.took = 0.0
        self.exit_code: int | None = None
        self._running = running
        self._plan = plan

    async def play(self) -> None:
        """Stop the machine and wait until its process is gone."""
        self.at = time.monotonic()
        self.machine.signal(signal.SIGTERM)
        further = asyncio.create_task(self._send_further())
        self.exit_code = await asyncio.to_thread(self.machine.wait, 2 * GRACE_SECONDS)
        self.took = time.monotonic() - self.at
        further.cancel()
        if self._plan.restarts:
            self.machine.start(bootstrap=False)

    async def _send_further(self) -> None:
        for pause, number in self._plan.signals:
            await asyncio.sleep(pause)
            process = self.machine.process
            if process is not None and process.poll() is None:
                self.machine.signal(number)


def violation_of(request: Sent, runs: list[Run], stop: Stop) -> str | None:
    """Return how a request that its machine took was lost, or None."""
    after = request.at - stop.at
    seconds = request.ended_at - request.at
    ends = [run.ended_at or request.ended_at for run in runs]
    text = (
        f"{request.identity} {request.kind.prefix} silent={request.is_silent} sent {after:+.2f} s, "
        f"ended {request.ended_at - stop.at:+.2f} s of the SIGTERM to {stop.machine.ip}, its work "
        f"ended {[round(end - stop.at, 2) for end in ends]}, status {request.status}"
    )
    if not runs:
        return None
    if request.status in PROMISES:
        return f"promised that it hasn't run: {text}"
    allowed = min(request.kind.timeout, DEADLINE_MS / 1000) - MARGIN_SECONDS
    if request.status is not None or seconds >= allowed:
        return None
    last_part = stop.at + GRACE_SECONDS - LAST_PART_SECONDS
    if after <= LATE_SECONDS and max(ends) >= last_part - MARGIN_SECONDS:
        return None
    return f"cut: {text}"


@dataclass
class Result:
    """What a run showed.

    Attributes
    ----------
    outlasting
        Requests that a silent back end ran, with time left when the process ended.
    """

    violations: list[str]
    sent: list[Sent]
    outlasting: list[Sent]


async def play(plan: Plan, seed: int, folder: Path) -> Result:
    """Play a run with real processes."""
    rng = random.Random(seed)
    work = Work()
    async with run_platform(
        folder,
        *("sales",) * plan.stopped,
        *("ledger", "ledger"),
        handlers={"ledger": work},
        zones=ZONES,
        bounds={"grace_s": GRACE_SECONDS},
    ) as running:
        for backend in running.backends:
            backend.slots = SLOTS
        await wait_until_known(running, *routes())
        groups = [
            Clients(machine, number, plan, rng)
            for number, machine in enumerate(running.daemons[: plan.stopped], 1)
        ]
        sending = [
            asyncio.create_task(group.run(kind))
            for group in groups
            for kind in KINDS
            for _ in range(plan.clients)
        ]
        await asyncio.sleep(CALM_SECONDS + rng.uniform(0.0, SETTLE_SECONDS))
        stops = [Stop(running, group.machine, plan) for group in groups]
        await asyncio.gather(
            *(_after(number * plan.gap, stop.play) for number, stop in enumerate(stops))
        )
        await asyncio.sleep(SETTLE_SECONDS)
        for group in groups:
            group.is_over = True
        await asyncio.gather(*sending)
    return _result(groups, stops, work)


async def _after(seconds: float, act: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(seconds)
    await act()


def _result(groups: list[Clients], stops: list[Stop], work: Work) -> Result:
    violations = []
    outlasting = []
    for group, stop in zip(groups, stops, strict=True):
        if stop.exit_code != 0:
            violations.append(f"{stop.machine.ip} ended with {stop.exit_code}")
        if stop.took > GRACE_SECONDS:
            violations.append(f"{stop.machine.ip} took {stop.took:.2f} s to end")
        for request in group.sent:
            runs = work.runs.get(request.identity, [])
            found = violation_of(request, runs, stop)
            if found is not None:
                violations.append(found)
            is_earlier = request.at < stop.at + stop.took < request.at + request.kind.timeout
            if request.is_silent and runs and is_earlier:
                outlasting.append(request)
    return Result(violations, [request for group in groups for request in group.sent], outlasting)


def plan_of(seed: int) -> Plan:
    """Draw what the run of a seed plays."""
    rng = random.Random(seed)
    signals: list[tuple[float, signal.Signals]] = []
    if rng.random() < 0.5:
        numbers = rng.choices((signal.SIGTERM, signal.SIGHUP), k=rng.randint(1, 4))
        signals = [(rng.uniform(0.1, 1.5), number) for number in numbers]
    return Plan(
        clients=rng.randint(3, 9),
        silent=rng.choice((0.0, 0.02, 0.05, 0.1)),
        signals=tuple(signals),
        stopped=rng.randint(1, 3),
        gap=rng.choice((0.0, 0.3, 1.3)),
        restarts=rng.random() < 0.5,
    )


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first and last seed, as 1-50")
    parser.add_argument("--plan", default="", help="one plan for all seeds: calm, again or silent")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        plan = NAMED_PLANS.get(options.plan) or plan_of(seed)
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(play(plan, seed, Path(folder)))
        failed += bool(result.violations)
        cut = sum(request.status is None for request in result.sent)
        print(f"seed {seed}: {len(result.sent)} requests, {cut} without an answer, {plan}")
        for violation in result.violations:
            print(f"  {violation}")
        sys.stdout.flush()
    print(f"{failed} seeds failed")
    return 1 if failed else 0


NAMED_PLANS = {
    "calm": Plan(),
    "again": Plan(signals=((0.9, signal.SIGTERM), (0.5, signal.SIGHUP))),
    "silent": Plan(silent=0.1),
}

if __name__ == "__main__":
    sys.exit(main())
