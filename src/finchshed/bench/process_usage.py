"""Processor time of processes, and load of the machine, as the kernel counts them.

Processor time is read from ``/proc/PID/task/*/schedstat``, which counts nanoseconds; the ticks of
``/proc/PID/stat`` are 10 ms long, too coarse for a run of a few seconds (proc(5)).
"""

import os
import pathlib

import msgspec

NANOSECONDS = 1e-9


class MachineLoad(msgspec.Struct, frozen=True):
    """How busy the machine was.

    Attributes
    ----------
    busy_cores
        Mean number of cores busy during the run, with whatever else ran.
    load_average
        Mean run queue over one minute, at the end of the run.
    """

    cores: int
    busy_cores: float
    load_average: float


def processor_seconds(pid: int) -> float:
    """Return the processor time a process has used in all its threads, seconds."""
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((path / "schedstat").read_text().split()[0])
    return total * NANOSECONDS


class MachineMeter:
    """Measures the load of the machine from its creation on."""

    def __init__(self) -> None:
        self._busy, self._total = _ticks()

    def load(self) -> MachineLoad:
        """Return the load since the creation."""
        busy, total = _ticks()
        cores = os.cpu_count() or 1
        busy_fraction = (busy - self._busy) / max(1, total - self._total)
        return MachineLoad(cores, round(busy_fraction * cores, 2), round(os.getloadavg()[0], 2))


def _ticks() -> tuple[int, int]:
    fields = pathlib.Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    ticks = [int(field) for field in fields]
    idle = ticks[3] + ticks[4]
    return sum(ticks) - idle, sum(ticks)
