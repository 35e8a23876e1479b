"""Fault actions of a scenario file and the bounds of their settings.

The fault injector executes them. Kinds and keys appear in stored scripts and must not change.
"""

import enum
from typing import Annotated, TypeAlias

import msgspec

from finchshed.configuration.resources import Name
from finchshed.standins.settings import LoadReporting

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]
Selector = Annotated[str, msgspec.Meta(pattern=r"^(\*|leader|follower|[a-z0-9][a-z0-9._-]{0,62})$")]
"""A process, a zone, ``*``, or the current ``leader`` or a ``follower`` of the control group."""


class LeavingSign(enum.StrEnum):
    """How the system first learns that a backend is leaving."""

    ANSWER = "answer"
    OPERATOR = "operator"
    PLATFORM = "platform"
    SILENCE = "silence"


class Action(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"
):
    """An action that starts ``at`` seconds after the callers start."""

    at: Seconds


class Kill(Action, frozen=True, kw_only=True, tag="kill"):
    """Kill a process with SIGKILL.

    Attributes
    ----------
    restart_after_seconds
        Delay before the process is started again; negative for never.
    wipe
        Whether to empty its data folder before the restart.
    """

    target: Selector
    restart_after_seconds: Annotated[float, msgspec.Meta(ge=-1.0, le=3600.0)] = 1.0
    wipe: bool = False


class Freeze(Action, frozen=True, kw_only=True, tag="freeze"):
    """Suspend a process (SIGSTOP) and resume it (SIGCONT) after ``duration_seconds``."""

    target: Selector
    duration_seconds: PositiveSeconds


class Restart(Action, frozen=True, kw_only=True, tag="restart"):
    """Stop a process with SIGTERM and start it ``down_seconds`` after it has exited.

    Stored scripts of storms contain ``down_seconds``, although no example sets it.
    """

    target: Selector
    down_seconds: Seconds = 0.0


class RollingRestart(Action, frozen=True, kw_only=True, tag="rolling_restart"):
    """Restart every control node, backend, daemon and edge.

    Control nodes restart one at a time. Then the services restart concurrently, each one endpoint
    at a time (backend, then daemon). Edges restart last, one at a time.
    """

    pause_seconds: Seconds = 0.5


class Slow(Action, frozen=True, kw_only=True, tag="slow"):
    """Multiply the service times of a service or of one endpoint by ``factor``."""

    target: Name
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    duration_seconds: PositiveSeconds


class MisreportLoad(Action, frozen=True, kw_only=True, tag="misreport"):
    """Have a backend misreport its load and, if ``failing``, fail every request immediately."""

    target: Name
    duration_seconds: PositiveSeconds
    report: LoadReporting = LoadReporting.ZERO
    failing: bool = True


class Leave(Action, frozen=True, kw_only=True, tag="leave"):
    """Have a backend leave, announced through a single signal."""

    target: Name
    sign: LeavingSign


class Edition(Action, frozen=True, kw_only=True, tag="edition"):
    """Publish new editions on all backends of a service.

    Attributes
    ----------
    edition
        Number of the first edition.
    times, every_seconds
        Number of consecutive editions to publish, and the pause after each.
    pause_seconds
        Pause between backends, during which they serve different editions.
    """

    target: Name
    edition: Annotated[int, msgspec.Meta(ge=1)]
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    every_seconds: Seconds = 0.0
    pause_seconds: Seconds = 0.0


class Cut(Action, frozen=True, kw_only=True, tag="cut"):
    """Block the traffic between two ends without closing connections.

    If ``one_way``, only traffic from ``source`` to ``target`` is blocked.
    """

    source: Selector
    target: Selector
    duration_seconds: PositiveSeconds
    one_way: bool = False


class Delay(Action, frozen=True, kw_only=True, tag="delay"):
    """Delay the traffic between two processes or zones, in both directions."""

    source: Selector
    target: Selector
    delay_seconds: PositiveSeconds
    duration_seconds: PositiveSeconds


class Throttle(Action, frozen=True, kw_only=True, tag="throttle"):
    """Limit the bandwidth between two processes or zones, in both directions."""

    source: Selector
    target: Selector
    bytes_per_second: Annotated[float, msgspec.Meta(gt=0.0)]
    duration_seconds: PositiveSeconds


class Reset(Action, frozen=True, kw_only=True, tag="reset"):
    """Reset the connections between two processes or zones."""

    source: Selector
    target: Selector


class FillDisk(Action, frozen=True, kw_only=True, tag="fill_disk"):
    """Simulate a full disk by limiting the size of a process's files."""

    target: Selector
    duration_seconds: PositiveSeconds


class ChangeConfiguration(Action, frozen=True, kw_only=True, tag="change"):
    """Start another operator that changes the policy ``times`` times, pausing before each."""

    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    pause_seconds: Seconds = 0.0


FaultAction: TypeAlias = (
    Kill
    | Freeze
    | Restart
    | RollingRestart
    | Slow
    | MisreportLoad
    | Leave
    | Edition
    | Cut
    | Delay
    | Throttle
    | Reset
    | FillDisk
    | ChangeConfiguration
)

LINK_ACTIONS = (Cut, Delay, Throttle, Reset)
"""Actions that require links to go through the relay."""
