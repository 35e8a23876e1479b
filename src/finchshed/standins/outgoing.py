"""One request of a stand-in caller: what it sends, what came back, and whether it is its own.

Owns the rules by which a caller counts an answer as whole, as a refusal, or as a failure.
"""

import msgspec

from finchshed.common.context import (
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_RAN,
    HEADER_REASON,
    HEADER_RETRY_AFTER_MS,
    HEADER_ROOT,
    HEADER_SERVICE,
    HEADER_SESSION,
    HEADER_SESSION_AT,
)
from finchshed.proof.history import HEADER_ANSWER_DIGEST, HEADER_ANSWER_ROOT
from finchshed.standins import answers
from finchshed.standins.downloads import EDITION_CHANGED_STATUS, WHOLE_STATUS
from finchshed.standins.records import AttemptRecord, CallerOutcome, monotonic
from finchshed.standins.settings import StandinLoad

SUCCESS_BELOW = 400
"""Statuses from here on are refusals and errors (RFC 9110, 15)."""

FINAL_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Statuses of refusals that a resend would get again (RFC 9110, 15.5)."""


class StandinReply(msgspec.Struct, frozen=True):
    """What came back over HTTP; ``status`` 0 if nothing whole did."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""


class Outgoing(msgspec.Struct, frozen=True, kw_only=True):
    """A request, or one range of a download, that a caller wants answered."""

    request: str
    load: StandinLoad
    phase: str
    caller: str
    key: str = ""
    session: str = ""
    wanted: answers.RangeRequest | None = None
    validator: str = ""

    @property
    def identity(self) -> str:
        """What the answer must name: the key, or the request where it has none.

        Both stay over the request's attempts, as an attempt may join an earlier one in progress,
        and a resend of a keyed request gets the answer of the attempt that ran.
        """
        return self.key or self.request

    def headers(self, place: str = "") -> dict[str, str]:
        """Return an attempt's headers; ``place`` is where its session runs, if that was told."""
        headers = {
            HEADER_SERVICE: self.load.service,
            HEADER_CALLER: self.caller,
            HEADER_DEADLINE: str(int(self.load.deadline_seconds * 1000)),
            HEADER_ROOT: self.request,
            answers.HEADER_IDENTITY: self.identity,
        }
        if self.key:
            headers[HEADER_IDEMPOTENCY_KEY] = self.key
        if self.session:
            headers[HEADER_SESSION] = self.session
        if self.session and place:
            headers[HEADER_SESSION_AT] = place
        if self.wanted is not None:
            headers["Range"] = f"bytes={self.wanted.first}-{self.wanted.last}"
        if self.validator and self.load.conditional:
            headers["If-Match"] = self.validator
        return headers


def path_of(load: StandinLoad) -> str:
    """Return the path with its query."""
    if load.download_bytes:
        return f"{load.path}?size={load.download_bytes}"
    return load.path


def is_final(record: AttemptRecord) -> bool:
    """Whether the same request would get the same refusal again: none says when to come back."""
    return record.outcome is CallerOutcome.REFUSED and record.status in FINAL_STATUSES


def may_repeat(load: StandinLoad, number: int) -> bool:
    """Whether attempt ``number`` may be followed by another."""
    return number + 1 < load.max_attempts


def _is_answer(reply: StandinReply) -> bool:
    return 0 < reply.status < SUCCESS_BELOW or reply.status == EDITION_CHANGED_STATUS


def problem_of(outgoing: Outgoing, reply: StandinReply, sent: bytes) -> str:
    """Say why an answer isn't this request's whole answer; empty if it is, or is none."""
    if not _is_answer(reply):
        return ""
    if outgoing.wanted is not None:
        return _range_problem(outgoing, reply)
    return answers.problem_of(outgoing.identity, reply.body, reply.headers, sent)


def _range_problem(outgoing: Outgoing, reply: StandinReply) -> str:
    named = reply.headers.get(answers.HEADER_IDENTITY)
    if named != outgoing.identity:
        return f"answer names request {named!r}"
    if reply.status == EDITION_CHANGED_STATUS:
        return ""
    tag = reply.headers.get("etag", "")
    edition = tag.strip('"').rpartition("-")[2]
    if not edition.isdigit():
        return f"answer has no edition: {tag!r}"
    wanted = outgoing.wanted
    if reply.status == WHOLE_STATUS:
        # Instead of a range of the edition asked for: all of another one (RFC 9110, 13.1.5).
        wanted = answers.RangeRequest(first=0, last=outgoing.load.download_bytes - 1)
    elif outgoing.validator and tag != outgoing.validator:
        return f"edition changed from {outgoing.validator} to {tag}"
    if wanted is not None:
        content = answers.edition_bytes(outgoing.load.path, int(edition), wanted)
        if reply.body != content:
            return "range differs from its edition"
    return ""


def attempt_record(
    call: str, edge: str, begun: float, reply: StandinReply, problem: str
) -> AttemptRecord:
    """Return the record of an attempt that has just ended."""
    answered = _is_answer(reply)
    ran = "yes" if answered else reply.headers.get(HEADER_RAN, "unknown")
    outcome = CallerOutcome.FAILED
    if answered:
        outcome = CallerOutcome.ANSWERED
    elif ran == "no":
        outcome = CallerOutcome.REFUSED
    return AttemptRecord(
        call=call,
        edge=edge,
        begun=begun,
        ended=monotonic(),
        outcome=outcome,
        ran=ran,
        status=reply.status,
        reason=reply.headers.get(HEADER_REASON, reply.error),
        retry_after=_retry_after(reply),
        root=reply.headers.get(HEADER_ANSWER_ROOT, ""),
        digest=reply.headers.get(HEADER_ANSWER_DIGEST, ""),
        edition=reply.headers.get("etag", "") if answered else "",
        problem=problem,
    )


def _retry_after(reply: StandinReply) -> float:
    milliseconds = reply.headers.get(HEADER_RETRY_AFTER_MS, "")
    if milliseconds:
        return float(milliseconds) / 1000.0
    seconds = reply.headers.get("retry-after", "")
    return float(seconds) if seconds else 0.0
