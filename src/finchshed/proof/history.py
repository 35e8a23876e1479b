"""Events of recorded histories.

The emulator and a fleet of real processes record the same events, so the same checkers judge both.
Owns their schema; :mod:`finchshed.proof.history_file` owns the file that holds them.

Times are seconds since the start of the history, on one clock (the emulator's, or the monotonic
clock of the one machine a fleet runs on).

Calls are named by whoever makes them: an outside caller's attempt or a back end's call on to
another service. The name travels in the request header :data:`HEADER_CALL`, which daemons pass on
like any other header of the caller, so a back end can write it into its record of runs.
"""

import enum
from typing import Final, TypeAlias

import msgspec

from finchshed.common.importance import Importance

HEADER_CALL: Final = "proof-call"
"""Request header in which callers of a proof name their call."""

HEADER_ANSWER_ROOT: Final = "proof-root"
"""Answer header in which a back end of a proof repeats the request's root identity."""

HEADER_ANSWER_DIGEST: Final = "proof-digest"
"""Answer header with xxh3-64 (hexadecimal) of the body the back end meant to send."""


class CallResult(enum.StrEnum):
    """What a caller was told."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"
    """The caller gave up before it was told anything."""


class RunResult(enum.StrEnum):
    """How a run at a back end ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


class CallBegan(msgspec.Struct, frozen=True, omit_defaults=True, tag="call_began"):
    """A caller sent a request.

    ``parent`` is the run that makes the call, or empty for an outside caller. ``kind`` names the
    kind of request, for the report by class.
    """

    time: float
    call: str
    root: str
    service: str
    importance: Importance
    kind: str = ""
    caller: str = ""
    parent: str = ""
    key: str = ""
    session: str = ""


class CallEnded(msgspec.Struct, frozen=True, omit_defaults=True, tag="call_ended"):
    """A caller was told the outcome, or gave up.

    For an answer, ``status`` is the HTTP status, ``answer_root`` the root identity found in the
    answer, and ``whole`` says whether the body's length and digest were as its back end sent it.
    """

    time: float
    call: str
    result: CallResult
    reason: str = ""
    status: int = 0
    answer_root: str = ""
    whole: bool = True
    answer_digest: str = ""
    retry_after: float = 0.0


class AttemptSent(msgspec.Struct, frozen=True, tag="attempt_sent"):
    """A daemon sent an attempt of a call to an endpoint."""

    time: float
    call: str
    root: str
    endpoint: str


class RunBegan(msgspec.Struct, frozen=True, omit_defaults=True, tag="run_began"):
    """A back end began to run a request (its own record)."""

    time: float
    run: str
    call: str
    root: str
    service: str
    endpoint: str
    key: str = ""
    session: str = ""


class RunEnded(msgspec.Struct, frozen=True, tag="run_ended"):
    """A back end's run ended."""

    time: float
    run: str
    result: RunResult


class Admission(msgspec.Struct, frozen=True, omit_defaults=True, tag="admission"):
    """A daemon decided on a request: admitted to run, or shed for overload.

    ``endpoint`` is empty where a caller's daemon shed the request before sending it.
    """

    time: float
    endpoint: str
    service: str
    root: str
    importance: Importance
    admitted: bool
    in_session: bool = False


class EndpointLeaving(msgspec.Struct, frozen=True, tag="endpoint_leaving"):
    """First sign that an endpoint leaves. ``sign`` says which: answer, operator, platform, stop."""

    time: float
    endpoint: str
    sign: str


class EndpointReturned(msgspec.Struct, frozen=True, tag="endpoint_returned"):
    """An endpoint takes work again."""

    time: float
    endpoint: str


class PlannedStop(msgspec.Struct, frozen=True, tag="planned_stop"):
    """A process was asked to stop (SIGTERM). ``endpoint`` is the back end it is or serves."""

    time: float
    node: str
    endpoint: str = ""


class Fault(msgspec.Struct, frozen=True, omit_defaults=True, tag="fault"):
    """A fault was injected: began, or ended when ``ended``.

    ``targets`` are names of nodes, endpoints or zones. ``detail`` is the whole act as JSON, where
    the source of the history records it.
    """

    time: float
    fault: str
    targets: tuple[str, ...] = ()
    ended: bool = False
    detail: str = ""


class ChangeSubmitted(msgspec.Struct, frozen=True, tag="change_submitted"):
    """An operator's client sent a change."""

    time: float
    change_id: str
    operator: str
    expected_revision: int


class ChangeAnswered(msgspec.Struct, frozen=True, omit_defaults=True, tag="change_answered"):
    """An operator was told the result: ``accepted``, ``conflict``, ``invalid`` or ``unknown``."""

    time: float
    change_id: str
    result: str
    revision: int = 0
    digest: str = ""


class NodeStarted(msgspec.Struct, frozen=True, tag="node_started"):
    """A daemon process started."""

    time: float
    node: str


class NodeStopped(msgspec.Struct, frozen=True, tag="node_stopped"):
    """A daemon process is gone or frozen, for whatever reason."""

    time: float
    node: str


class RevisionInForce(msgspec.Struct, frozen=True, omit_defaults=True, tag="revision_in_force"):
    """A daemon acts on ``revision``. ``digest`` is that of the whole configuration, if known."""

    time: float
    node: str
    revision: int
    digest: str = ""


class ControlReachable(msgspec.Struct, frozen=True, tag="control_reachable"):
    """Whether a daemon can reach a majority of the control nodes, from now on."""

    time: float
    node: str
    reachable: bool


Event: TypeAlias = (
    CallBegan
    | CallEnded
    | AttemptSent
    | RunBegan
    | RunEnded
    | Admission
    | EndpointLeaving
    | EndpointReturned
    | PlannedStop
    | Fault
    | ChangeSubmitted
    | ChangeAnswered
    | NodeStarted
    | NodeStopped
    | RevisionInForce
    | ControlReachable
)
