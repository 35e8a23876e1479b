"""Sub-commands that read configuration, decisions and audit log: get, watch, explain, history."""

import datetime
from collections.abc import Iterable
from typing import cast

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import ControlUnavailableError, SettingsError
from finchshed.configuration.resources import KINDS, Resource, ResourceKey, key_of
from finchshed.ctl.connection import DEFAULT_TIMEOUT_SECONDS, connect
from finchshed.ctl.output import format_table, print_error, print_result
from finchshed.ctl.views import (
    ConfigurationView,
    DecisionView,
    ExplainView,
    HistoryEntryView,
    HistoryView,
)
from finchshed.rpc.conversion import (
    key_from_message,
    key_to_message,
    resources_from_messages,
)
from finchshed.rpc.generated import finchshed_pb2 as pb


def get(
    *resources: str,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Print the current configuration, or the given RESOURCES (kind/name).

    Parameters
    ----------
    resources
        For example service/tide-prediction; none: all.
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for the request over all control nodes, in seconds.
    json
        Print the result as one JSON line.
    """
    keys = _parse_keys(resources)
    client = connect(control, token_file, timeout)
    request = pb.GetRequest(keys=[key_to_message(key) for key in keys])
    answer = cast(pb.GetResponse, client.call("Get", request))
    found = resources_from_messages(answer.resources, [])
    lines = [
        f"revision {answer.revision}",
        *(_format_resource(item) for item in _sort_by_key(found)),
    ]
    print_result(ConfigurationView(answer.revision, found), lines, as_json=json)
    missing = set(keys) - {key_of(item) for item in found}
    for key in sorted(missing):
        print_error(f"{key.kind}/{key.name}: not declared")
    return ExitCode.FAILED if missing else ExitCode.OK


def watch(
    *,
    after: int = 0,
    count: int = 0,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Follow accepted changes until interrupted, switching to another node if a stream ends.

    Parameters
    ----------
    after
        Revision to resume after; 0: print the whole configuration first.
    count
        Number of events after which to stop; 0: never stop.
    control
        RPC addresses of control nodes, a.b.c.d:port,...; default: FINCHSHED_CONTROL.
    token_file
        File with the operator's token; default: FINCHSHED_TOKEN or FINCHSHED_TOKEN_FILE.
    timeout
        Time limit for reaching a control node, in seconds.
    json
        Print each event as one JSON line.
    """
    client = connect(control, token_file, timeout)
    revision = after
    event_count = 0
    while True:
        try:
            for event in client.stream("Watch", pb.WatchRequest(after_revision=revision)):
                revision = _print_event(cast(pb.WatchEvent, event), as_json=json)
                event_count += 1
                if event_count == count:
                    return ExitCode.OK
        except ControlUnavailableError as error:
            print_error(f"stream ended ({error}); going on after revision {revision}")
            client.call("Members", pb.MembersRequest())


def explain(
    node: str,
    *,
    root: str = "",
    limit: int = 50,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show recent decisions of the daemon NODE: requests admitted, refused or retried, and why.

    Parameters
    ----------
    node
        Node name of a daemon, as in ``status``.
    root
        Identity of one root request; empty: all.
    limit
        Maximum number of decisions, newest first.
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
    request = pb.ExplainRequest(node=node, root=root, limit=limit)
    responses = client.call_each("Explain", request)
    if not responses.answers:
        for error in responses.errors:
            print_error(error)
        return ExitCode.UNAVAILABLE
    _, first = responses.answers[0]
    _print_decisions(node, cast(pb.ExplainResponse, first), as_json=json)
    return ExitCode.OK


def history(
    *,
    limit: int = 20,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show the audit log, newest first: changes, and actions on the control group itself.

    Parameters
    ----------
    limit
        Maximum number of entries; 0: as many as the control node returns.
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
    answer = cast(pb.HistoryResponse, client.call("History", pb.HistoryRequest(limit=limit)))
    entries = tuple(
        HistoryEntryView(
            _format_utc(entry.time), entry.operator, entry.action, entry.subject, entry.outcome
        )
        for entry in answer.entries
    )
    rows = [(item.time, item.operator, item.action, item.subject, item.outcome) for item in entries]
    header = ("time (UTC)", "operator", "action", "subject", "outcome")
    print_result(HistoryView(entries), format_table(header, rows), as_json=json)
    return ExitCode.OK


def _print_decisions(node: str, answer: pb.ExplainResponse, *, as_json: bool) -> None:
    decisions = tuple(
        DecisionView(
            item.age_seconds, item.root, item.action, item.reason, item.endpoint, item.detail
        )
        for item in answer.decisions
    )
    rows = [
        (f"{d.age_seconds:.3f}", d.action, d.reason, d.endpoint, d.root, d.detail)
        for d in decisions
    ]
    header = ("seconds ago", "action", "reason", "endpoint", "root request", "detail")
    print_result(ExplainView(node, decisions), format_table(header, rows), as_json=as_json)


def _format_utc(unix_seconds: float) -> str:
    time = datetime.datetime.fromtimestamp(unix_seconds, datetime.UTC)
    return time.isoformat(timespec="seconds")


def _parse_keys(texts: Iterable[str]) -> list[ResourceKey]:
    keys = []
    problems = []
    for text in texts:
        kind, separator, name = text.partition("/")
        if not separator or kind not in KINDS:
            allowed = ", ".join(sorted(KINDS))
            problems.append(f"resource = {text!r}: allowed is kind/name, kinds are: {allowed}")
        keys.append(ResourceKey(kind, name))
    if problems:
        raise SettingsError(problems)
    return keys


def _sort_by_key(resources: Iterable[Resource]) -> list[Resource]:
    return sorted(resources, key=key_of)


def _format_resource(resource: Resource) -> str:
    key = key_of(resource)
    fields = {
        field: getattr(resource, field) for field in resource.__struct_fields__ if field != "name"
    }
    return f"{key.kind}/{key.name} {msgspec.json.encode(fields).decode()}"


def _print_event(event: pb.WatchEvent, *, as_json: bool) -> int:
    puts = resources_from_messages(event.puts, [])
    deletes = tuple(key_from_message(key) for key in event.deletes)
    title = f"revision {event.revision}" + (" (whole configuration)" if event.base == 0 else "")
    lines = [title, *(f"  = {_format_resource(item)}" for item in _sort_by_key(puts))]
    lines += [f"  - {key.kind}/{key.name}" for key in deletes]
    view = ConfigurationView(event.revision, puts, base=event.base, deletes=deletes)
    print_result(view, lines, as_json=as_json)
    return int(event.revision)
