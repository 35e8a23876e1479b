"""``finchshed bench log``: what the replicated log costs a control node.

Measured are the sync of a group of entries, the leader's processor time for them, the memory an
entry takes, and the time a node needs to come back after a number of changes. Each series has four
points or more, and a linear fit with its residual.
"""

import itertools
import random
import shutil
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import msgspec

from finchshed.bench.consensus_group import SERVICES, LeaderMeter, first_change, later_changes
from finchshed.bench.consensus_restart import RestartPoint, measure_restart
from finchshed.bench.linear_fit import Fit, fit
from finchshed.bench.process_usage import MachineLoad, MachineMeter
from finchshed.cli.exit_codes import ExitCode
from finchshed.consensus.log import RaftLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.storage.folder import DataFolder
from finchshed.storage.log_store import open_store
from finchshed.storage.records import Entry, Write

BATCH_SIZES = (1, 4, 16, 64, 256, 1024)
"""Entries that share one write."""

MEMORY_SIZES = (1_000, 2_000, 4_000, 8_000, 16_000)
"""Entries held."""

ENDPOINT_COUNTS = (0, 250, 500, 1_100, 2_200)
"""Endpoints declared: none to twice the design size (docs/CAPACITY.md)."""

RESTART_SIZES = (500, 2_000, 8_000, 32_000)
"""Changes made before a restart; snapshots are taken from the third on."""

REPEATS = 40
"""Times each point is measured; the median counts."""

RESTARTS = 3
"""As REPEATS, of restarts, which take longer."""

_MICROSECONDS = 1e6


class LogPoint(msgspec.Struct, frozen=True, tag="point"):
    """One measured value of a series: ``value`` at the size ``at``."""

    quantity: str
    at: int
    value: float


class LogConditions(msgspec.Struct, frozen=True, tag="conditions"):
    """How busy the machine was during the run, and the size of one entry."""

    load: MachineLoad
    entry_bytes: int


def measure_log(out: str = "log.jsonl", folder: str = "", changes: str = "") -> int:
    """Measure, print a summary and write points and fits as JSON lines.

    Parameters
    ----------
    out
        File of results; it is replaced.
    folder
        Where files are written, a folder on the disk to be measured; empty: the working folder.
    changes
        Numbers of changes to restart after, joined by commas; empty: 500 to 32,000.
    """
    meter = MachineMeter()
    sizes = [int(size) for size in str(changes).split(",") if size] or list(RESTART_SIZES)
    work = Path(tempfile.mkdtemp(prefix="bench-log-", dir=folder or "."))
    lines: list[msgspec.Struct] = []
    try:
        lines.extend(_shown(sync_seconds(work)))
        lines.extend(_shown(leader_microseconds()))
        lines.extend(_shown(memory_bytes()))
        lines.extend(_shown(apply_microseconds()))
        for with_snapshots in (False, True):
            lines.extend(_shown(restart_seconds(work, sizes, with_snapshots)))
    finally:
        shutil.rmtree(work)
    entry_bytes = len(next(later_changes(1)))
    lines.append(LogConditions(meter.load(), entry_bytes))
    encoder = msgspec.json.Encoder()
    Path(out).write_bytes(b"".join(encoder.encode(line) + b"\n" for line in lines))
    print(encoder.encode(lines[-1]).decode())
    return ExitCode.OK


def sync_seconds(work: Path) -> list[msgspec.Struct]:
    """Time of one write with its sync, by the entries that share it."""
    points = []
    folder = DataFolder(work / "sync")
    try:
        store = open_store(folder, random.Random(1)).store
        numbers = itertools.count(1)
        for size in BATCH_SIZES:
            data = list(later_changes(size))
            taken = []
            for _ in range(REPEATS):
                entries = tuple(Entry(next(numbers), 1, data=item) for item in data)
                began = time.perf_counter()
                store.write([Write(entries=entries)])
                taken.append(time.perf_counter() - began)
            points.append(LogPoint("sync_seconds", size, statistics.median(taken)))
    finally:
        folder.close()
    return _with_fit(points)


def leader_microseconds() -> list[msgspec.Struct]:
    """Processor time of a leader of three for a group of entries, with encoding of its lines."""
    points = []
    for size in BATCH_SIZES:
        meter = LeaderMeter()
        taken = [meter.seconds_for(list(later_changes(size))) for _ in range(REPEATS)]
        points.append(
            LogPoint("leader_microseconds", size, statistics.median(taken) * _MICROSECONDS)
        )
    return _with_fit(points)


def memory_bytes() -> list[msgspec.Struct]:
    """Memory of the entries a node holds."""
    points = []
    for size in MEMORY_SIZES:
        tracemalloc.start()
        log = RaftLog(None, [])
        for index, data in enumerate(later_changes(size), start=1):
            log.append(Entry(index, 1, data=data))
        held, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del log
        points.append(LogPoint("memory_bytes", size, float(held)))
    return _with_fit(points)


def apply_microseconds() -> list[msgspec.Struct]:
    """Processor time of one change of the configuration, by the resources declared."""
    points = []
    for endpoints in ENDPOINT_COUNTS:
        machine = ControlStateMachine()
        machine.apply(1, first_change(endpoints))
        taken = []
        for index, data in enumerate(later_changes(REPEATS), start=2):
            began = time.thread_time()
            machine.apply(index, data)
            taken.append(time.thread_time() - began)
        value = statistics.median(taken) * _MICROSECONDS
        points.append(LogPoint("apply_microseconds", SERVICES + endpoints, value))
    return _with_fit(points)


def restart_seconds(work: Path, sizes: Sequence[int], with_snapshots: bool) -> list[msgspec.Struct]:
    """Time from an existing folder to the whole state, by the number of changes made before."""
    name = "restart_seconds_with_snapshots" if with_snapshots else "restart_seconds_without"
    lines: list[msgspec.Struct] = []
    points = []
    for size in sizes:
        place = work / f"{name}-{size}"
        measured = measure_restart(place, size, with_snapshots, RESTARTS)
        shutil.rmtree(place)
        lines.append(measured)
        points.append(LogPoint(name, size, measured.seconds))
    return [*lines, *_with_fit(points)]


def _with_fit(points: Sequence[LogPoint]) -> list[msgspec.Struct]:
    at = [float(point.at) for point in points]
    terms: Mapping[str, Sequence[float]] = {"constant": [1.0] * len(at), "each": at}
    lines: list[msgspec.Struct] = list(points)
    if len(points) > len(terms):
        lines.append(fit(points[0].quantity, terms, [point.value for point in points]))
    return lines


def _shown(lines: Iterable[msgspec.Struct]) -> list[msgspec.Struct]:
    shown = list(lines)
    for line in shown:
        print(_text_of(line), flush=True)
    return shown


def _text_of(line: msgspec.Struct) -> str:
    if isinstance(line, LogPoint):
        return f"{line.quantity} at {line.at}: {line.value:.6g}"
    if isinstance(line, RestartPoint):
        return (
            f"restart after {line.changes}: {line.seconds:.3f} s, journal "
            f"{line.journal_bytes:,} bytes, {line.replayed} entries replayed"
        )
    if isinstance(line, Fit):
        parts = " + ".join(
            f"{item.value:.6g} (±{item.standard_error:.2g}) {item.name}"
            for item in line.coefficients
        )
        return f"{line.quantity} = {parts}; R² {line.explained:.4f}, rms {line.residual_rms:.3g}"
    return msgspec.json.encode(line).decode()
