"""Sub-commands that show the daemons and the members of the control group: status, members.

Owns no state. Relies on the best informed of the control nodes that answer.
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

    Each control node knows the daemons of all; of those that answer the best informed is shown.
    Exit code 14 when some daemon is behind or silent.

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
    view = read_status(connect(control, token_file, timeout))
    print_result(view, _status_lines(view), as_json=json)
    return ExitCode.OK if view.in_force == view.known else CtlExitCode.NOT_IN_FORCE


def read_status(client: OperatorClient) -> StatusView:
    """Return the state of all daemons, from the best informed control node that answers."""
    said = client.call_each("Status", pb.StatusRequest())
    if not said.answers:
        raise ControlUnavailableError("; ".join(said.errors))
    answers = [cast(pb.StatusResponse, answer) for _, answer in said.answers]
    best = max(answers, key=lambda answer: (answer.confirmed, answer.revision, answer.in_force))
    daemons = [_daemon_view(daemon, BEHIND) for daemon in best.behind]
    daemons += [_daemon_view(daemon, SILENT) for daemon in best.silent]
    return StatusView(
        revision=best.revision,
        leader=best.leader,
        confirmed=best.confirmed,
        in_force=best.in_force,
        known=best.known,
        ledger=LedgerView(
            best.ledger.free,
            best.ledger.begun,
            best.ledger.completed,
            best.ledger.answer_bytes,
        ),
        daemons=tuple(daemons),
        unreachable=said.errors,
    )


def members(
    *,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show the members of the control group, as its leader sees them.

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
    said = client.call_each("Members", pb.MembersRequest())
    if not said.answers:
        raise ControlUnavailableError("no control node answered")
    answers = [cast(pb.MembersResponse, answer) for _, answer in said.answers]
    best = max(answers, key=lambda answer: (answer.node == answer.leader, answer.term))
    view = MembersView(
        leader=best.leader,
        term=best.term,
        commit_index=best.commit_index,
        members=tuple(
            MemberView(
                member.name,
                member.address,
                member.role,
                member.match_index,
                member.silent_seconds,
            )
            for member in best.members
        ),
    )
    print_result(view, _member_lines(view), as_json=json)
    return ExitCode.OK if view.leader else ExitCode.UNAVAILABLE


def _daemon_view(daemon: pb.DaemonStatus, state: str) -> DaemonView:
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
