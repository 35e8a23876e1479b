"""Sub-commands for the control group itself: replace-member, backup, dump."""

import hashlib
import os
import time
from pathlib import Path
from typing import cast

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import ControlUnavailableError, SettingsError
from finchshed.control.state.machine import StateSnapshot
from finchshed.ctl.client import OperatorClient
from finchshed.ctl.connection import DEFAULT_TIMEOUT_SECONDS, connect
from finchshed.ctl.output import print_error, print_result
from finchshed.rpc.generated import finchshed_pb2 as pb

STEP_PAUSE_SECONDS = 0.5
"""Pause between looks at a replacement that goes on. Chosen, not measured."""


class BackupView(msgspec.Struct, frozen=True):
    """Answer of ``backup``."""

    file: str
    revision: int
    index: int
    size_bytes: int
    sha256: str


class ReplaceMemberView(msgspec.Struct, frozen=True):
    """Answer of ``replace-member``."""

    done: bool
    step: str


class DumpView(msgspec.Struct, frozen=True):
    """Answer of ``dump``."""

    destinations: tuple[str, ...]


def replace_member(
    *,
    remove: str = "",
    add: str = "",
    standby: bool = False,
    control: str = "",
    token_file: str = "",
    timeout: float = 120.0,
    json: bool = False,
) -> int:
    """Put a control node in the place of another, and wait until it is done.

    The new node joins as a learner, is made a voter once it has caught up, and only then the old
    one is taken out. Safe to run again at any time: it goes on where it stopped.

    Parameters
    ----------
    remove
        Member to take out; empty: none.
    add
        Member to put in, running already; empty: none. It may have the name of a member whose
        disk was lost.
    standby
        Keep the member put in as a standby that doesn't vote.
    control
        Addresses of control nodes for operators, a.b.c.d:port,...; or FINCHSHED_CONTROL.
    token_file
        File with the operator's token; or FINCHSHED_TOKEN, FINCHSHED_TOKEN_FILE.
    timeout
        Longest time to wait, seconds.
    json
        Print one JSON line.
    """
    if not remove and not add:
        raise SettingsError(["flag --add, --remove: missing, one of them is needed"])
    client = connect(control, token_file, min(timeout, DEFAULT_TIMEOUT_SECONDS))
    request = pb.ReplaceMemberRequest(remove=remove, add=add, standby=standby)
    step = _wait_until_replaced(client, request, timeout, says_steps=not json)
    print_result(ReplaceMemberView(done=True, step=step), ["done"], as_json=json)
    return ExitCode.OK


def backup(
    file: str,
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Write a snapshot of the whole state to FILE, synced, not over an existing file.

    Parameters
    ----------
    file
        File to write.
    control
        Addresses of control nodes for operators, a.b.c.d:port,...; or FINCHSHED_CONTROL.
    token_file
        File with the operator's token; or FINCHSHED_TOKEN, FINCHSHED_TOKEN_FILE.
    timeout
        Longest time for the request over all control nodes, seconds.
    json
        Print one JSON line.
    """
    path = Path(file)
    if path.exists():
        raise SettingsError([f"file = {file!r}: exists already, allowed is a new file"])
    client = connect(control, token_file, timeout)
    pieces = client.stream("Backup", pb.BackupRequest())
    data = b"".join(cast(pb.BackupPiece, piece).data for piece in pieces)
    state = msgspec.json.decode(data, type=StateSnapshot)
    _write_synced(path, data)
    digest = hashlib.sha256(data).hexdigest()
    view = BackupView(str(path), state.store.revision, state.index, len(data), digest)
    text = f"revision {view.revision}, {view.size_bytes} bytes, sha256 {digest}"
    print_result(view, [text], as_json=json)
    return ExitCode.OK


def dump(
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Have every control node write out its ring of log records.

    Parameters
    ----------
    control
        Addresses of control nodes for operators, a.b.c.d:port,...; or FINCHSHED_CONTROL.
    token_file
        File with the operator's token; or FINCHSHED_TOKEN, FINCHSHED_TOKEN_FILE.
    timeout
        Longest time for the request over all control nodes, seconds.
    json
        Print one JSON line.
    """
    client = connect(control, token_file, timeout)
    said = client.call_each("Dump", pb.DumpRequest())
    for error in said.errors:
        print_error(error)
    destinations = [
        f"{address}: {cast(pb.DumpResponse, answer).destination}"
        for address, answer in said.answers
    ]
    print_result(DumpView(tuple(destinations)), destinations, as_json=json)
    return ExitCode.OK if destinations else ExitCode.UNAVAILABLE


def _wait_until_replaced(
    client: OperatorClient, request: pb.ReplaceMemberRequest, timeout: float, *, says_steps: bool
) -> str:
    """Ask for each next step until none is left; return the text of the last one.

    Raises
    ------
    ControlUnavailableError
        It isn't finished after ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    step = ""
    while True:
        answer = cast(pb.ReplaceMemberResponse, client.call("ReplaceMember", request))
        if answer.step != step and not answer.done and says_steps:
            print_error(answer.step)
        step = str(answer.step)
        if answer.done:
            return step
        if time.monotonic() >= deadline:
            raise ControlUnavailableError(f"not finished yet: {step}; run the command again")
        time.sleep(STEP_PAUSE_SECONDS)


def _write_synced(path: Path, data: bytes) -> None:
    with path.open("xb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
