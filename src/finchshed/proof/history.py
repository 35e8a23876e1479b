"""Schema of recorded histories.

A history is a file of JSON lines: one :class:`Header`, then events in the order of their time.
The emulator and a fleet of real processes write the same schema, so the same checkers judge both.

Times are seconds since the start of the history, on one clock (the emulator's, or the monotonic
clock of the one machine a fleet runs on).

Calls are named by whoever makes them: an outside caller's attempt or a back end's call on to
another service. The name travels in the request header :data:`HEADER_CALL`, which daemons pass on
like any other header of the caller, so a back end can write it into its record of runs.
"""

import enum
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final, TypeAlias

import msgspec
import xxhash

from finchshed.common.errors import FinchshedError
from finchshed.common.importance import Importance

SCHEMA_VERSION: Final = 1

HEADER_CALL: Final = "proof-call"
"""Request header in which callers of a proof name their call."""

HEADER_ANSWER_ROOT: Final = "proof-root"
"""Answer header in which a back end of a proof repeats the request's root identity."""

HEADER_ANSWER_DIGEST: Final = "proof-digest"
"""Answer header with xxh3-64 (hexadecimal) of the body the back end meant to send."""


class HistoryError(FinchshedError):
    """A history can't be read. The message names the line."""


class CallResult(enum.StrEnum):
    """What a caller was told."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"
    """The caller gave up before it was told anything."""


class RunResult(enum.StrEnum):
    """How a run at a back end ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


class Header(msgspec.Struct, frozen=True, omit_defaults=True, tag="header"):
    """First line of a history.

    Attributes
    ----------
    source
        ``emulator`` or ``fleet``.
    retry_budget
        Spare attempts that one root request has over its whole call graph.
    leaving_bound_seconds
        Time after the first sign within which a leaving back end must stop receiving work.
    in_force_bound_seconds
        Time within which an accepted change must be in force at every reachable daemon.
    """

    schema: int
    source: str
    scenario: str
    seed: int
    version: str
    retry_budget: int = 3
    leaving_bound_seconds: float = 2.0
    in_force_bound_seconds: float = 4.0


class CallBegan(msgspec.Struct, frozen=True, omit_defaults=True, tag="call_began"):
    """A caller sent a request.

    ``parent`` is the run that makes the call, or empty for an outside caller. ``kind`` names the
    kind of request, for the report by class.
    """

    time: float
    call: str
    root: str
    service: str
    importance: Importance
    kind: str = ""
    caller: str = ""
    parent: str = ""
    key: str = ""
    session: str = ""


class CallEnded(msgspec.Struct, frozen=True, omit_defaults=True, tag="call_ended"):
    """A caller was told the outcome, or gave up.

    For an answer, ``status`` is the HTTP status, ``answer_root`` the root identity found in the
    answer, and ``whole`` says whether the body's length and digest were as its back end sent it.
    """

    time: float
    call: str
    result: CallResult
    reason: str = ""
    status: int = 0
    answer_root: str = ""
    whole: bool = True
    answer_digest: str = ""
    retry_after: float = 0.0


class AttemptSent(msgspec.Struct, frozen=True, tag="attempt_sent"):
    """A daemon sent an attempt of a call to an endpoint."""

    time: float
    call: str
    root: str
    endpoint: str


class RunBegan(msgspec.Struct, frozen=True, omit_defaults=True, tag="run_began"):
    """A back end began to run a request (its own record)."""

    time: float
    run: str
    call: str
    root: str
    service: str
    endpoint: str
    key: str = ""
    session: str = ""


class RunEnded(msgspec.Struct, frozen=True, tag="run_ended"):
    """A back end's run ended."""

    time: float
    run: str
    result: RunResult


class Admission(msgspec.Struct, frozen=True, omit_defaults=True, tag="admission"):
    """A daemon decided on a request: admitted to run, or shed for overload.

    ``endpoint`` is empty where a caller's daemon shed the request before sending it.
    """

    time: float
    endpoint: str
    service: str
    root: str
    importance: Importance
    admitted: bool
    in_session: bool = False


class EndpointLeaving(msgspec.Struct, frozen=True, tag="endpoint_leaving"):
    """First sign that an endpoint leaves. ``sign`` says which: answer, operator, platform, stop."""

    time: float
    endpoint: str
    sign: str


class EndpointReturned(msgspec.Struct, frozen=True, tag="endpoint_returned"):
    """An endpoint takes work again."""

    time: float
    endpoint: str


class PlannedStop(msgspec.Struct, frozen=True, tag="planned_stop"):
    """A process was asked to stop (SIGTERM). ``endpoint`` is the back end it is or serves."""

    time: float
    node: str
    endpoint: str = ""


class Fault(msgspec.Struct, frozen=True, omit_defaults=True, tag="fault"):
    """A fault was injected: began, or ended when ``ended``.

    ``targets`` are names of nodes, endpoints or zones. ``detail`` is the whole act as JSON, where
    the source of the history records it.
    """

    time: float
    fault: str
    targets: tuple[str, ...] = ()
    ended: bool = False
    detail: str = ""


class ChangeSubmitted(msgspec.Struct, frozen=True, tag="change_submitted"):
    """An operator's client sent a change."""

    time: float
    change_id: str
    operator: str
    expected_revision: int


class ChangeAnswered(msgspec.Struct, frozen=True, omit_defaults=True, tag="change_answered"):
    """An operator was told the result: ``accepted``, ``conflict``, ``invalid`` or ``unknown``."""

    time: float
    change_id: str
    result: str
    revision: int = 0
    digest: str = ""


class NodeStarted(msgspec.Struct, frozen=True, tag="node_started"):
    """A daemon process started."""

    time: float
    node: str


class NodeStopped(msgspec.Struct, frozen=True, tag="node_stopped"):
    """A daemon process is gone or frozen, for whatever reason."""

    time: float
    node: str


class RevisionInForce(msgspec.Struct, frozen=True, omit_defaults=True, tag="revision_in_force"):
    """A daemon acts on ``revision``. ``digest`` is that of the whole configuration, if known."""

    time: float
    node: str
    revision: int
    digest: str = ""


class ControlReachable(msgspec.Struct, frozen=True, tag="control_reachable"):
    """Whether a daemon can reach a majority of the control nodes, from now on."""

    time: float
    node: str
    reachable: bool


Event: TypeAlias = (
    CallBegan
    | CallEnded
    | AttemptSent
    | RunBegan
    | RunEnded
    | Admission
    | EndpointLeaving
    | EndpointReturned
    | PlannedStop
    | Fault
    | ChangeSubmitted
    | ChangeAnswered
    | NodeStarted
    | NodeStopped
    | RevisionInForce
    | ControlReachable
)

_encoder = msgspec.json.Encoder()
_header_decoder = msgspec.json.Decoder(Header)
_event_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class History(msgspec.Struct):
    """A whole history in memory."""

    header: Header
    events: list[Event]

    def lines(self) -> Iterator[bytes]:
        """Yield the history's JSON lines, each with its line feed."""
        yield _encoder.encode(self.header) + b"\n"
        for event in self.events:
            yield _encoder.encode(event) + b"\n"

    def digest(self) -> str:
        """Return xxh3-64 of the JSON lines, hexadecimal."""
        digest = xxhash.xxh3_64()
        for line in self.lines():
            digest.update(line)
        return str(digest.hexdigest())

    def write(self, path: Path) -> None:
        """Write the history to ``path``."""
        with path.open("wb") as file:
            file.writelines(self.lines())


def read(path: Path) -> History:
    """Read a history.

    Raises
    ------
    HistoryError
        If a line is malformed, or the schema's version is another.
    """
    with path.open("rb") as file:
        return parse(file, str(path))


def parse(lines: Iterable[bytes], name: str) -> History:
    """Parse JSON lines; ``name`` stands in error messages. Sorts events by time (stably)."""
    header: Header | None = None
    events: list[Event] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            if header is None:
                header = _header_decoder.decode(line)
            else:
                events.append(_event_decoder.decode(line))
        except msgspec.DecodeError as error:
            raise HistoryError(f"{name}:{number}: {error}") from error
    if header is None:
        raise HistoryError(f"{name}: no header")
    if header.schema != SCHEMA_VERSION:
        raise HistoryError(f"{name}: schema {header.schema}, this version reads {SCHEMA_VERSION}")
    events.sort(key=lambda event: event.time)
    return History(header, events)


def encode_event(event: Event | Header) -> bytes:
    """Return one event or header as a JSON line, for writers that append as they go."""
    return _encoder.encode(event) + b"\n"
