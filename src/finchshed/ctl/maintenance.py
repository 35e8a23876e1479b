"""Sub-commands that maintain the control group: replace-member, backup, dump."""

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

REPLACEMENT_POLL_SECONDS = 0.5
"""Poll interval while a member is being replaced."""


class BackupView(msgspec.Struct, frozen=True):
    """Result of ``backup``."""

    file: str
    revision: int
    index: int
    size_bytes: int
    sha256: str


class ReplaceMemberView(msgspec.Struct, frozen=True):
    """Result of ``replace-member``."""

    done: bool
    step: str


class DumpView(msgspec.Struct, frozen=True):
    """Result of ``dump``."""

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
    """Replace a control node by another, and wait until the replacement is complete.

    The new node joins as a learner, becomes a voter once it has caught up, and only then the old
    node is removed. Safe to run again at any time: it resumes where it stopped.

    Parameters
    ----------
    remove
        Member to remove; empty: none.
    add
        Member to add, which must be running; empty: none. It may have the name of a member whose
        disk was lost.
    standby
        Keep the added member as a standby, which doesn't vote.
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the replacement, in seconds.
    json
        Print the result as one JSON line.
    """
    if not remove and not add:
        raise SettingsError(["flag --add, --remove: missing, one of them is needed"])
    client = connect(control, token_file, min(timeout, DEFAULT_TIMEOUT_SECONDS))
    request = pb.ReplaceMemberRequest(remove=remove, add=add, standby=standby)
    step = _wait_until_replaced(client, request, timeout, print_steps=not json)
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
    """Write a snapshot of the whole state to FILE, which must not exist, and sync it to disk.

    Parameters
    ----------
    file
        Path of the new file.
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the request over all control nodes, in seconds.
    json
        Print the result as one JSON line.
    """
    path = Path(file)
    if path.exists():
        raise SettingsError([f"file = {file!r}: exists already, allowed is a new file"])
    client = connect(control, token_file, timeout)
    pieces = client.stream("Backup", pb.BackupRequest())
    data = b"".join(cast(pb.BackupPiece, piece).data for piece in pieces)
    state = msgspec.json.decode(data, type=StateSnapshot)
    _write_new_file(path, data)
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
    """Make every control node write out its buffer of recent log records.

    Parameters
    ----------
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the request over all control nodes, in seconds.
    json
        Print the result as one JSON line.
    """
    client = connect(control, token_file, timeout)
    responses = client.call_each("Dump", pb.DumpRequest())
    for error in responses.errors:
        print_error(error)
    destinations = [
        f"{address}: {cast(pb.DumpResponse, answer).destination}"
        for address, answer in responses.answers
    ]
    print_result(DumpView(tuple(destinations)), destinations, as_json=json)
    return ExitCode.OK if destinations else ExitCode.UNAVAILABLE


def _wait_until_replaced(
    client: OperatorClient, request: pb.ReplaceMemberRequest, timeout: float, *, print_steps: bool
) -> str:
    """Request replacement steps until none is left; return the text of the last step.

    Raises
    ------
    ControlUnavailableError
        The replacement isn't complete after ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    step = ""
    while True:
        answer = cast(pb.ReplaceMemberResponse, client.call("ReplaceMember", request))
        if answer.step != step and not answer.done and print_steps:
            print_error(answer.step)
        step = str(answer.step)
        if answer.done:
            return step
        if time.monotonic() >= deadline:
            raise ControlUnavailableError(f"not finished yet: {step}; run the command again")
        time.sleep(REPLACEMENT_POLL_SECONDS)


def _write_new_file(path: Path, data: bytes) -> None:
    with path.open("xb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
