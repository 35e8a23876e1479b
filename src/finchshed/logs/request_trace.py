"""Assembles the trace of a request from the logs of several processes and explains its outcome.

Because the clocks of machines differ, lines are ordered causally first: nested calls end before
the request that made them, and a call ends at its back end before its request ends at the daemon.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from finchshed.logs.reading import LogLine

CALL_SEPARATOR = "."

EXPLANATIONS = {
    "overload": "refused before anything ran: the class was cut at a back end on its way; see the "
    "threshold, queued and limit of call_ended lines of the same time",
    "queue_full": "refused: the queue beside the back end was full of what matters as much or more",
    "deadline": "no time left: it waited or would have waited past its deadline or its route's "
    "time-out; compare queued_ms and ran_ms of its call_ended lines",
    "draining": "the back end or its daemon was draining, and no other took it",
    "no_backend": "no back end of the service was known and open at this daemon",
    "no_configuration": "the daemon had no configuration confirmed by a quorum yet",
    "unknown_route": "no route stands for this host and path in the revision named",
    "api_key_missing": "it carried no API key, or an empty one, and its route isn't public",
    "api_key_unknown": "no tenant holds its API key in the revision named, which control had "
    "confirmed not long before; the key was taken away, or never declared",
    "api_key_unconfirmed": "the daemon could not tell whether its API key still holds: control had "
    "confirmed nothing for the time in detail; see the state lines on trust in API keys",
    "quota_exceeded": "its tenant was above its limit over all daemons; see `finchshed ctl get "
    "tenant/NAME` for the limit and finchshed_quota_refused_total",
    "quota_unconfirmed": "the daemon held no token for its tenant, and the leader of the control "
    "group did not answer",
    "caller_unknown": "a call of a back end for a request that was over, or that the daemon's "
    "former process had taken",
    "connect_failed": "no connection to the endpoint's daemon or from it to its back end",
    "link_broken": "the link to the endpoint's daemon broke after the sending: it may have run",
    "backend_broken": "the back end's connection ended without a whole answer: it may have run",
    "backend_refused": "the back end said that it did not run it",
    "outcome_unknown": "it may have run: an earlier attempt has no recorded answer, or the back "
    "end turned it away without a word that it did not run; see sending of its call_ended line",
    "aborted": "its client left",
    "cancelled": "its client left before it was sent",
    "retries_spent": "no retry was left in the service's budget",
}


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines about one request and its nested calls, in causal order."""

    identity: str
    lines: tuple[LogLine, ...]

    @property
    def cause(self) -> str:
        """Explanation of the request's outcome."""
        ends = [line for line in self.lines if _is_end_of(line, self.identity)]
        if not ends:
            return (
                "its end is in none of the files: it ended well and was not sampled, or its "
                "line was left out"
            )
        return _explain(ends[-1], self.lines)


def trace_of(identity: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of the request to which its caller assigned ``identity``."""
    related = [line for line in lines if _is_related(line, identity)]
    return RequestTrace(identity, tuple(sorted(related, key=_order)))


def describe(trace: RequestTrace) -> list[str]:
    """Return the trace as human-readable lines."""
    text = [f"request {trace.identity}"]
    for line in trace.lines:
        text.append(f"  {line.time:.3f} {line.prefix or line.source}: {_format_line(line)}")
    text.append(f"cause: {trace.cause}")
    return text


def _is_related(line: LogLine, identity: str) -> bool:
    if line.event == "extra_answer":
        return identity in {line.record.get("id"), line.record.get("named")}
    if line.event not in {"request_ended", "call_ended"}:
        return False
    line_id = str(line.record.get("id", ""))
    return line_id == identity or line_id.startswith(identity + CALL_SEPARATOR)


def _is_end_of(line: LogLine, identity: str) -> bool:
    return line.event == "request_ended" and line.record.get("id") == identity


def _order(line: LogLine) -> tuple[int, bool, float]:
    """Sort key: deeper calls first, then a call's end before its request's end, then by time."""
    depth = str(line.record.get("id", "")).count(CALL_SEPARATOR)
    return (-depth, line.event == "request_ended", line.time)


def _format_line(line: LogLine) -> str:
    record = line.record
    if line.event == "extra_answer":
        return _format_extra_answer(record)
    summary = f"{line.event} {record.get('id')}: {record.get('outcome')}"
    reason = record.get("reason") or record.get("status") or ""
    parts = [f"{summary} {reason}".rstrip()]
    if record.get("detail"):
        parts.append(str(record["detail"]))
    if line.event == "request_ended":
        # A request refused before routing has no service.
        service = f"service {record['service']}, " if record.get("service") else ""
        parts.append(f"{service}{record.get('ms')} ms")
        parts.append(f"revision {record.get('revision', 0)}")
        for attempt in record.get("attempts", ()):
            reason = attempt.get("reason", "")
            parts.append(f"{attempt['endpoint']}: {attempt['outcome']} {reason}".rstrip())
    else:
        parts.append(f"instance {record.get('instance')}")
        parts.append(f"queued {record.get('queued_ms')} ms, ran {record.get('ran_ms', -1.0)} ms")
        load = (record.get(name, 0) for name in ("running", "queued", "limit", "threshold"))
        parts.append("running {}, queued {}, limit {}, threshold {}".format(*load))
        parts += _format_sending(record.get("sending"))
    return "; ".join(parts)


def _format_sending(sending: Mapping[str, Any] | None) -> list[str]:
    if sending is None:
        return []
    place = f"request {sending['request']} on connection {sending['connection']}"
    taken = f"answer {sending['status']}" if sending.get("status") else "no answer taken"
    mark = f", not run by its {sending['not_run']}" if sending.get("not_run") else ""
    return [f"{place}: {taken}{mark}"]


def _format_extra_answer(record: Mapping[str, Any]) -> str:
    place = f"request {record.get('request')} on connection {record.get('connection')}"
    awaited = record.get("id") or "none"
    named = record.get("named") or "none"
    return (
        f"extra answer of {record.get('size')} bytes at {place}; awaited {awaited}, named {named}"
    )


def _explain(end: LogLine, lines: Sequence[LogLine]) -> str:
    record = end.record
    if record.get("outcome") != "answered":
        reason = str(record.get("reason", ""))
        return f"{record.get('outcome')}, {reason}: {EXPLANATIONS.get(reason, 'no advice')}"
    status = record.get("status", 0)
    failed = [line for line in lines if line is not end and _is_failed_call(line, end)]
    if failed:
        first = failed[0].record
        cause = first.get("reason") or f"status {first.get('status')}"
        return f"the back end answered {status} after its call {first.get('id')} ended: {cause}"
    return f"the back end answered {status} itself"


def _is_failed_call(line: LogLine, end: LogLine) -> bool:
    if line.event != "request_ended" or line.record.get("id") == end.record.get("id"):
        return False
    is_error = int(line.record.get("status", 0)) >= 500
    return line.record.get("outcome") != "answered" or is_error
