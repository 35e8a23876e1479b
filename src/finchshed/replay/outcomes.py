"""Stated outcomes of a trace, as JSON lines: by request, by class, by property, by change."""

from pathlib import Path
from typing import Annotated, Final, Literal, TypeAlias

import msgspec

from finchshed.common.importance import Importance
from finchshed.emulator.acts import Seconds
from finchshed.proof.checks import CHECKS
from finchshed.replay.lines import Problems, decode_all, read_lines, unknown
from finchshed.replay.trace import Trace

OUTCOMES_VERSION: Final = 1
ALL: Final = "all"

Fraction: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
ClassName: TypeAlias = Literal["sheddable", "normal", "high", "critical"]


class _Line(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Base of all lines."""


class OutcomesHeader(_Line, frozen=True, tag="outcomes"):
    """First line of a file of outcomes."""

    version: int
    trace: str = ""
    description: str = ""


class RequestOutcome(_Line, frozen=True, tag="request"):
    """What one root request must come to, over its client's attempts.

    Attributes
    ----------
    result
        ``answered`` if an attempt was answered whole with a status below 400; else that of the
        last attempt: ``refused``, ``failed``, or ``abandoned``.
    within_seconds
        Longest time from the first attempt to the answer.
    runs_at_most, runs_at_least
        Runs of the request at the service it is sent to.
    """

    root: str
    result: Literal["answered", "refused", "failed", "abandoned", "any"] = "any"
    reason: str = ""
    within_seconds: Seconds | None = None
    runs_at_most: Count | None = None
    runs_at_least: Count | None = None


class ClassOutcome(_Line, frozen=True, tag="class"):
    """What requests that arrive between two times must come to, by importance or kind.

    Both empty means all requests. Shares are of root requests, over their clients' attempts.
    """

    importance: ClassName | Literal[""] = ""
    kind: str = ""
    begin: Seconds = 0.0
    end: Seconds = 86_400.0
    arrived_at_least: Count = 1
    answered_at_least: Fraction | None = None
    answered_at_most: Fraction | None = None
    refused_at_most: Fraction | None = None
    failed_at_most: Fraction | None = None
    p99_seconds_at_most: Seconds | None = None
    attempts_mean_at_most: float | None = None

    def matches(self, importance: Importance, kind: str) -> bool:
        """Whether a request belongs to the class."""
        if self.kind and kind != self.kind:
            return False
        return not self.importance or importance.name.lower() == self.importance


class PropertyOutcome(_Line, frozen=True, tag="property"):
    """A property that must hold over the whole replay: the name of a checker, or ``all``."""

    check: str = ALL


class RecoveryOutcome(_Line, frozen=True, tag="recovery"):
    """Goodput must come back to a fraction of what it was before.

    ``before_begin .. before_end`` is ordinary load; the time counts from ``after``.
    """

    before_begin: Seconds
    before_end: Seconds
    after: Seconds
    within_seconds: Seconds
    share: Fraction = 0.95


class ChangeOutcome(_Line, frozen=True, tag="change"):
    """How many of the changes whose identity begins with ``change_id`` must be accepted."""

    change_id: str
    accepted: Count | None = None
    accepted_at_least: Count | None = None


class RevisionOutcome(_Line, frozen=True, tag="revision"):
    """The revision that a daemon, or with ``node`` empty every daemon, must hold at the end."""

    at_least: Count
    node: str = ""


OutcomeLine: TypeAlias = (
    RequestOutcome
    | ClassOutcome
    | PropertyOutcome
    | RecoveryOutcome
    | ChangeOutcome
    | RevisionOutcome
)

_header_decoder = msgspec.json.Decoder(OutcomesHeader)
_line_decoder: msgspec.json.Decoder[OutcomeLine] = msgspec.json.Decoder(OutcomeLine)
_encoder = msgspec.json.Encoder()


class Outcomes(msgspec.Struct, frozen=True):
    """A whole file: each statement with its line's number."""

    header: OutcomesHeader
    statements: tuple[tuple[int, OutcomeLine], ...]


def encode_line(line: OutcomesHeader | OutcomeLine) -> bytes:
    """Return a line as bytes with its line feed."""
    return _encoder.encode(line) + b"\n"


def read_outcomes(path: Path, trace: Trace) -> Outcomes:
    """Read outcomes stated for ``trace``.

    Raises
    ------
    SettingsError
        With one line for each problem, each with the file and the line's number.
    """
    (first, header_line), *rest = read_lines(path)
    problems = Problems(path)
    header = None
    try:
        header = _header_decoder.decode(header_line)
        if header.version != OUTCOMES_VERSION:
            text = f"version = {header.version}: this finchshed reads {OUTCOMES_VERSION}"
            problems.add(first, text)
        if header.trace and header.trace != trace.header.name:
            problems.add(first, f"trace = {header.trace!r}: the trace is {trace.header.name!r}")
    except msgspec.DecodeError as error:
        problems.add(first, f"header: {error}")
    statements = list(decode_all(rest, _line_decoder, problems))
    roots = {arrival.root for arrival in trace.arrivals}
    kinds = {kind.name for kind in trace.deployment.kinds}
    for number, statement in statements:
        if isinstance(statement, RequestOutcome) and statement.root not in roots:
            problems.add(number, f"root = {statement.root!r}: the trace has no such request")
        if isinstance(statement, ClassOutcome) and statement.kind not in kinds | {""}:
            problems.add(number, unknown("kind", statement.kind, list(kinds)))
        if isinstance(statement, PropertyOutcome) and statement.check not in {*CHECKS, ALL}:
            problems.add(number, unknown("check", statement.check, [*CHECKS, ALL]))
    if not statements:
        problems.add(first, "nothing is stated")
    problems.raise_any()
    assert header is not None
    return Outcomes(header, tuple(statements))
