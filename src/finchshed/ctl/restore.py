"""Sub-command ``restore``: begin a control group anew, from a backup or a surviving disk.

Works on the files of the machine it runs on, while no control node runs there; it calls nobody.
"""

import random
import shlex
import socket
import time
from pathlib import Path

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError, SettingsError
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import (
    Member,
    MemberRole,
    Membership,
    decode_membership,
    encode_membership,
)
from finchshed.control.addresses import member_addresses, split_address
from finchshed.control.raft.recovery import REVISION_GAP, recovered_state
from finchshed.control.raft.storage import LOG_FOLDER, open_log_folder
from finchshed.control.settings import ControlSettings
from finchshed.control.state.machine import ControlStateMachine, StateSnapshot
from finchshed.ctl.exit_codes import CtlExitCode
from finchshed.ctl.output import print_result
from finchshed.settings.loader import load
from finchshed.storage.folder import DataFolder
from finchshed.storage.incarnation import INCARNATION_NAME
from finchshed.storage.log_store import DAMAGED_PREFIX, open_store
from finchshed.storage.records import EntryKind, Snapshot, StoredState, Vote, Write

CONNECT_SECONDS = 1.0


class RestoreView(msgspec.Struct, frozen=True):
    """Answer of ``restore``.

    Attributes
    ----------
    revision
        Last revision that is left.
    new_revision
        Revision the new group begins with.
    entry
        Last entry of the log that is left; 0 in a backup that was made of none.
    restored
        False: nothing was written, the loss wasn't accepted.
    """

    source: str
    revision: int
    new_revision: int
    entry: int
    resources: int
    ledger_keys: int
    restored: bool


class _Source(msgspec.Struct, frozen=True):
    """What is left of the old group."""

    text: str
    state: StateSnapshot
    index: int
    term: int
    addresses: dict[str, str]


def restore(source: str, *, settings: str, accept_loss_after: int = -1, json: bool = False) -> int:
    """Begin the control group anew from SOURCE, after its majority was lost for good.

    Run it on one machine, with its control node stopped and its data folder empty. Without
    --accept_loss_after it only says what would be lost (exit code 15). No other member of the old
    group may answer. The new group has one voter; start it, then put the others in with
    replace-member, each with an empty data folder.

    Parameters
    ----------
    source
        File written by ``backup``, or the data folder of a member of the old group.
    settings
        Settings file of the control node that begins the new group.
    accept_loss_after
        The last revision that is left, as printed by a run without this flag: says that all
        changes accepted after it may be lost.
    json
        Print one JSON line.
    """
    configured = load(ControlSettings, settings, {}).value
    found = _read(Path(source))
    _require_silence(configured, found)
    state = recovered_state(found.state, found.index, time.time(), found.text)
    is_accepted = accept_loss_after == found.state.store.revision
    view = RestoreView(
        source=source,
        revision=found.state.store.revision,
        new_revision=state.store.revision,
        entry=found.index,
        resources=len(state.store.resources),
        ledger_keys=len(state.ledger.entries),
        restored=is_accepted,
    )
    if accept_loss_after >= 0 and not is_accepted:
        raise SettingsError(
            [
                f"flag --accept_loss_after = {accept_loss_after}: "
                f"allowed is {view.revision}, the last revision that is left"
            ]
        )
    if is_accepted:
        _write(configured, found, state)
    print_result(view, _lines(view, settings), as_json=json)
    return ExitCode.OK if is_accepted else CtlExitCode.LOSS_NOT_ACCEPTED


def _read(path: Path) -> _Source:
    if path.is_dir():
        return _read_folder(path)
    try:
        data = path.read_bytes()
        state = msgspec.json.decode(data, type=StateSnapshot)
    except OSError as error:
        raise SettingsError([f"source = {str(path)!r}: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise SettingsError([f"source = {str(path)!r}: no backup: {error}"]) from error
    return _Source(f"backup {path.name}", state, state.index, 1, {})


def _read_folder(path: Path) -> _Source:
    folder_path = path / LOG_FOLDER if (path / LOG_FOLDER).is_dir() else path
    if not (folder_path / INCARNATION_NAME).exists():
        raise SettingsError([f"source = {str(path)!r}: allowed is a folder that holds a log"])
    folder = DataFolder(folder_path)
    try:
        stored = open_store(folder, random.Random()).stored
    finally:
        folder.close()
    if stored.snapshot is None and not stored.entries:
        raise SettingsError([f"source = {str(path)!r}: allowed is a folder whose log has entries"])
    return _replay(str(path), stored)


def _replay(text: str, stored: StoredState) -> _Source:
    """Apply every entry that is left: one that wasn't committed was refused to nobody."""
    machine = ControlStateMachine()
    membership = Membership()
    index = 0
    if stored.snapshot is not None:
        machine.restore(stored.snapshot.data)
        membership = decode_membership(stored.snapshot.membership)
        index = stored.snapshot.index
    for entry in stored.entries:
        index = entry.index
        if entry.kind is EntryKind.COMMAND:
            machine.apply(entry.index, entry.data)
        elif entry.kind is EntryKind.MEMBERSHIP:
            membership = decode_membership(entry.data)
    state = msgspec.json.decode(machine.snapshot(), type=StateSnapshot)
    addresses = {member.identity.name: member.address for member in membership.members}
    return _Source(f"disk {text}", state, index, max(1, stored.vote.term), addresses)


def _require_silence(configured: ControlSettings, found: _Source) -> None:
    """Refuse while a member of the old group answers: two groups would serve."""
    addresses = {**member_addresses(configured.voters), **found.addresses}
    answering = [
        f"{name} at {address}" for name, address in sorted(addresses.items()) if _answers(address)
    ]
    if answering:
        raise FinchshedError(
            f"still answering: {', '.join(answering)}. Is the majority really lost? "
            "If it is, stop these nodes for good first; nothing was written"
        )


def _answers(address: str) -> bool:
    host, port = split_address(address)
    try:
        socket.create_connection((host, port), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True


def _write(configured: ControlSettings, found: _Source, state: StateSnapshot) -> None:
    folder = open_log_folder(configured.data_folder)
    try:
        if [name for name in folder.names() if not name.startswith(DAMAGED_PREFIX)]:
            raise SettingsError(
                [f"data_folder = {configured.data_folder!r}: allowed is a folder without a log"]
            )
        opened = open_store(folder, random.Random())
        identity = NodeIdentity(configured.node, opened.stored.incarnation)
        address = configured.raft_advertised_address or configured.raft_address
        membership = Membership().with_member(Member(identity, address, MemberRole.VOTER))
        snapshot = Snapshot(
            index=found.index,
            term=found.term,
            membership=encode_membership(membership),
            data=msgspec.json.encode(state),
        )
        opened.store.write([Write(vote=Vote(found.term), snapshot=snapshot)])
    finally:
        folder.close()


def _lines(view: RestoreView, settings: str) -> list[str]:
    left = (
        f"left in {view.source}: revision {view.revision}, entry {view.entry} of the log, "
        f"{view.resources} resources, {view.ledger_keys} ledger keys"
    )
    if view.restored:
        return [
            left,
            f"restored as revision {view.new_revision}; start this node, then put the others in "
            "with replace-member",
        ]
    source = shlex.quote(view.source)
    return [
        left,
        f"may be lost: every change accepted after revision {view.revision}, and every begin and "
        f"answer the ledger took after entry {view.entry}",
        f"the revision goes on from {view.new_revision} ({REVISION_GAP} are left out); requests "
        "whose key was made before now get 'outcome unknown' unless their answer is left",
        "nothing was written; to accept this loss:",
        f"  finchshed ctl restore {source} --settings={shlex.quote(settings)} "
        f"--accept_loss_after={view.revision}",
    ]
