"""What a fault script can do to a fleet, as typed tables of a scenario file.

Owns the kinds of acts and their bounds; the injector carries them out. The names of kinds and
keys are those of scripts that are stored, so they stay.
"""

import enum
from typing import Annotated, TypeAlias

import msgspec

from finchshed.configuration.resources import Name
from finchshed.standins.settings import LoadReporting

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]
Selector = Annotated[str, msgspec.Meta(pattern=r"^(\*|leader|follower|[a-z0-9][a-z0-9._-]{0,62})$")]
"""A process, a zone, or who is ``leader`` or a ``follower`` of the control group at that time."""


class Sign(enum.StrEnum):
    """From where the system first hears that a back end leaves."""

    ANSWER = "answer"
    OPERATOR = "operator"
    PLATFORM = "platform"
    SILENCE = "silence"


class Act(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """Something done ``at`` seconds after the callers start."""

    at: Seconds


class Kill(Act, frozen=True, kw_only=True, tag="kill"):
    """Kill a process at once (SIGKILL).

    Attributes
    ----------
    restart_after_seconds
        Start it again after so long; never, if negative.
    wipe
        Empty its data folder before it starts again.
    """

    target: Selector
    restart_after_seconds: Annotated[float, msgspec.Meta(ge=-1.0, le=3600.0)] = 1.0
    wipe: bool = False


class Freeze(Act, frozen=True, kw_only=True, tag="freeze"):
    """Stop a process from running (SIGSTOP) and let it go on (SIGCONT) after a while."""

    target: Selector
    duration_seconds: PositiveSeconds


class Restart(Act, frozen=True, kw_only=True, tag="restart"):
    """A planned restart: SIGTERM, wait until it has ended, start ``down_seconds`` later.

    No script that ships sets ``down_seconds``, but storms' stored scripts name it.
    """

    target: Selector
    down_seconds: Seconds = 0.0


class RollingRestart(Act, frozen=True, kw_only=True, tag="rolling_restart"):
    """Planned restarts of every control node, back end, daemon and edge.

    One control node after another, then one endpoint after another of each service (its back end,
    then its daemon), the services side by side, then one edge after another.
    """

    pause_seconds: Seconds = 0.5


class Slow(Act, frozen=True, kw_only=True, tag="slow"):
    """Make all back ends of a service, or one endpoint, take ``factor`` times longer."""

    target: Name
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    duration_seconds: PositiveSeconds


class MisreportLoad(Act, frozen=True, kw_only=True, tag="misreport"):
    """Have an endpoint's back end report zero or old load and, if ``failing``, fail at once."""

    target: Name
    duration_seconds: PositiveSeconds
    report: LoadReporting = LoadReporting.ZERO
    failing: bool = True


class Leave(Act, frozen=True, kw_only=True, tag="leave"):
    """Have a back end leave; the system hears of it from one sign only."""

    target: Name
    sign: Sign


class Edition(Act, frozen=True, kw_only=True, tag="edition"):
    """Publish new editions on all back ends of a service.

    Attributes
    ----------
    edition
        Number of the first one.
    times, every_seconds
        Publish so many, with consecutive numbers, so far apart.
    pause_seconds
        Pause between one back end and the next: meanwhile they hold different editions.
    """

    target: Name
    edition: Annotated[int, msgspec.Meta(ge=1)]
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    every_seconds: Seconds = 0.0
    pause_seconds: Seconds = 0.0


class Cut(Act, frozen=True, kw_only=True, tag="cut"):
    """Cut links in silence; one way only from ``source`` to ``target`` if ``one_way``."""

    source: Selector
    target: Selector
    duration_seconds: PositiveSeconds
    one_way: bool = False


class Delay(Act, frozen=True, kw_only=True, tag="delay"):
    """Let bytes between two processes or zones arrive later."""

    source: Selector
    target: Selector
    delay_seconds: PositiveSeconds
    duration_seconds: PositiveSeconds


class Throttle(Act, frozen=True, kw_only=True, tag="throttle"):
    """Let only so many bytes a second pass between two processes or zones."""

    source: Selector
    target: Selector
    bytes_per_second: Annotated[float, msgspec.Meta(gt=0.0)]
    duration_seconds: PositiveSeconds


class Reset(Act, frozen=True, kw_only=True, tag="reset"):
    """Reset the connections between two processes or zones."""

    source: Selector
    target: Selector


class FillDisk(Act, frozen=True, kw_only=True, tag="fill_disk"):
    """Let a process's files grow no further: appends fail as on a full disk."""

    target: Selector
    duration_seconds: PositiveSeconds


class ChangeConfiguration(Act, frozen=True, kw_only=True, tag="change"):
    """Have one more operator change the policy ``times`` times, with a pause before each."""

    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    pause_seconds: Seconds = 0.0


FaultAct: TypeAlias = (
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

LINK_ACTS = (Cut, Delay, Throttle, Reset)
"""Acts that need the links to go through the relay."""
