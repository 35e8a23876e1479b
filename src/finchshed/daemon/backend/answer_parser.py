"""Parses the answers received on one connection to the back end, with httptools (llhttp).

An extra answer, which belongs to an earlier request, may come in front of the one that is awaited.
The parser passes over extra answers if it is told to.
"""

from collections.abc import Callable, Sequence

import httptools

from finchshed.common.memory_budget import Holding
from finchshed.daemon.backend.addressee import Addressee, RawHeader
from finchshed.http.framing import FramingMeter
from finchshed.http.status import (
    FIRST_STATUS,
    LAST_STATUS,
    STATUS_NO_CONTENT,
    STATUS_NOT_MODIFIED,
    STATUS_OK,
)
from finchshed.runtime import clock

MAX_HEAD_BYTES = 65_536
"""Maximum size of an answer's status line and headers."""

PROTOCOL = b"HTTP/"
"""First bytes of an answer."""

VERSIONS = frozenset({"1.0", "1.1"})
"""Versions of HTTP that are spoken on these connections."""

MAX_EXTRA_ANSWERS = 8
"""Extra answers that are passed over for one request."""

HEADER_BYTES = 300
"""Memory of one header of an answer without its text: as received, and as forwarded."""

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"
BODILESS_STATUSES = frozenset({STATUS_NO_CONTENT, STATUS_NOT_MODIFIED})
FRAMING_HEADERS = frozenset({CONTENT_LENGTH, TRANSFER_ENCODING})


class AnswerParser:
    """Collects one answer at a time.

    Parameters
    ----------
    addressee_of
        Returns whose an answer with these headers is.
    holding
        Memory of the answer.

    Attributes
    ----------
    status, headers
        Status and headers of the answer; header names are in lower case.
    received
        Bytes received since the request was sent.
    head_received_at
        When the headers were complete, in monotonic seconds.
    is_identified
        Whether the answer names the request.
    is_past_head
        Whether the headers of the final answer are complete.
    is_chunked
        Whether the body comes in chunks.
    ends_with_connection
        Whether the body is delimited by the end of the connection.
    is_complete, is_too_large
        How the answer ended, so far.
    keeps_alive
        Whether the connection may be used again, as far as the complete answer tells.
    """

    def __init__(
        self, addressee_of: Callable[[Sequence[RawHeader]], Addressee], holding: Holding
    ) -> None:
        self.headers: list[RawHeader] = []
        self._head_memory = 0
        self._body = bytearray()
        self._addressee_of = addressee_of
        self._holding = holding
        self._parser = httptools.HttpResponseParser(self)
        self.begin(is_head=False, max_body_bytes=0, skips_extra=False)

    def begin(self, *, is_head: bool, max_body_bytes: int, skips_extra: bool) -> None:
        """Begin a new answer.

        Parameters
        ----------
        is_head
            Whether the request's method is HEAD.
        max_body_bytes
            Maximum size of the body.
        skips_extra
            Whether extra answers before it are passed over; otherwise they are a problem.
        """
        self._is_head = is_head
        self._max_body_bytes = max_body_bytes
        self._skips_extra = skips_extra
        self._extra_answers = 0
        self._passed_over = 0
        self._problem = ""
        self._start = b""
        self.received = 0
        self.is_complete = False
        self.is_too_large = False
        self.keeps_alive = False
        self._reset_answer()

    @property
    def can_end_with_connection(self) -> bool:
        """Whether the answer is whole if the connection ends now, in good order."""
        return self.is_past_head and self.ends_with_connection and not self.is_too_large

    def give_up(self) -> None:
        """Take nothing more of the answer."""
        self.is_too_large = True
        self.discard()

    def discard(self) -> None:
        """Free what was received of the answer."""
        self.headers = []
        self._head_memory = 0
        self.discard_body()

    def discard_body(self) -> None:
        """Free what was received of the body."""
        self._body = bytearray()
        self._holding.release()

    def feed(self, data: bytes) -> str:
        """Parse received bytes; return why they can't be used, or an empty string."""
        if len(self._start) < len(PROTOCOL):
            self._start = (self._start + data).lstrip(b"\r\n")[: len(PROTOCOL)]
            if not PROTOCOL.startswith(self._start):
                # The parser takes answers of other protocols, too.
                return "malformed answer: not HTTP"
        self.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                return f"malformed answer: {error}"
            self.keeps_alive = False
        if self._problem:
            return self._problem
        self._note_held()
        if self.is_complete:
            return ""
        if not self.is_past_head:
            is_too_long = self.received - self._passed_over > MAX_HEAD_BYTES
            return "head too large" if is_too_long else ""
        if self._framing.exceeds(self.received - self._passed_over, self._body_size):
            return "more framing than body"
        return ""

    def take_body(self) -> bytes:
        """Return the body received so far, and keep nothing of it."""
        body = bytes(self._body)
        self.discard_body()
        return body

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect bytes after the complete answer."""
        if self.is_complete:
            self.keeps_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; fields of a trailer are none (RFC 9110, 6.5.1)."""
        if self.is_complete or self.is_past_head:
            return
        name = name.lower()
        self.headers.append((name, value))
        self._head_memory += HEADER_BYTES + len(name) + len(value)
        if name in FRAMING_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Store the status and find out whose answer it is, unless it is interim (1xx)."""
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        self._problem = self._problem_of_head()
        if self._problem or self.status < STATUS_OK:
            return
        self.is_past_head = True
        self.head_received_at = clock.now()
        self.is_chunked = any(name == TRANSFER_ENCODING for name, _ in self.headers)
        self.ends_with_connection = not self._has_length
        self._judge()
        self._check_declared_length()
        if self._is_head and not self._problem and not self._is_skipping:
            self._complete(keeps_alive=False)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the size limit."""
        if self.is_complete or self.is_too_large or not self.is_past_head:
            return
        self._body_size += len(body)
        if self._body_size > self._max_body_bytes:
            self.is_too_large = True
        elif not self._is_skipping:
            self._body += body

    def on_message_complete(self) -> None:
        """Complete the answer, or discard an interim (1xx) or extra one."""
        if self.is_complete or self.is_too_large or self._problem:
            return
        if self._is_skipping:
            self._passed_over = self.received
        if not self.is_past_head or self._is_skipping:
            self._reset_answer()
            return
        # Valid only within the parser's callback for this answer.
        self._complete(keeps_alive=self._parser.should_keep_alive() and not self._extra_answers)

    def _note_held(self) -> None:
        """Count what the answer takes; one for which no memory is left is given up."""
        if not self._holding.resize(self._head_memory + len(self._body)):
            self.is_too_large = True
            self.is_complete = False

    def _problem_of_head(self) -> str:
        """Return why the head isn't that of an answer, or an empty string.

        The parser lets pass what is checked here.
        """
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            return f"malformed answer: HTTP version {version}"
        if not FIRST_STATUS <= self.status <= LAST_STATUS:
            return f"malformed answer: status {self.status:03}"
        codings = [value for name, value in self.headers if name == TRANSFER_ENCODING]
        if codings and [coding.lower() for coding in codings] != [CHUNKED]:
            return "malformed answer: unknown transfer coding"
        return ""

    def _check_declared_length(self) -> None:
        """Give an answer up whose body would be too large, before it is received."""
        declared = [value for name, value in self.headers if name == CONTENT_LENGTH]
        has_body = not self._is_head and self.status not in BODILESS_STATUSES
        if declared and has_body and int(declared[0]) > self._max_body_bytes:
            self.is_too_large = True

    def _judge(self) -> None:
        """Find out whose answer it is, and whether it is passed over or ends the request."""
        addressee = self._addressee_of(self.headers)
        self.is_identified = addressee is Addressee.REQUEST
        if addressee in {Addressee.REQUEST, Addressee.UNNAMED}:
            return
        self._extra_answers += 1
        has_end = not self.ends_with_connection or self.status in BODILESS_STATUSES
        is_bounded = has_end and self._extra_answers <= MAX_EXTRA_ANSWERS
        if addressee is Addressee.EARLIER_REQUEST and self._skips_extra and is_bounded:
            self._is_skipping = True
        else:
            self._problem = "the answer is another request's"

    def _complete(self, *, keeps_alive: bool) -> None:
        self.is_complete = True
        self.keeps_alive = keeps_alive

    def _reset_answer(self) -> None:
        self.status = 0
        self.head_received_at = 0.0
        self.is_identified = False
        self.is_past_head = False
        self.is_chunked = False
        self.ends_with_connection = False
        self.discard()
        self._body_size = 0
        self._framing = FramingMeter()
        self._has_length = False
        self._is_skipping = False
