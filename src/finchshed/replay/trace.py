"""Trace format: arrivals, faults and operator actions as JSON lines.

The first line is a :class:`TraceHeader`; the other lines are arrivals, spans of load, and acts
(:mod:`finchshed.emulator.acts`), in any order. The format is documented for operators in
``docs/operations/replay-a-trace.md``.
"""

from pathlib import Path
from typing import Annotated, Final, TypeAlias

import msgspec

from finchshed.emulator import acts
from finchshed.emulator.acts import Act
from finchshed.emulator.callers import Arrival, ClientPolicy
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.presets import PRESETS
from finchshed.emulator.world import endpoints_of
from finchshed.replay.lines import Problems, decode_lines, read_lines, unknown_name_message

TRACE_VERSION: Final = 1

Seconds: TypeAlias = acts.Seconds


class TraceHeader(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag="trace",
):
    """First line of a trace.

    Attributes
    ----------
    deployment
        Name of a built-in deployment, or a complete definition.
    seed
        Seed of everything random: service times, jitter and generated arrivals.
    control_nodes
        Control nodes to emulate; 0 emulates a control plane that never fails.
    settle_seconds
        Time for which the replay continues after the last arrival or act.
    client
        Retry policy of the external clients.
    """

    version: int
    name: str
    deployment: str | Deployment
    description: str = ""
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    control_nodes: Annotated[int, msgspec.Meta(ge=0, le=7)] = 3
    settle_seconds: Seconds = 6.0
    retry_budget: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    client: ClientPolicy = ClientPolicy()


class TraceArrival(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag="arrival",
):
    """One root request of an external client.

    Attributes
    ----------
    root
        Name of the request, unique in the trace; outcomes refer to it.
    kind
        Kind of request, one of the deployment's.
    zone
        Zone of the edge that receives it.
    key
        Idempotency key of a non-repeatable request, any text. The ledger treats requests with equal
        keys as one request. If empty, a unique key is generated.
    """

    time: Seconds
    root: Annotated[str, msgspec.Meta(min_length=1)]
    kind: str
    zone: str
    caller: str = ""
    key: str = ""
    session: str = ""

    def arrival(self) -> Arrival:
        """Return the arrival for the emulator's callers."""
        return Arrival(
            time=self.time,
            root=self.root,
            kind=self.kind,
            zone=self.zone,
            caller=self.caller,
            key=self.key,
            session=self.session,
        )


class Load(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag="load",
):
    """Requests generated from the seed at ``factor`` times the deployment's usual rate.

    Overlapping loads add up.
    """

    time: Seconds
    seconds: Seconds
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=100.0)] = 1.0


TraceLine: TypeAlias = TraceArrival | Load | acts.Act

_header_decoder = msgspec.json.Decoder(TraceHeader)
_line_decoder: msgspec.json.Decoder[TraceLine] = msgspec.json.Decoder(TraceLine)
_encoder = msgspec.json.Encoder()


class Trace(msgspec.Struct, frozen=True):
    """A trace that was validated against its deployment."""

    header: TraceHeader
    deployment: Deployment
    arrivals: tuple[TraceArrival, ...] = ()
    loads: tuple[Load, ...] = ()
    acts: tuple[Act, ...] = ()

    @property
    def last_time(self) -> float:
        """Time of the last arrival, or of the end of the last load or act, seconds."""
        times = [arrival.time for arrival in self.arrivals]
        times += [load.time + load.seconds for load in self.loads]
        times += [act.time + getattr(act, "seconds", 0.0) for act in self.acts]
        return max(times, default=0.0)

    def lines(self) -> list[bytes]:
        """Return the trace as lines, events in order of time."""
        events: list[TraceLine] = [*self.arrivals, *self.loads, *self.acts]
        events.sort(key=lambda event: event.time)
        return [_encoder.encode(item) + b"\n" for item in (self.header, *events)]

    def write(self, path: Path) -> None:
        """Write the trace to a file."""
        path.write_bytes(b"".join(self.lines()))


def read_trace(path: Path) -> Trace:
    """Read and validate a trace.

    Raises
    ------
    SettingsError
        With one message for each problem, which names the file and the line.
    """
    (first, header_line), *rest = read_lines(path)
    problems = Problems(path)
    header = _decode_header(first, header_line, problems)
    problems.raise_any()
    assert header is not None
    deployment = _deployment_of(first, header, problems)
    problems.raise_any()
    assert deployment is not None
    names = _Names(deployment, header)
    arrivals: list[TraceArrival] = []
    loads: list[Load] = []
    found: list[acts.Act] = []
    roots: dict[str, int] = {}
    for number, event in decode_lines(rest, _line_decoder, problems):
        for problem in names.problems_of(event):
            problems.add(number, problem)
        if isinstance(event, TraceArrival):
            earlier = roots.setdefault(event.root, number)
            if earlier != number:
                problems.add(number, f"root = {event.root!r}: used before in line {earlier}")
            arrivals.append(event)
        elif isinstance(event, Load):
            loads.append(event)
        else:
            found.append(event)
    problems.raise_any()
    arrivals.sort(key=lambda arrival: arrival.time)
    return Trace(header, deployment, tuple(arrivals), tuple(loads), tuple(found))


def _decode_header(number: int, line: bytes, problems: Problems) -> TraceHeader | None:
    try:
        header = _header_decoder.decode(line)
    except msgspec.DecodeError as error:
        problems.add(number, f"header: {error}")
        return None
    if header.version != TRACE_VERSION:
        problems.add(number, f"version = {header.version}: this finchshed reads {TRACE_VERSION}")
    return header


def _deployment_of(number: int, header: TraceHeader, problems: Problems) -> Deployment | None:
    if isinstance(header.deployment, Deployment):
        return header.deployment
    deployment = PRESETS.get(header.deployment)
    if deployment is None:
        problems.add(number, unknown_name_message("deployment", header.deployment, list(PRESETS)))
    return deployment


class _Names:
    """Names that the events of a trace may refer to."""

    def __init__(self, deployment: Deployment, header: TraceHeader) -> None:
        self._kinds = [kind.name for kind in deployment.kinds]
        self._zones = list(deployment.zones)
        self._services = [service.name for service in deployment.services]
        self._endpoints = [
            name
            for service in deployment.services
            for name, _ in endpoints_of(deployment, service.name, service.back_ends)
        ]
        self._daemons = [*self._endpoints, *(f"edge-{zone}" for zone in deployment.zones)]
        control = [f"control-{number + 1}" for number in range(header.control_nodes)]
        self._control = [*control, "leader", "follower"] if control else []

    def problems_of(self, event: TraceLine) -> list[str]:
        """Return an error message for each undefined name in ``event``."""
        allowed = {
            "kind": self._kinds,
            "zone": self._zones,
            "service": self._services,
            "endpoint": self._endpoints,
            "node": self._nodes_for(event),
            "source": [*self._zones, *self._daemons, *self._control],
            "target": [*self._zones, *self._daemons, *self._control],
        }
        if isinstance(event, acts.Drain):
            allowed["sign"] = ["answer", "operator", "platform"]
        return [
            unknown_name_message(field, getattr(event, field), names)
            for field, names in allowed.items()
            if hasattr(event, field) and getattr(event, field) not in names
        ]

    def _nodes_for(self, event: TraceLine) -> list[str]:
        if isinstance(event, acts.CrashControl | acts.FreezeControl | acts.StopControl):
            return self._control
        if isinstance(event, acts.CrashDaemon | acts.FreezeDaemon):
            return self._daemons
        return [*self._daemons, *self._control]
