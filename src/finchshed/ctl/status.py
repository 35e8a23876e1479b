"""Sub-commands that show the daemons and the members of the control group: status, members.

All control nodes are asked; the most up-to-date answer is shown.
"""

from typing import cast

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import ControlUnavailableError
from finchshed.ctl.client import OperatorClient
from finchshed.ctl.connection import DEFAULT_TIMEOUT_SECONDS, connect
from finchshed.ctl.exit_codes import CtlExitCode
from finchshed.ctl.output import format_table, print_result
from finchshed.ctl.views import (
    DaemonView,
    LedgerView,
    MembersView,
    MemberView,
    StatusView,
)
from finchshed.rpc.generated import finchshed_pb2 as pb

BEHIND = "behind"
SILENT = "silent"


def status(
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show the revision in force, and the daemons that are behind or silent.

    Every control node knows all daemons; the most up-to-date answer is shown.
    Exit code 14: some daemons are behind or silent.

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
    view = read_status(connect(control, token_file, timeout))
    print_result(view, _status_lines(view), as_json=json)
    return ExitCode.OK if view.in_force == view.known else CtlExitCode.NOT_IN_FORCE


def read_status(client: OperatorClient) -> StatusView:
    """Return the state of all daemons from the most up-to-date control node that answers."""
    responses = client.call_each("Status", pb.StatusRequest())
    if not responses.answers:
        raise ControlUnavailableError("; ".join(responses.errors))
    answers = [cast(pb.StatusResponse, answer) for _, answer in responses.answers]
    latest = max(answers, key=lambda answer: (answer.confirmed, answer.revision, answer.in_force))
    daemons = [_make_daemon_view(daemon, BEHIND) for daemon in latest.behind]
    daemons += [_make_daemon_view(daemon, SILENT) for daemon in latest.silent]
    return StatusView(
        revision=latest.revision,
        leader=latest.leader,
        confirmed=latest.confirmed,
        in_force=latest.in_force,
        known=latest.known,
        ledger=LedgerView(
            latest.ledger.free,
            latest.ledger.begun,
            latest.ledger.completed,
            latest.ledger.answer_bytes,
        ),
        daemons=tuple(daemons),
        unreachable=responses.errors,
    )


def members(
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show the members of the control group as known to its leader.

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
    responses = client.call_each("Members", pb.MembersRequest())
    if not responses.answers:
        raise ControlUnavailableError("no control node answered")
    answers = [cast(pb.MembersResponse, answer) for _, answer in responses.answers]
    latest = max(answers, key=lambda answer: (answer.node == answer.leader, answer.term))
    view = MembersView(
        leader=latest.leader,
        term=latest.term,
        commit_index=latest.commit_index,
        members=tuple(
            MemberView(
                member.name,
                member.address,
                member.role,
                member.match_index,
                member.silent_seconds,
            )
            for member in latest.members
        ),
    )
    print_result(view, _member_lines(view), as_json=json)
    return ExitCode.OK if view.leader else ExitCode.UNAVAILABLE


def _make_daemon_view(daemon: pb.DaemonStatus, state: str) -> DaemonView:
    return DaemonView(
        node=daemon.node,
        endpoint=daemon.endpoint,
        service=daemon.service,
        zone=daemon.zone,
        state=state,
        revision=daemon.revision,
        seconds=round(daemon.seconds, 3),
    )


def _status_lines(view: StatusView) -> list[str]:
    confirmation = "confirmed by a quorum" if view.confirmed else "NOT confirmed by a quorum"
    lines = [
        f"revision {view.revision}, {confirmation}, leader {view.leader or 'unknown'}",
        f"in force at {view.in_force} of {view.known} daemons",
        f"ledger: {view.ledger.begun} keys begun, {view.ledger.completed} completed, "
        f"{view.ledger.free} cancelled, {view.ledger.answer_bytes} bytes of answers",
    ]
    rows = [
        (
            daemon.node or "-",
            daemon.endpoint or "-",
            daemon.state,
            str(daemon.revision),
            f"{daemon.seconds:.1f}",
        )
        for daemon in view.daemons
    ]
    if rows:
        lines += format_table(("daemon", "endpoint", "state", "revision", "for seconds"), rows)
    lines += [f"control node unreachable: {text}" for text in view.unreachable]
    return lines


def _member_lines(view: MembersView) -> list[str]:
    rows = [
        (
            member.name,
            member.role,
            member.address,
            str(member.match_index),
            "-" if member.silent_seconds < 0 else f"{member.silent_seconds:.1f}",
        )
        for member in view.members
    ]
    title = f"leader {view.leader or 'unknown'}, term {view.term}, committed {view.commit_index}"
    return [title, *format_table(("member", "role", "address", "on disk", "seconds silent"), rows)]
