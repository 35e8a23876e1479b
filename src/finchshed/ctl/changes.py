"""Sub-commands that change the configuration: diff, apply, drain, undrain.

A change can be sent again safely: control nodes apply each change identity at most once.
"""

import uuid
from pathlib import Path
from typing import cast

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import ControlUnavailableError, SettingsError
from finchshed.configuration.changes import Accepted, ChangeResult, Conflict
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.difference import Difference, describe_difference, difference
from finchshed.configuration.resources import Endpoint, EndpointState, Resource, ResourceKey
from finchshed.ctl.client import NotFoundError, OperatorClient
from finchshed.ctl.connection import DEFAULT_TIMEOUT_SECONDS, connect
from finchshed.ctl.exit_codes import CtlExitCode
from finchshed.ctl.output import print_result
from finchshed.ctl.views import ApplyView, DifferenceView
from finchshed.rpc.change_results import result_from_message
from finchshed.rpc.conversion import (
    key_to_message,
    resource_to_message,
    resources_by_key,
)
from finchshed.rpc.generated import finchshed_pb2 as pb

DRAIN_ATTEMPTS = 10
"""Maximum attempts to drain or undrain an endpoint if other changes are accepted first."""


class DeclaredConfiguration(msgspec.Struct, frozen=True):
    """The declared configuration, as confirmed by a quorum."""

    revision: int
    resources: dict[ResourceKey, Resource]


def diff(
    folder: str,
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show what applying the declarations in FOLDER would change.

    Exit code 0: nothing would change. 10: something would.

    Parameters
    ----------
    folder
        Folder with declaration files (*.toml).
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the request over all control nodes, in seconds.
    json
        Print the result as one JSON line.
    """
    declared = read_declarations(Path(folder))
    client = connect(control, token_file, timeout)
    current = read_configuration(client)
    changes = difference(current.resources, declared)
    view = DifferenceView(current.revision, changes.puts, changes.deletes)
    lines = describe_difference(current.resources, changes) or ["nothing to change"]
    print_result(view, lines, as_json=json)
    return CtlExitCode.DIFFERENT if changes else ExitCode.OK


def apply(
    folder: str,
    *,
    change_id: str = "",
    expected_revision: int = -1,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Make the declarations in FOLDER the configuration, as one change.

    The change is applied completely or not at all. Exit code 11: another change, which is named,
    was accepted first; run diff again. 12: the control node found problems. 3: no quorum confirmed
    the change in time; run the printed command to learn the outcome.

    Parameters
    ----------
    folder
        Folder with declaration files (*.toml).
    change_id
        Identity of the change; pass the one printed before to resend it. Empty: a new identity.
    expected_revision
        Revision that the change is based on; -1: the current one.
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the request over all control nodes, in seconds.
    json
        Print the result as one JSON line.
    """
    declared = read_declarations(Path(folder))
    client = connect(control, token_file, timeout)
    first_result = find_result(client, change_id) if change_id else None
    if first_result is not None:
        return report_result(change_id, first_result, as_json=json)
    current = read_configuration(client)
    changes = difference(current.resources, declared)
    if not changes:
        lines = [f"nothing to change at revision {current.revision}"]
        print_result(ApplyView("", None), lines, as_json=json)
        return ExitCode.OK
    expected = current.revision if expected_revision < 0 else expected_revision
    identity = change_id or str(uuid.uuid4())
    result = _submit_with_recovery_hint(client, folder, identity, expected, changes)
    return report_result(identity, result, as_json=json)


def _submit_with_recovery_hint(
    client: OperatorClient, folder: str, change_id: str, expected: int, changes: Difference
) -> ChangeResult:
    """Submit a change; if its outcome is unknown, the error says how to learn it."""
    try:
        return submit_change(client, change_id, expected, changes)
    except ControlUnavailableError as error:
        raise ControlUnavailableError(
            f"{error}\nthe change may have been accepted; to learn its outcome: "
            f"finchshed ctl apply {folder} --change_id={change_id} --expected_revision={expected}"
        ) from error


def drain(
    endpoint: str,
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Mark ENDPOINT as leaving: it gets no new requests, and requests in progress continue.

    Safe to run again; exit code 0 also if the endpoint was already leaving.

    Parameters
    ----------
    endpoint
        Name of a declared endpoint.
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
    return _set_state(client, endpoint, EndpointState.LEAVING, as_json=json)


def undrain(
    endpoint: str,
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Make ENDPOINT active again after a drain.

    Safe to run again; exit code 0 also if the endpoint was already active.

    Parameters
    ----------
    endpoint
        Name of a declared endpoint.
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
    return _set_state(client, endpoint, EndpointState.ACTIVE, as_json=json)


def _set_state(client: OperatorClient, name: str, state: EndpointState, *, as_json: bool) -> int:
    """Set the state of an endpoint, retrying when another change is accepted first."""
    for _ in range(DRAIN_ATTEMPTS):
        current = read_configuration(client)
        endpoint = current.resources.get(ResourceKey("endpoint", name))
        if not isinstance(endpoint, Endpoint):
            raise SettingsError([f"endpoint = {name!r}: allowed are declared endpoints"])
        if endpoint.state is state:
            lines = [f"{name} is {state.value} at revision {current.revision}"]
            print_result(ApplyView("", None), lines, as_json=as_json)
            return ExitCode.OK
        changes = Difference((msgspec.structs.replace(endpoint, state=state),), ())
        identity = str(uuid.uuid4())
        result = submit_change(client, identity, current.revision, changes)
        if not isinstance(result, Conflict):
            break
    return report_result(identity, result, as_json=as_json)


def read_configuration(client: OperatorClient) -> DeclaredConfiguration:
    """Return the current configuration, confirmed by a quorum."""
    answer = cast(pb.GetResponse, client.call("Get", pb.GetRequest()))
    return DeclaredConfiguration(answer.revision, resources_by_key(answer.resources))


def find_result(client: OperatorClient, change_id: str) -> ChangeResult | None:
    """Return the first result of an earlier change, or None if none is known."""
    try:
        answer = client.call("GetResult", pb.GetResultRequest(change_id=change_id))
    except NotFoundError:
        return None
    return result_from_message(cast(pb.ApplyResponse, answer))


def submit_change(
    client: OperatorClient, change_id: str, expected_revision: int, changes: Difference
) -> ChangeResult:
    """Submit a change; it is sent to other nodes under the same identity if an answer is lost."""
    request = pb.ApplyRequest(
        change_id=change_id,
        expected_revision=expected_revision,
        puts=[resource_to_message(resource) for resource in changes.puts],
        deletes=[key_to_message(key) for key in changes.deletes],
    )
    return result_from_message(cast(pb.ApplyResponse, client.call("Apply", request)))


def report_result(change_id: str, result: ChangeResult, *, as_json: bool) -> int:
    """Print ``result`` and return its exit code."""
    if isinstance(result, Accepted):
        lines = [f"accepted as revision {result.revision} (change {change_id})"]
        code: int = ExitCode.OK
    elif isinstance(result, Conflict):
        lines = [
            f"conflict: change {result.winner_change_id} of {result.winner_operator} was accepted "
            f"first; the revision is {result.current_revision}; nothing was changed"
        ]
        code = CtlExitCode.CONFLICT
    else:
        lines = ["invalid; nothing was changed:", *(f"  {item}" for item in result.problems)]
        code = CtlExitCode.INVALID
    print_result(ApplyView(change_id, result), lines, as_json=as_json)
    return code
