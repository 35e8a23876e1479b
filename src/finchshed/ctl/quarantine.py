"""The sub-command ``quarantine``: shows and lifts quarantines of requests."""

from typing import cast

from finchshed.cli.exit_codes import ExitCode
from finchshed.ctl.connection import DEFAULT_TIMEOUT_SECONDS, connect
from finchshed.ctl.output import format_table, print_result
from finchshed.ctl.views import QuarantinedView, QuarantineView
from finchshed.rpc.generated import finchshed_pb2 as pb


def quarantine(
    *,
    lift: str = "",
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show requests suspected of crashing back ends, and those quarantined for it.

    Parameters
    ----------
    lift
        Signature of a request whose known crashes are cleared, so that it may run again at once.
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
    if lift:
        client.call("LiftQuarantine", pb.LiftQuarantineRequest(signature=lift))
    answer = cast(pb.QuarantineResponse, client.call("Quarantine", pb.QuarantineRequest()))
    _print_quarantine(answer, as_json=json)
    return ExitCode.OK


def _print_quarantine(answer: pb.QuarantineResponse, *, as_json: bool) -> None:
    views = tuple(
        QuarantinedView(
            item.signature,
            item.standing,
            tuple(item.instances),
            round(item.age_seconds, 1),
            round(item.refused_seconds, 1),
        )
        for item in answer.requests
    )
    rows = [
        (
            view.signature,
            view.standing,
            str(len(view.instances)),
            f"{view.age_seconds:.1f}",
            f"{view.refused_seconds:.1f}",
        )
        for view in views
    ]
    header = ("request", "standing", "crashes", "seconds ago", "refused for seconds")
    print_result(QuarantineView(views), format_table(header, rows), as_json=as_json)
