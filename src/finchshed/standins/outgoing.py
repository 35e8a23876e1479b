"""Requests of a simulated caller: headers, verification of replies, and outcomes.

Classifies each attempt as answered, refused or failed.
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
from finchshed.standins.downloads import FULL_CONTENT_STATUS, PRECONDITION_FAILED_STATUS
from finchshed.standins.records import AttemptRecord, CallerOutcome, monotonic
from finchshed.standins.settings import StandinLoad

FIRST_ERROR_STATUS = 400
"""Lowest status of client and server errors (RFC 9110, 15)."""

FINAL_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Statuses of refusals that a retry cannot change (RFC 9110, 15.5)."""


class StandinReply(msgspec.Struct, frozen=True):
    """An HTTP response; ``status`` is 0 if no complete response was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request, or one range of a download, sent by a caller."""

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
        """Identity that the response must echo: the idempotency key, or else the request ID.

        It is the same for all attempts, because an attempt may join an earlier one in progress
        and a retry of a keyed request gets the response of the attempt that ran.
        """
        return self.key or self.request

    def headers(self, session_endpoint: str = "") -> dict[str, str]:
        """Return the headers of an attempt.

        ``session_endpoint`` is the endpoint of its session, if an earlier response named one.
        """
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
        if self.session and session_endpoint:
            headers[HEADER_SESSION_AT] = session_endpoint
        if self.wanted is not None:
            headers["Range"] = f"bytes={self.wanted.first}-{self.wanted.last}"
        if self.validator and self.load.conditional:
            headers["If-Match"] = self.validator
        return headers


def request_target(load: StandinLoad) -> str:
    """Return the path and query to request."""
    if load.download_bytes:
        return f"{load.path}?size={load.download_bytes}"
    return load.path


def is_permanent_refusal(record: AttemptRecord) -> bool:
    """Whether a retry would be refused again with the same status."""
    return record.outcome is CallerOutcome.REFUSED and record.status in FINAL_STATUSES


def may_retry(load: StandinLoad, number: int) -> bool:
    """Whether the load allows another attempt after attempt ``number``, counted from 0."""
    return number + 1 < load.max_attempts


def _is_answered(reply: StandinReply) -> bool:
    return 0 < reply.status < FIRST_ERROR_STATUS or reply.status == PRECONDITION_FAILED_STATUS


def find_reply_problem(outgoing: OutgoingRequest, reply: StandinReply, sent: bytes) -> str:
    """Return why a reply is not the complete response to the request.

    The result is empty for a valid response, a refusal or a failure.
    """
    if not _is_answered(reply):
        return ""
    if outgoing.wanted is not None:
        return _range_problem(outgoing, reply)
    return answers.find_answer_problem(outgoing.identity, reply.body, reply.headers, sent)


def _range_problem(outgoing: OutgoingRequest, reply: StandinReply) -> str:
    reply_identity = reply.headers.get(answers.HEADER_IDENTITY)
    if reply_identity != outgoing.identity:
        return f"answer names request {reply_identity!r}"
    if reply.status == PRECONDITION_FAILED_STATUS:
        return ""
    tag = reply.headers.get("etag", "")
    edition = tag.strip('"').rpartition("-")[2]
    if not edition.isdigit():
        return f"answer has no edition: {tag!r}"
    wanted = outgoing.wanted
    if reply.status == FULL_CONTENT_STATUS:
        # If-Range failed: the reply is the complete new edition (RFC 9110, 13.1.5).
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
    """Return the record of an attempt that ends now."""
    answered = _is_answered(reply)
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
