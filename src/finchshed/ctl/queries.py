"""Sub-commands that read what is declared and was decided: get, watch, explain, history."""

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
    """Print the configuration in force, or the given RESOURCES (kind/name).

    Parameters
    ----------
    resources
        Such as service/tide-prediction; none: all.
    control
        Addresses of control nodes for operators, a.b.c.d:port,...; or FINCHSHED_CONTROL.
    token_file
        File with the operator's token; or FINCHSHED_TOKEN, FINCHSHED_TOKEN_FILE.
    timeout
        Longest time for the request over all control nodes, seconds.
    json
        Print one JSON line.
    """
    keys = _keys(resources)
    client = connect(control, token_file, timeout)
    request = pb.GetRequest(keys=[key_to_message(key) for key in keys])
    answer = cast(pb.GetResponse, client.call("Get", request))
    found = resources_from_messages(answer.resources, [])
    lines = [f"revision {answer.revision}", *(_describe(item) for item in _sorted(found))]
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
    """Follow accepted changes until interrupted, going on through another node where one ends.

    Parameters
    ----------
    after
        Revision to go on from; 0: print the whole configuration first.
    count
        End after this many events; 0: never.
    control
        Addresses of control nodes for operators, a.b.c.d:port,...; or FINCHSHED_CONTROL.
    token_file
        File with the operator's token; or FINCHSHED_TOKEN, FINCHSHED_TOKEN_FILE.
    timeout
        Longest time without any node, seconds.
    json
        Print one JSON line for each event.
    """
    client = connect(control, token_file, timeout)
    position = after
    seen = 0
    while True:
        try:
            for event in client.stream("Watch", pb.WatchRequest(after_revision=position)):
                position = _print_event(cast(pb.WatchEvent, event), as_json=json)
                seen += 1
                if seen == count:
                    return ExitCode.OK
        except ControlUnavailableError as error:
            print_error(f"stream ended ({error}); going on after revision {position}")
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
    """Show recent decisions of the daemon NODE: what it admitted, refused, retried, and why.

    Parameters
    ----------
    node
        Node name of a daemon, as in ``status``.
    root
        Identity of one root request; empty: all.
    limit
        Decisions shown at most, newest first.
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
    request = pb.ExplainRequest(node=node, root=root, limit=limit)
    said = client.call_each("Explain", request)
    if not said.answers:
        for error in said.errors:
            print_error(error)
        return ExitCode.UNAVAILABLE
    _, first = said.answers[0]
    _show_decisions(node, cast(pb.ExplainResponse, first), as_json=json)
    return ExitCode.OK


def history(
    *,
    limit: int = 20,
    control: str = "",
    token_file: str = "",
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show who changed what, newest first: changes, and actions on the control group itself.

    Parameters
    ----------
    limit
        Entries shown at most; 0: as many as the control node gives.
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
    answer = cast(pb.HistoryResponse, client.call("History", pb.HistoryRequest(limit=limit)))
    entries = tuple(
        HistoryEntryView(
            _utc_text(entry.time), entry.operator, entry.action, entry.subject, entry.outcome
        )
        for entry in answer.entries
    )
    rows = [(item.time, item.operator, item.action, item.subject, item.outcome) for item in entries]
    header = ("time (UTC)", "operator", "action", "subject", "outcome")
    print_result(HistoryView(entries), format_table(header, rows), as_json=json)
    return ExitCode.OK


def _show_decisions(node: str, answer: pb.ExplainResponse, *, as_json: bool) -> None:
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


def _utc_text(unix_seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_seconds, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def _keys(texts: Iterable[str]) -> list[ResourceKey]:
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


def _sorted(resources: Iterable[Resource]) -> list[Resource]:
    return sorted(resources, key=key_of)


def _describe(resource: Resource) -> str:
    key = key_of(resource)
    fields = {
        field: getattr(resource, field) for field in resource.__struct_fields__ if field != "name"
    }
    return f"{key.kind}/{key.name} {msgspec.json.encode(fields).decode()}"


def _print_event(event: pb.WatchEvent, *, as_json: bool) -> int:
    puts = resources_from_messages(event.puts, [])
    deletes = tuple(key_from_message(key) for key in event.deletes)
    title = f"revision {event.revision}" + (" (whole configuration)" if event.base == 0 else "")
    lines = [title, *(f"  = {_describe(item)}" for item in _sorted(puts))]
    lines += [f"  - {key.kind}/{key.name}" for key in deletes]
    view = ConfigurationView(event.revision, puts, base=event.base, deletes=deletes)
    print_result(view, lines, as_json=as_json)
    return int(event.revision)
