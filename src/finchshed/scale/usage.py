"""Processor time and memory of processes, and load of the machine, from /proc (proc(5))."""

import os
import pathlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

PROC = pathlib.Path("/proc")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
USER_COLUMN = 11
SYSTEM_COLUMN = 12
IDLE_COLUMNS = (3, 4)
"""Columns of the first line of /proc/stat that count idle time: idle and iowait."""


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Processor seconds used since the start, and memory in bytes."""

    processor_seconds: float
    resident_bytes: int


@dataclass(frozen=True, slots=True)
class MachineSample:
    """Processor seconds of all cores, in use and in sum."""

    busy_seconds: float
    total_seconds: float


class Usage(msgspec.Struct, frozen=True):
    """What the processes of one role used over a stretch of time.

    Attributes
    ----------
    processes
        Processes that lived through the whole stretch.
    mean_core_share, most_core_share
        Processor time over time, per process; 1.0 is one core.
    mean_resident_bytes, most_resident_bytes
        Memory per process at the end.
    """

    processes: int
    mean_core_share: float
    most_core_share: float
    mean_resident_bytes: float
    most_resident_bytes: int


def sample_process(pid: int) -> ProcessSample | None:
    """Return a sample of a process, or None if it is gone."""
    try:
        stat = (PROC / str(pid) / "stat").read_text()
        pages = int((PROC / str(pid) / "statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    columns = stat.rpartition(")")[2].split()
    ticks = int(columns[USER_COLUMN]) + int(columns[SYSTEM_COLUMN])
    return ProcessSample(ticks / TICKS_PER_SECOND, pages * os.sysconf("SC_PAGE_SIZE"))


def sample_machine() -> MachineSample:
    """Return a sample of the whole machine."""
    with (PROC / "stat").open() as file:
        columns = [int(word) for word in file.readline().split()[1:9]]
    idle = sum(columns[number] for number in IDLE_COLUMNS)
    total = sum(columns)
    return MachineSample((total - idle) / TICKS_PER_SECOND, total / TICKS_PER_SECOND)


def sample_all(pids: Iterable[int]) -> dict[int, ProcessSample]:
    """Return samples of the processes that exist, by process identity."""
    samples = ((pid, sample_process(pid)) for pid in pids)
    return {pid: sample for pid, sample in samples if sample is not None}


def usage_between(
    before: Mapping[int, ProcessSample], after: Mapping[int, ProcessSample], seconds: float
) -> Usage:
    """Return what the processes in both samples used in ``seconds``."""
    pids = sorted(before.keys() & after.keys())
    if not pids:
        return Usage(0, 0.0, 0.0, 0.0, 0)
    shares = [
        (after[pid].processor_seconds - before[pid].processor_seconds) / seconds for pid in pids
    ]
    resident = [after[pid].resident_bytes for pid in pids]
    return Usage(
        processes=len(pids),
        mean_core_share=sum(shares) / len(pids),
        most_core_share=max(shares),
        mean_resident_bytes=sum(resident) / len(pids),
        most_resident_bytes=max(resident),
    )


def busy_share(before: MachineSample, after: MachineSample) -> float:
    """Return the share of all cores that was in use between two samples."""
    total = after.total_seconds - before.total_seconds
    return (after.busy_seconds - before.busy_seconds) / total if total > 0.0 else 0.0
