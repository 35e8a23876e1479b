"""Faults and operator actions of a run, each at a given time.

Used in traces (see :mod:`finchshed.replay.trace`) and in campaigns. All times are in seconds.
``seconds`` of a fault is its duration.
"""

from typing import Annotated, TypeAlias

import msgspec

Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Probability: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class _Act(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Base of all acts, with the time of the act."""

    time: Seconds


class SlowService(_Act, frozen=True, tag="slow_service"):
    """Multiplies the service times of all back ends of ``service`` by ``factor``."""

    service: str
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    seconds: Seconds


class SlowEndpoint(_Act, frozen=True, tag="slow_endpoint"):
    """Multiplies the service times of one back end by ``factor``."""

    endpoint: str
    factor: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
    seconds: Seconds


class CrashBackEnd(_Act, frozen=True, tag="crash_back_end"):
    """Crashes a back end and restarts it, cold, after ``seconds``."""

    endpoint: str
    seconds: Seconds


class FreezeBackEnd(_Act, frozen=True, tag="freeze_back_end"):
    """Freezes a back end for ``seconds``."""

    endpoint: str
    seconds: Seconds


class CrashDaemon(_Act, frozen=True, tag="crash_daemon"):
    """Crashes a daemon and restarts it after ``seconds``."""

    node: str
    seconds: Seconds


class FreezeDaemon(_Act, frozen=True, tag="freeze_daemon"):
    """Freezes a daemon, as by SIGSTOP, for ``seconds``."""

    node: str
    seconds: Seconds


class CrashControl(_Act, frozen=True, tag="crash_control"):
    """Crashes a control node, which loses unsynced writes, and restarts it after ``seconds``.

    ``node`` of this and other acts on control nodes may be ``leader`` or ``follower``, which is
    resolved at the time of the act.

    With ``wipe_disk``, the node restarts with an empty disk.
    """

    node: str
    seconds: Seconds
    wipe_disk: bool = False


class FreezeControl(_Act, frozen=True, tag="freeze_control"):
    """Freezes a control node for ``seconds``."""

    node: str
    seconds: Seconds


class StopControl(_Act, frozen=True, tag="stop_control"):
    """Stops a control node after a leadership transfer, and restarts it after ``seconds``."""

    node: str
    seconds: Seconds


class CutNode(_Act, frozen=True, tag="cut_node"):
    """Blocks all messages to and from a node; with ``one_way``, only those to it.

    ``node`` is a daemon, an endpoint, an edge or a control node.
    """

    node: str
    seconds: Seconds
    one_way: bool = False


class CutZones(_Act, frozen=True, tag="cut_zones"):
    """Blocks messages from ``source`` to ``target``, and back unless ``one_way``."""

    source: str
    target: str
    seconds: Seconds
    one_way: bool = False


class SlowLink(_Act, frozen=True, tag="slow_link"):
    """Adds ``extra_seconds`` to the one-way delay between two zones or nodes."""

    source: str
    target: str
    extra_seconds: Seconds
    seconds: Seconds


class Duplicate(_Act, frozen=True, tag="duplicate"):
    """Delivers each message twice with this probability."""

    probability: Probability
    seconds: Seconds


class Reorder(_Act, frozen=True, tag="reorder"):
    """Delivers each message late and out of order with this probability."""

    probability: Probability
    seconds: Seconds


class Drain(_Act, frozen=True, tag="drain"):
    """Drains a back end, announced by ``sign``: ``answer``, ``operator`` or ``platform``."""

    endpoint: str
    sign: str


class StopPlanned(_Act, frozen=True, tag="stop_planned"):
    """Gracefully stops a back end and its daemon, and restarts them after ``seconds``."""

    endpoint: str
    seconds: Seconds


class Misreport(_Act, frozen=True, tag="misreport"):
    """Makes a back end report no load, and fail every request at once if ``fails_fast``."""

    endpoint: str
    seconds: Seconds
    fails_fast: bool = True


class Submit(_Act, frozen=True, tag="submit"):
    """Submits concurrent changes by ``operators`` operators, based on the same revision.

    Each changes the retry ratio of the policy. With ``resend``, each is sent again under the same
    identity, as if the first answer had been lost. ``times`` repeats this every ``every_seconds``,
    based on the latest revision each time.
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
