"""Interprets the status and headers of a back end's answer.

They show which request it answers, whether that ran, whether the back end is draining, the rate
limit that it names, and its load.
"""

from collections.abc import Sequence

from finchshed.common.context import HEADER_RAN
from finchshed.daemon.backend import addressee
from finchshed.daemon.backend.addressee import Addressee, RawHeader
from finchshed.daemon.backend.carried_requests import CarriedRequests
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BrokenCause,
    NotRunMark,
)
from finchshed.daemon.backend.rate_limit_header import read_rate_limit
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.request import end_to_end_headers
from finchshed.http.status import (
    STATUS_BAD_REQUEST,
    STATUS_MISDIRECTED_REQUEST,
    STATUS_MULTIPLE_CHOICES,
    STATUS_OK,
    STATUS_SERVICE_UNAVAILABLE,
)

_RAN = HEADER_RAN.encode("ascii")


class AnswerReader:
    """Validates and converts answers, given the deployment's header names."""

    def __init__(self, names: HeaderNames) -> None:
        self._request = names.request.encode("ascii")
        self._not_run = names.not_run.encode("ascii")
        self._seal = names.seal.encode("ascii")
        self._rate_limit = names.rate_limit.encode("ascii")
        self._draining = names.draining.encode("ascii")
        self._load = names.load.encode("ascii")

    def addressee_of(
        self, request: BackendRequest, headers: Sequence[RawHeader], carried: CarriedRequests
    ) -> Addressee:
        """Return whose an answer with ``headers`` is; see :func:`addressee.addressee_of`."""
        return addressee.addressee_of(request, headers, self._request, carried)

    def named_identity(self, headers: Sequence[RawHeader]) -> str:
        """Return the identity that an answer names; empty for none or more than one."""
        return addressee.named_identity(headers, self._request) or ""

    def read(
        self,
        request: BackendRequest,
        status: int,
        raw_headers: Sequence[RawHeader],
        body: bytes,
        head_received_at: float = 0.0,
    ) -> BackendAnswer | BackendBroken:
        """Return the answer to ``request``, or the reason why it isn't a valid one.

        ``head_received_at`` is in monotonic seconds.
        """
        headers_by_name = dict(raw_headers)
        is_success = STATUS_OK <= status < STATUS_MULTIPLE_CHOICES
        if request.request_id and self._seal and is_success and self._seal not in headers_by_name:
            return BackendBroken("the answer lacks the back end's seal", BrokenCause.INVALID)
        mark = self._not_run_mark(request, status, headers_by_name)
        if mark is not NotRunMark.NONE and status < STATUS_BAD_REQUEST:
            return BackendBroken(
                f"the answer has status {status} and says that nothing ran", BrokenCause.INVALID
            )
        return BackendAnswer(
            status=status,
            headers=end_to_end_headers(raw_headers),
            body=body,
            ran=mark is NotRunMark.NONE,
            draining=headers_by_name.get(self._draining, b"").strip() == b"1",
            rate_limit=read_rate_limit(
                [value for name, value in raw_headers if name == self._rate_limit]
            ),
            load=headers_by_name.get(self._load, b"").decode("latin-1"),
            head_received_at=head_received_at,
            not_run_mark=mark,
        )

    def _not_run_mark(
        self, request: BackendRequest, status: int, headers: dict[bytes, bytes]
    ) -> NotRunMark:
        if not request.request_id:
            is_refused = status == STATUS_SERVICE_UNAVAILABLE and headers.get(_RAN) == b"no"
            return NotRunMark.HEADER if is_refused else NotRunMark.NONE
        if self._not_run in headers:
            return NotRunMark.HEADER
        # Only the header is proof enough for a request that mustn't run twice.
        is_misdirected = request.is_repeatable and status == STATUS_MISDIRECTED_REQUEST
        return NotRunMark.STATUS if is_misdirected else NotRunMark.NONE
