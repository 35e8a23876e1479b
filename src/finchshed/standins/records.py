"""Append-only records of what stand-ins did, as JSON lines.

Each line is one ``write`` to a file opened for appending, so a record written before a process is
killed is whole and stays. Times are seconds of the machine's monotonic clock, which all processes
of one machine share.
"""

import enum
import os
import pathlib
import time
from collections.abc import Iterator
from typing import TypeVar

import msgspec

RecordT = TypeVar("RecordT", bound=msgspec.Struct)

_encoder = msgspec.json.Encoder()


class BackendEvent(enum.StrEnum):
    """What happened to a request at a back end."""

    ARRIVED = "arrived"
    REFUSED = "refused"
    STARTED = "started"
    FINISHED = "finished"
    ABORTED = "aborted"
    FAILED = "failed"
    CALL_BEGAN = "call_began"
    CALL_ENDED = "call_ended"
    DRAINING = "draining"


class BackendRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event at a back end.

    Attributes
    ----------
    call
        Name of the call that brought the request; a call made on its behalf appends a part for
        each hop.
    run
        Names one run of a request at this back end, or is empty.
    draining_seconds
        How long the back end had been leaving, or -1 when it wasn't.
    service
        The back end's own, or the one called on.
    status, ran, reason, problem
        Of a call that a run makes on to another service: how it ended.
    """

    at: float
    backend: str
    event: BackendEvent
    call: str = ""
    run: str = ""
    root: str = ""
    key: str = ""
    account: str = ""
    path: str = ""
    importance: str = ""
    draining_seconds: float = -1.0
    detail: str = ""
    service: str = ""
    status: int = 0
    ran: str = ""
    reason: str = ""
    problem: str = ""


class CallerOutcome(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptRecord(msgspec.Struct, frozen=True, omit_defaults=True, tag="attempt"):
    """One attempt of an outside caller's request, written when it has ended.

    Attributes
    ----------
    ran
        What the answer said: ``yes``, ``no`` or ``unknown``.
    edition
        Validator (ETag) of the part or whole of a download that was answered.
    offset
        First byte of a download that was asked for.
    problem
        Why an answer was not the whole answer to this request; empty if it was.
    """

    call: str
    edge: str
    begun: float
    ended: float
    outcome: CallerOutcome
    ran: str
    status: int = 0
    reason: str = ""
    retry_after: float = 0.0
    root: str = ""
    digest: str = ""
    edition: str = ""
    offset: int = 0
    problem: str = ""


class CallerRecord(msgspec.Struct, frozen=True, omit_defaults=True, tag="request"):
    """One request of a caller with its attempts, written when it has ended."""

    request: str
    load: str
    phase: str
    service: str
    caller: str
    begun: float
    ended: float
    outcome: CallerOutcome
    attempts: tuple[AttemptRecord, ...]
    path: str = ""
    key: str = ""
    session: str = ""
    problem: str = ""


class RecordWriter:
    """Appends records to a file."""

    def __init__(self, path: str | pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record: msgspec.Struct) -> None:
        """Append ``record`` as one line."""
        os.write(self._descriptor, _encoder.encode(record) + b"\n")


def read_records(path: pathlib.Path, record_type: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file; a last line cut short by a kill is left out."""
    decoder = msgspec.json.Decoder(record_type)
    if not path.exists():
        return
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)


def monotonic() -> float:
    """Return the machine's monotonic time in seconds."""
    return time.monotonic()
