"""Sub-command ``restore``: starts a new control group from a backup or a surviving disk.

It works on local files while no control node runs on the machine. On the network it only checks
that no member of the old group is reachable.
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
    """Result of ``restore``.

    Attributes
    ----------
    revision
        Last surviving revision.
    new_revision
        First revision of the new group.
    entry
        Index of the last surviving log entry; 0 for a backup of an empty log.
    restored
        False if nothing was written because the loss wasn't accepted.
    """

    source: str
    revision: int
    new_revision: int
    entry: int
    resources: int
    ledger_keys: int
    restored: bool


class _RecoverySource(msgspec.Struct, frozen=True):
    """Surviving state of the old group."""

    text: str
    state: StateSnapshot
    index: int
    term: int
    addresses: dict[str, str]


def restore(source: str, *, settings: str, accept_loss_after: int = -1, json: bool = False) -> int:
    """Start a new control group from SOURCE, after the majority was lost permanently.

    Run it on one machine, with its control node stopped and its data folder empty. Without
    --accept_loss_after it only shows what would be lost (exit code 15). No other member of the old
    group may be reachable. The new group has one voter; start it, then add the others with
    replace-member, each with an empty data folder.

    Parameters
    ----------
    source
        File written by ``backup``, or the data folder of a member of the old group.
    settings
        Settings file of the first control node of the new group.
    accept_loss_after
        Last surviving revision, as printed by a run without this flag. Accepts the loss of all
        changes accepted after it.
    json
        Print the result as one JSON line.
    """
    control_settings = load(ControlSettings, settings, {}).value
    recovered = _read_source(Path(source))
    _require_old_group_stopped(control_settings, recovered)
    state = recovered_state(recovered.state, recovered.index, time.time(), recovered.text)
    is_accepted = accept_loss_after == recovered.state.store.revision
    view = RestoreView(
        source=source,
        revision=recovered.state.store.revision,
        new_revision=state.store.revision,
        entry=recovered.index,
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
        _write_new_group(control_settings, recovered, state)
    print_result(view, _report_lines(view, settings), as_json=json)
    return ExitCode.OK if is_accepted else CtlExitCode.LOSS_NOT_ACCEPTED


def _read_source(path: Path) -> _RecoverySource:
    if path.is_dir():
        return _read_folder(path)
    try:
        data = path.read_bytes()
        state = msgspec.json.decode(data, type=StateSnapshot)
    except OSError as error:
        raise SettingsError([f"source = {str(path)!r}: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise SettingsError([f"source = {str(path)!r}: no backup: {error}"]) from error
    return _RecoverySource(f"backup {path.name}", state, state.index, 1, {})


def _read_folder(path: Path) -> _RecoverySource:
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


def _replay(text: str, stored: StoredState) -> _RecoverySource:
    """Apply all surviving log entries.

    This includes uncommitted entries, since no sender was told that they failed.
    """
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
    return _RecoverySource(f"disk {text}", state, index, max(1, stored.vote.term), addresses)


def _require_old_group_stopped(
    control_settings: ControlSettings, recovered: _RecoverySource
) -> None:
    """Raise if a member of the old group is reachable, since two groups would be active."""
    addresses = {**member_addresses(control_settings.voters), **recovered.addresses}
    reachable = [
        f"{name} at {address}"
        for name, address in sorted(addresses.items())
        if _is_reachable(address)
    ]
    if reachable:
        raise FinchshedError(
            f"still answering: {', '.join(reachable)}. Is the majority really lost? "
            "If it is, stop these nodes for good first; nothing was written"
        )


def _is_reachable(address: str) -> bool:
    host, port = split_address(address)
    try:
        socket.create_connection((host, port), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True


def _write_new_group(
    control_settings: ControlSettings, recovered: _RecoverySource, state: StateSnapshot
) -> None:
    folder = open_log_folder(control_settings.data_folder)
    try:
        if [name for name in folder.names() if not name.startswith(DAMAGED_PREFIX)]:
            raise SettingsError(
                [
                    f"data_folder = {control_settings.data_folder!r}: "
                    "allowed is a folder without a log"
                ]
            )
        opened = open_store(folder, random.Random())
        identity = NodeIdentity(control_settings.node, opened.stored.incarnation)
        address = control_settings.raft_advertised_address or control_settings.raft_address
        membership = Membership().with_member(Member(identity, address, MemberRole.VOTER))
        snapshot = Snapshot(
            index=recovered.index,
            term=recovered.term,
            membership=encode_membership(membership),
            data=msgspec.json.encode(state),
        )
        opened.store.write([Write(vote=Vote(recovered.term), snapshot=snapshot)])
    finally:
        folder.close()


def _report_lines(view: RestoreView, settings: str) -> list[str]:
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
