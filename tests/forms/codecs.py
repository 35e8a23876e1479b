"""How today's code reads and writes each form that others hold or send.

The one place that names what is imported of the product, with ``names.py`` for names of settings,
metrics and commands. When something is moved or renamed, the imports and calls here follow; the
files under ``samples`` and what is compared stay as they are.
"""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, cast

import msgspec

from finchshed.configuration.resources import Policy
from finchshed.consensus.membership import Membership, decode_membership, encode_membership
from finchshed.consensus.messages import Envelope
from finchshed.control.daemons.platform_list import ListedInstance as Instance
from finchshed.control.daemons.platform_list import decode_instances
from finchshed.control.operators.configuration_document import ConfigurationDocument
from finchshed.control.raft.node_messages import PeerMessage as ControlPeerMessage
from finchshed.control.raft.storage import open_durable_state, open_log_folder
from finchshed.control.state.audit import AuditEntry
from finchshed.control.state.commands import CommandResult, LogEntry, decode_entry, encode_entry
from finchshed.control.state.machine import ControlStateMachine, StateSnapshot
from finchshed.daemon.ingress.responses import OutcomeBody
from finchshed.distribution.effects import FollowerRecord
from finchshed.distribution.messages import ControlToDaemon, DaemonToControl
from finchshed.distribution.record import RecordFile
from finchshed.link.encoding import encode_line
from finchshed.link.lines import LineProtocol
from finchshed.link.messages import PeerMessage
from finchshed.observability.decisions import (
    BackendEnded,
    CallEnded,
    ExtraAnswer,
    RequestEnded,
    ReturnTold,
    StateChanged,
)
from finchshed.observability.log_stream import LinesDropped, LogStream
from finchshed.observability.ring import DumpHeader, LogRecord
from finchshed.storage.framing import scan
from finchshed.storage.incarnation import DiskIncarnation
from finchshed.storage.journal import encode_records
from finchshed.storage.records import Entry, JournalRecord, Snapshot, Vote, Write
from finchshed.storage.snapshots import SnapshotHeader
from finchshed_platform.documents import DocumentBody, read_document
from finchshed_platform.heartbeats import HeartbeatBody
from finchshed_platform.node_file import NodeFile

LogEvent = (
    RequestEnded | ReturnTold | CallEnded | BackendEnded | ExtraAnswer | StateChanged | LinesDropped
)


class Form(NamedTuple):
    """A form: the type it is read into, and how a line of it is read and written."""

    type: Any
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]


class Wire:
    """Stands for the transport of a link and keeps what is sent."""

    def __init__(self) -> None:
        self.sent = b""
        self.is_aborted = False

    def set_write_buffer_limits(self, high: int) -> None:
        """Take the limit."""

    def get_extra_info(self, name: str) -> None:
        """Know nothing of the peer."""

    def is_closing(self) -> bool:
        """Return whether the link gave the connection up."""
        return self.is_aborted

    def write(self, data: bytes) -> None:
        """Keep what is sent."""
        self.sent += data

    def abort(self) -> None:
        """Close."""
        self.is_aborted = True


def open_link(
    received: Any, on_message: Callable[[Any, Any], None]
) -> tuple[LineProtocol[Any], Wire]:
    """Return one end of a link that takes ``received``, and its wire."""
    link: LineProtocol[Any] = LineProtocol(received, on_message)
    wire = Wire()
    link.connection_made(cast(asyncio.Transport, wire))
    return link, wire


def _of_link(received: Any) -> Form:
    def read(line: bytes) -> Any:
        messages: list[Any] = []
        link, wire = open_link(received, lambda _link, message: messages.append(message))
        link.data_received(line)
        assert not wire.is_aborted, line
        (message,) = messages
        return message

    return Form(received, read, encode_line)


def _of_json(value_type: Any) -> Form:
    decoder = msgspec.json.Decoder(value_type)
    return Form(
        value_type,
        decoder.decode,
        lambda value: msgspec.json.encode(value) + b"\n",
    )


def _of_journal() -> Form:
    decoder = msgspec.json.Decoder(JournalRecord)

    def read(line: bytes) -> Any:
        (record,) = scan(line).records
        return decoder.decode(record)

    return Form(JournalRecord, read, lambda record: encode_records([record]))


def _of_log_stream() -> Form:
    decoder = msgspec.json.Decoder(LogEvent)

    def write(event: Any) -> bytes:
        written: list[bytes] = []

        def take(data: bytes) -> int:
            written.append(data)
            return len(data)

        stream = LogStream(take, lambda: 0.0)
        stream.offer(event, is_failure=True)
        stream.flush()
        return b"".join(written)

    return Form(LogEvent, decoder.decode, write)


FORMS: dict[str, Form] = {
    "daemon_link": _of_link(PeerMessage),
    "daemon_to_control": _of_link(DaemonToControl),
    "control_to_daemon": _of_link(ControlToDaemon),
    "control_link": _of_link(ControlPeerMessage),
    "replicated_log_message": _of_json(Envelope),
    "journal": _of_journal(),
    "snapshot_header": _of_json(SnapshotHeader),
    "incarnation": _of_json(DiskIncarnation),
    "membership": Form(
        Membership, decode_membership, lambda value: encode_membership(value) + b"\n"
    ),
    "log_entry": Form(LogEntry, decode_entry, lambda value: encode_entry(value) + b"\n"),
    "command_result": _of_json(CommandResult),
    "state": _of_json(StateSnapshot),
    "audit_entry": _of_json(AuditEntry),
    "daemon_record": _of_json(FollowerRecord),
    "log_stream": _of_log_stream(),
    "ring_header": _of_json(DumpHeader),
    "ring_record": _of_json(LogRecord),
    "platform_list": Form(
        tuple[Instance, ...],
        lambda data: decode_instances(data).instances,
        lambda value: msgspec.json.encode(value) + b"\n",
    ),
    "outcome_body": _of_json(OutcomeBody),
    "node_file": _of_json(NodeFile),
    "platform_document": _of_json(DocumentBody),
    "platform_heartbeat": _of_json(HeartbeatBody),
}


def document_as_typed(source: bytes) -> bytes:
    """Return, as JSON, what the platform's document in ``source`` is taken for."""
    document: ConfigurationDocument = read_document(source, Policy())
    return msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n"


MEMBERSHIP = (
    b'{"members":[{"identity":{"name":"one","incarnation":"0123456789abcdef"},'
    b'"address":"10.0.0.1:7600","role":"voter","zone":"a"}]}'
)
"""Membership in the snapshot of the sample data folder."""


def write_control_folder(folder: Path, first: list[bytes], later: list[bytes]) -> None:
    """Write a control node's data folder: a snapshot after ``first``, ``later`` in the journal."""
    log = open_log_folder(str(folder))
    store = open_durable_state(log, random.Random(7)).store
    entries = tuple(Entry(index, 3, data=data) for index, data in enumerate(first, 1))
    store.write([Write(Vote(3, "one#0123456789abcdef"), None, entries)])
    machine = ControlStateMachine()
    for index, data in enumerate(first, 1):
        machine.apply(index, data)
    snapshot = Snapshot(len(first), 3, MEMBERSHIP, machine.snapshot())
    store.write([Write(Vote(3, "one#0123456789abcdef"), snapshot=snapshot)])
    start = len(first) + 1
    store.write([Write(None, None, (Entry(start, 3, data=b"to be replaced"),))])
    entries = tuple(Entry(index, 4, data=data) for index, data in enumerate(later, start))
    store.write([Write(Vote(4, "two#fedcba9876543210"), start, entries)])
    log.close()


def read_control_folder(folder: Path) -> bytes:
    """Return, as lines, what a control node finds in its data folder, with the state it reaches."""
    log = open_log_folder(str(folder))
    stored = open_durable_state(log, random.Random(8)).stored
    log.close()
    assert stored.snapshot is not None
    machine = ControlStateMachine()
    machine.restore(stored.snapshot.data)
    for entry in stored.entries:
        machine.apply(entry.index, entry.data)
    found = [
        stored.incarnation.encode(),
        msgspec.json.encode(stored.vote),
        encode_membership(decode_membership(stored.snapshot.membership)),
        *(msgspec.json.encode(entry) for entry in stored.entries),
        machine.snapshot(),
    ]
    return b"".join(line + b"\n" for line in found)


def copy_daemon_folder(source: Path, target: Path) -> None:
    """Read the record in a daemon's data folder and write it to another."""
    record = RecordFile(source).read()
    assert record is not None
    copy = RecordFile(target)
    assert copy.read() is None
    copy.write(record)


def write_daemon_folder(folder: Path, record: bytes) -> None:
    """Write a daemon's data folder with the record in the line ``record``."""
    file = RecordFile(folder)
    assert file.read() is None
    file.write(FORMS["daemon_record"].read(record))


def compressed_link(lines: list[bytes]) -> bytes:
    """Return the bytes of a link: the first line, then the others compressed."""
    link, wire = open_link(PeerMessage, lambda _link, _message: None)
    first, *others = [FORMS["daemon_link"].read(line) for line in lines]
    link.send(first)
    link.start_compressing()
    for message in others:
        link.send(message)
    return wire.sent


def lines_of_compressed_link(data: bytes) -> list[bytes]:
    """Return the lines that a link takes from its bytes, compressed behind the first line."""
    lines: list[bytes] = []

    def take(link: LineProtocol[Any], message: Any) -> None:
        lines.append(encode_line(message))
        if len(lines) == 1:
            link.start_decompressing()

    link, wire = open_link(PeerMessage, take)
    link.data_received(data)
    assert not wire.is_aborted
    return lines
