"""Expected outcomes of a trace, read from JSON lines."""

from pathlib import Path
from typing import Annotated, Final, Literal, TypeAlias

import msgspec

from finchshed.common.importance import Importance
from finchshed.emulator.acts import Seconds
from finchshed.proof.checks import CHECKS
from finchshed.replay.lines import Problems, decode_lines, read_lines, unknown_name_message
from finchshed.replay.trace import Trace

OUTCOMES_VERSION: Final = 1
ALL: Final = "all"

Fraction: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
ClassName: TypeAlias = Literal["sheddable", "normal", "high", "critical"]


class _Line(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Decoding options shared by all lines."""


class OutcomesHeader(_Line, frozen=True, tag="outcomes"):
    """First line of an outcomes file."""

    version: int
    trace: str = ""
    description: str = ""


class RequestOutcome(_Line, frozen=True, tag="request"):
    """Expected result of one root request over all attempts of its client.

    Attributes
    ----------
    result
        ``answered`` if an attempt got a complete response with a status below 400; otherwise the
        result of the last attempt: ``refused``, ``failed`` or ``abandoned``.
    within_seconds
        Maximum time from the first attempt to the response.
    runs_at_most, runs_at_least
        Bounds on executions of the request at the service it is sent to.
    """

    root: str
    result: Literal["answered", "refused", "failed", "abandoned", "any"] = "any"
    reason: str = ""
    within_seconds: Seconds | None = None
    runs_at_most: Count | None = None
    runs_at_least: Count | None = None


class ClassOutcome(_Line, frozen=True, tag="class"):
    """Expected results of the requests that arrive from ``begin`` until ``end``.

    An empty ``importance`` or ``kind`` matches all. Fractions count root requests, not attempts.
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
        """Return whether a request belongs to the class."""
        if self.kind and kind != self.kind:
            return False
        return not self.importance or importance.name.lower() == self.importance


class PropertyOutcome(_Line, frozen=True, tag="property"):
    """An invariant of the whole replay: the name of a check, or ``all``."""

    check: str = ALL


class RecoveryOutcome(_Line, frozen=True, tag="recovery"):
    """Goodput must return to the fraction ``share`` of its former rate.

    The former rate is measured from ``before_begin`` to ``before_end``; the recovery time counts
    from ``after``.
    """

    before_begin: Seconds
    before_end: Seconds
    after: Seconds
    within_seconds: Seconds
    share: Fraction = 0.95


class ChangeOutcome(_Line, frozen=True, tag="change"):
    """Expected number of accepted changes whose identifier starts with ``change_id``."""

    change_id: str
    accepted: Count | None = None
    accepted_at_least: Count | None = None


class RevisionOutcome(_Line, frozen=True, tag="revision"):
    """Minimum final revision of one daemon, or of every daemon if ``node`` is empty."""

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
    """An outcomes file; each statement comes with its line number."""

    header: OutcomesHeader
    statements: tuple[tuple[int, OutcomeLine], ...]


def encode_line(line: OutcomesHeader | OutcomeLine) -> bytes:
    """Return a line encoded as JSON, with its line feed."""
    return _encoder.encode(line) + b"\n"


def read_outcomes(path: Path, trace: Trace) -> Outcomes:
    """Read and validate the outcomes file of ``trace``.

    Raises
    ------
    SettingsError
        With one message for each problem, which names the file and the line.
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
    statements = list(decode_lines(rest, _line_decoder, problems))
    roots = {arrival.root for arrival in trace.arrivals}
    kinds = {kind.name for kind in trace.deployment.kinds}
    for number, statement in statements:
        if isinstance(statement, RequestOutcome) and statement.root not in roots:
            problems.add(number, f"root = {statement.root!r}: the trace has no such request")
        if isinstance(statement, ClassOutcome) and statement.kind not in kinds | {""}:
            problems.add(number, unknown_name_message("kind", statement.kind, list(kinds)))
        if isinstance(statement, PropertyOutcome) and statement.check not in {*CHECKS, ALL}:
            problems.add(number, unknown_name_message("check", statement.check, [*CHECKS, ALL]))
    if not statements:
        problems.add(first, "nothing is stated")
    problems.raise_any()
    assert header is not None
    return Outcomes(header, tuple(statements))
