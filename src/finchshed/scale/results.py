"""Results of a scale run: JSON lines, first the run and its machine, then one line a phase."""

import os
import platform
import time
from typing import TypeAlias

import msgspec

from finchshed import __version__
from finchshed.scale.calls import CallResults
from finchshed.scale.in_force import InForceTimes, Quantiles
from finchshed.scale.layout import ScaleSize
from finchshed.scale.usage import Usage

BYTES_PER_GIBIBYTE = 1 << 30


class RunInfo(msgspec.Struct, frozen=True, kw_only=True, tag="run"):
    """What was run, when, and on which machine."""

    version: str
    started_utc: str
    processor: str
    cores: int
    memory_gibibytes: float
    python: str
    system: str
    load_average: float
    size: ScaleSize
    seed: int
    processes: int


class ControlTraffic(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes a second of hollow daemons on their connections to control, both ways."""

    mean_bytes_per_second: float
    p99_bytes_per_second: float
    most_bytes_per_second: float


class PhaseResult(msgspec.Struct, kw_only=True, tag="phase"):
    """What was measured in one phase.

    Attributes
    ----------
    seconds
        Length, until the last change was in force.
    accepted, unavailable
        Changes accepted, and times no quorum answered.
    submitted_to_accepted
        Time the operator waited for each accepted change.
    in_force
        From accepted to in force at the daemons in reach.
    cut_off
        The same for daemons that are cut off from control and not from each other, where the
        phase has such.
    start_to_serving
        Time from the start of daemons (re)started in the phase until calls could be taken.
    recovered_seconds
        Time from the end of the fault until every daemon had the last change in force.
    served_unconfirmed
        Daemons without a disk that were restarted while cut off from control and took calls
        before it was in reach again; must be 0.
    reverted
        Times a configuration in force went back within one life of a daemon; must be 0.
    usage
        By role: processor share and memory per process.
    hollow_core_share, hollow_resident_bytes
        Of each hollow daemon: those of its process over its daemons.
    peer_fetches
        Times hollow daemons asked each other for a configuration.
    busy_share
        Share of all cores of the machine in use, by anyone.
    """

    name: str
    seconds: float
    daemons_in_reach: int
    accepted: int
    unavailable: int
    submitted_to_accepted: Quantiles
    in_force: InForceTimes
    cut_off: InForceTimes | None = None
    start_to_serving: Quantiles
    recovered_seconds: float | None = None
    reverted: int
    served_unconfirmed: int = 0
    usage: dict[str, Usage]
    hollow_core_share: float
    hollow_resident_bytes: float
    traffic: ControlTraffic
    peer_fetches: int
    calls: CallResults
    busy_share: float
    load_average: float
    faults: tuple[str, ...] = ()


Line: TypeAlias = RunInfo | PhaseResult


def run_info(size: ScaleSize, seed: int, processes: int) -> RunInfo:
    """Describe a run that starts now, and this machine without its name."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return RunInfo(
        version=__version__,
        started_utc=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        processor=platform.machine(),
        cores=os.cpu_count() or 0,
        memory_gibibytes=round(memory / BYTES_PER_GIBIBYTE, 1),
        python=platform.python_version(),
        system=platform.system(),
        load_average=os.getloadavg()[0],
        size=size,
        seed=seed,
        processes=processes,
    )


def table_of(phases: list[PhaseResult]) -> str:
    """Return a table of phases for people."""
    head = (
        f"{'phase':<22}{'changes':>8}{'median s':>9}{'p99 s':>8}{'worst s':>8}{'missing':>8}"
        f"{'start s':>8}{'recov s':>8}{'B/s':>8}{'daemon%':>8}{'leader%':>8}{'busy%':>7}"
    )
    return "\n".join([head, *(_row(phase) for phase in phases)])


def _row(phase: PhaseResult) -> str:
    each = phase.in_force.each
    leader = phase.usage.get("control-leader")
    recovered = "-" if phase.recovered_seconds is None else f"{phase.recovered_seconds:.2f}"
    return (
        f"{phase.name:<22}{phase.accepted:>8}{each.median:>9.3f}{each.p99:>8.3f}"
        f"{each.worst:>8.3f}{phase.in_force.missing:>8}{phase.start_to_serving.worst:>8.2f}"
        f"{recovered:>8}{phase.traffic.mean_bytes_per_second:>8.0f}"
        f"{100 * phase.hollow_core_share:>8.2f}"
        f"{100 * leader.mean_core_share if leader else 0.0:>8.1f}{100 * phase.busy_share:>7.0f}"
    )
