"""Faults and operators' acts that a run is given, at stated times.

The same types stand in traces (see :mod:`finchshed.replay.trace`) and in campaigns over seeds.
All times are seconds. A fault with ``seconds`` ends by itself.
"""

from typing import Annotated, TypeAlias

import msgspec

Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Probability: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class _Act(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Base of all acts: when it happens."""

    time: Seconds


class SlowService(_Act, frozen=True, tag="slow_service"):
    """All back ends of ``service`` take ``factor`` times as long."""

    service: str
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    seconds: Seconds


class SlowEndpoint(_Act, frozen=True, tag="slow_endpoint"):
    """One back end takes ``factor`` times as long."""

    endpoint: str
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    seconds: Seconds


class CrashBackEnd(_Act, frozen=True, tag="crash_back_end"):
    """A back end is killed, and starts again, cold, after ``seconds``."""

    endpoint: str
    seconds: Seconds


class FreezeBackEnd(_Act, frozen=True, tag="freeze_back_end"):
    """A back end makes no progress for ``seconds``."""

    endpoint: str
    seconds: Seconds


class CrashDaemon(_Act, frozen=True, tag="crash_daemon"):
    """A daemon is killed and started again after ``seconds``."""

    node: str
    seconds: Seconds


class FreezeDaemon(_Act, frozen=True, tag="freeze_daemon"):
    """A daemon is stopped (SIGSTOP) for ``seconds``."""

    node: str
    seconds: Seconds


class CrashControl(_Act, frozen=True, tag="crash_control"):
    """A control node is killed, loses what it had not synced, and starts after ``seconds``.

    ``node`` of this and other acts on control nodes may be ``leader`` or ``follower``: whoever
    that is when the act happens.

    With ``wipe_disk`` it comes back with an empty disk.
    """

    node: str
    seconds: Seconds
    wipe_disk: bool = False


class FreezeControl(_Act, frozen=True, tag="freeze_control"):
    """A control node is stopped for ``seconds``."""

    node: str
    seconds: Seconds


class StopControl(_Act, frozen=True, tag="stop_control"):
    """A control node is asked to stop: it hands leadership over; it starts after ``seconds``."""

    node: str
    seconds: Seconds


class CutNode(_Act, frozen=True, tag="cut_node"):
    """No message reaches or leaves a node, in silence; with ``one_way`` it only can't be reached.

    ``node`` is a daemon, an endpoint, an edge or a control node.
    """

    node: str
    seconds: Seconds
    one_way: bool = False


class CutZones(_Act, frozen=True, tag="cut_zones"):
    """No message passes from ``source`` to ``target``, nor back unless ``one_way``."""

    source: str
    target: str
    seconds: Seconds
    one_way: bool = False


class SlowLink(_Act, frozen=True, tag="slow_link"):
    """Messages between two zones or nodes take ``extra_seconds`` more, each way."""

    source: str
    target: str
    extra_seconds: Seconds
    seconds: Seconds


class Duplicate(_Act, frozen=True, tag="duplicate"):
    """Each message is delivered twice with this probability."""

    probability: Probability
    seconds: Seconds


class Reorder(_Act, frozen=True, tag="reorder"):
    """Each message overtakes others with this probability."""

    probability: Probability
    seconds: Seconds


class Drain(_Act, frozen=True, tag="drain"):
    """A back end begins to leave. ``sign`` is ``answer``, ``operator`` or ``platform``."""

    endpoint: str
    sign: str


class StopPlanned(_Act, frozen=True, tag="stop_planned"):
    """A back end and its daemon are asked to stop, and start again ``seconds`` after they have."""

    endpoint: str
    seconds: Seconds


class Misreport(_Act, frozen=True, tag="misreport"):
    """A back end reports no load, and fails every request at once if ``fails_fast``."""

    endpoint: str
    seconds: Seconds
    fails_fast: bool = True


class Submit(_Act, frozen=True, tag="submit"):
    """``operators`` operators submit a change at once, against the same revision.

    Each changes the retry ratio of the policy. With ``resend`` each sends its change again under
    the same identity, as if the first answer had been lost. With ``times`` this is done again and
    again, each time against the revision of then, ``every_seconds`` apart.
    """

    change_id: str
    operators: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1
    resend: bool = False
    times: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1
    every_seconds: Seconds = 0.02


Act: TypeAlias = (
    SlowService
    | SlowEndpoint
    | CrashBackEnd
    | FreezeBackEnd
    | CrashDaemon
    | FreezeDaemon
    | CrashControl
    | FreezeControl
    | StopControl
    | CutNode
    | CutZones
    | SlowLink
    | Duplicate
    | Reorder
    | Drain
    | StopPlanned
    | Misreport
    | Submit
)
