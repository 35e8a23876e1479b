"""Append-only JSON Lines records of the simulated processes.

Each record is one ``write`` to a file opened for appending, so records written before a process
is killed are complete. Times are seconds of the monotonic clock that all processes of a machine
share.
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
    """Event in the life of a backend or of a request it serves."""

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
    """One event at a backend.

    Attributes
    ----------
    call
        ID of the call that carried the request; a downstream call appends a suffix per hop.
    run
        ID of one execution of a request at this backend, or empty.
    draining_seconds
        Time since the backend began to drain, or -1 if it is not draining.
    service
        The backend's own service, or the called service for events of downstream calls.
    status, ran, reason, problem
        Result of a downstream call.
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
    """Outcome of a request as seen by its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptRecord(msgspec.Struct, frozen=True, omit_defaults=True, tag="attempt"):
    """One completed attempt of a request from an external caller.

    Attributes
    ----------
    ran
        Whether the request ran, according to the response: ``yes``, ``no`` or ``unknown``.
    edition
        Validator (ETag) of the download in the response.
    offset
        First requested byte of a download.
    problem
        Why the response is not the complete response to this request; empty if it is.
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
    """One completed request of a caller with its attempts."""

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
    """Appends records to a file, one JSON document per line."""

    def __init__(self, path: str | pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record: msgspec.Struct) -> None:
        """Append ``record`` as one line."""
        os.write(self._descriptor, _encoder.encode(record) + b"\n")


def read_records(path: pathlib.Path, record_type: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file, skipping a line truncated by a kill; none if it is missing."""
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
