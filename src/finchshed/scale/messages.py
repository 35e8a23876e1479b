"""Messages between the runner of a scale run and the processes with hollow daemons (JSON lines)."""

from typing import TypeAlias

import msgspec


class HollowSpec(msgspec.Struct, frozen=True):
    """One hollow daemon; ``address`` is where it listens for links of other daemons."""

    name: str
    service: str
    address: str


class WorkerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process with hollow daemons is told at its start; all stand in one zone."""

    name: str
    region: str
    zone: str
    runner_address: str
    control_addresses: tuple[str, ...]
    daemons: tuple[HollowSpec, ...]
    peer_links: int
    seed: int


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """First line of a worker."""

    worker: str


class DaemonReport(msgspec.Struct, frozen=True):
    """What one hollow daemon did since the last report. Times are of the monotonic clock.

    Attributes
    ----------
    in_force
        Revision and time of each configuration that came into force.
    started_at, serving_at
        When it was last started, and when it then could take calls; 0.0 if it can't yet.
    control
        Address of the control node in use; empty if none.
    bytes_received, bytes_sent
        On connections to control, since its last start.
    peer_fetches
        Times it asked another daemon for a configuration.
    """

    name: str
    in_force: tuple[tuple[int, float], ...]
    revision: int
    is_running: bool
    started_at: float
    serving_at: float
    control: str
    connections: int
    bytes_received: int
    bytes_sent: int
    peer_fetches: int


class WorkerReport(msgspec.Struct, frozen=True, tag="report"):
    """Answer to :class:`Collect`."""

    worker: str
    number: int
    daemons: tuple[DaemonReport, ...]


class StartDaemons(msgspec.Struct, frozen=True, tag="start"):
    """Start these hollow daemons, if they don't run."""

    names: tuple[str, ...]


class RestartDaemons(msgspec.Struct, frozen=True, tag="restart"):
    """End these hollow daemons without notice and start them with nothing in hand."""

    names: tuple[str, ...]


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    """Let nothing pass, in silence, from and to hosts whose addresses begin like this."""

    prefixes: tuple[str, ...]


class Collect(msgspec.Struct, frozen=True, tag="collect"):
    """Ask for a report."""

    number: int


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """End the process."""


WorkerToRunner: TypeAlias = Ready | WorkerReport
RunnerToWorker: TypeAlias = StartDaemons | RestartDaemons | Cut | Collect | Stop
