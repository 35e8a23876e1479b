"""Faults of a campaign, drawn at random from one seed.

Each kind of fault is a function of a :class:`Draw`. Kinds are gathered into scenarios in
:mod:`finchshed.campaign.scenarios`. A fault may come at any moment of the time given, alone,
together with others or twice.
"""

from collections.abc import Callable
from typing import Final, TypeAlias

from finchshed.campaign.draw import CONTROL_NODES, Draw
from finchshed.emulator import acts
from finchshed.emulator.callers import Surge

Disturbance: TypeAlias = acts.Act | Surge
Kind: TypeAlias = Callable[[Draw], list[Disturbance]]

SIGNS: Final = ("answer", "operator", "platform")


def surge(draw: Draw) -> list[Disturbance]:
    """Raise demand to a multiple of the ordinary."""
    factor = round(draw.seconds(2.0, 8.0), 2)
    return [Surge(start=draw.time(), seconds=draw.seconds(0.5, 3.0), factor=factor)]


def slow_deep_service(draw: Draw) -> list[Disturbance]:
    """Slow the service at the bottom of the call graphs."""
    return [
        acts.SlowService(
            time=draw.time(),
            service=draw.deployment.deep_service,
            factor=draw.seconds(2.0, 8.0),
            seconds=draw.seconds(),
        )
    ]


def surge_with_slow_service(draw: Draw) -> list[Disturbance]:
    """Raise demand at the moment at which the deep service slows."""
    time, seconds = draw.time(), draw.seconds(1.0, 3.0)
    slow = acts.SlowService(
        time=time,
        service=draw.deployment.deep_service,
        factor=draw.seconds(2.0, 6.0),
        seconds=seconds,
    )
    return [slow, Surge(start=time, seconds=seconds, factor=draw.seconds(2.0, 8.0))]


def slow_back_end(draw: Draw) -> list[Disturbance]:
    """Slow one back end."""
    return [
        acts.SlowEndpoint(
            time=draw.time(),
            endpoint=draw.one_of(draw.endpoints),
            factor=draw.seconds(2.0, 10.0),
            seconds=draw.seconds(),
        )
    ]


def zone_cut(draw: Draw) -> list[Disturbance]:
    """Cut one zone off from all others, or one way only."""
    zone, _ = draw.zones()
    time, seconds, one_way = draw.time(), draw.seconds(), draw.chance(0.3)
    cuts: list[Disturbance] = []
    for other in draw.deployment.zones:
        if other != zone:
            cut = acts.CutZones(
                time=time, source=zone, target=other, seconds=seconds, one_way=one_way
            )
            cuts.append(cut)
    return cuts


def pair_cut(draw: Draw) -> list[Disturbance]:
    """Cut two zones off from each other, or one way only."""
    source, target = draw.zones()
    one_way = draw.chance(0.5)
    return [
        acts.CutZones(
            time=draw.time(),
            source=source,
            target=target,
            seconds=draw.seconds(),
            one_way=one_way,
        )
    ]


def node_cut(draw: Draw) -> list[Disturbance]:
    """Cut one daemon's machine off, or let it send and not be reached."""
    one_way = draw.chance(0.5)
    return [
        acts.CutNode(time=draw.time(), node=draw.daemon(), seconds=draw.seconds(), one_way=one_way)
    ]


def slow_link(draw: Draw) -> list[Disturbance]:
    """Let messages between two zones take longer."""
    source, target = draw.zones()
    return [
        acts.SlowLink(
            time=draw.time(),
            source=source,
            target=target,
            extra_seconds=round(draw.seconds(0.01, 0.4), 3),
            seconds=draw.seconds(),
        )
    ]


def silent_leader(draw: Draw) -> list[Disturbance]:
    """Cut the leader of the control group off in silence, for long."""
    one_way = draw.chance(0.3)
    return [
        acts.CutNode(
            time=draw.time(), node="leader", seconds=draw.seconds(2.0, 7.0), one_way=one_way
        )
    ]


def control_kill(draw: Draw) -> list[Disturbance]:
    """Kill a control node, which comes back with its disk."""
    return [acts.CrashControl(time=draw.time(), node=draw.control(), seconds=draw.seconds())]


def control_freeze(draw: Draw) -> list[Disturbance]:
    """Stop a control node, which goes on later as if nothing had been."""
    return [acts.FreezeControl(time=draw.time(), node=draw.control(), seconds=draw.seconds())]


def disk_loss(draw: Draw) -> list[Disturbance]:
    """Kill a control machine, which comes back with an empty disk."""
    node = draw.control()
    return [
        acts.CrashControl(
            time=draw.time(), node=node, seconds=draw.seconds(0.2, 2.0), wipe_disk=True
        )
    ]


def second_loss_during_repair(draw: Draw) -> list[Disturbance]:
    """Lose a second control machine while the first, with an empty disk, catches up."""
    first = draw.disk()
    second = draw.one_of([node for node in CONTROL_NODES if node != first])
    wipes_both = draw.may_lose_disk(second) and draw.chance(0.5)
    time, away = draw.time(), draw.seconds(0.2, 1.5)
    again = round(time + away + draw.seconds(0.0, 2.0), 3)
    return [
        acts.CrashControl(time=time, node=first, seconds=away, wipe_disk=True),
        acts.CrashControl(
            time=again, node=second, seconds=draw.seconds(0.5, 3.0), wipe_disk=wipes_both
        ),
    ]


def config_race(draw: Draw) -> list[Disturbance]:
    """Let operators race each other under one revision, and resend what was answered."""
    return [
        acts.Submit(
            time=draw.time(),
            change_id=draw.change_id(),
            operators=draw.number(2, 6),
            resend=draw.chance(0.6),
        )
        for _ in range(draw.number(1, 4))
    ]


def daemon_kill(draw: Draw) -> list[Disturbance]:
    """Kill a daemon, which starts again."""
    return [acts.CrashDaemon(time=draw.time(), node=draw.daemon(), seconds=draw.seconds())]


def daemon_freeze(draw: Draw) -> list[Disturbance]:
    """Stop a daemon, which goes on later as if nothing had been."""
    return [acts.FreezeDaemon(time=draw.time(), node=draw.daemon(), seconds=draw.seconds())]


def back_end_kill(draw: Draw) -> list[Disturbance]:
    """Kill a back end, which starts again, cold."""
    endpoint = draw.one_of(draw.endpoints)
    return [acts.CrashBackEnd(time=draw.time(), endpoint=endpoint, seconds=draw.seconds())]


def back_end_freeze(draw: Draw) -> list[Disturbance]:
    """Let a back end make no progress for a while."""
    endpoint = draw.one_of(draw.endpoints)
    return [acts.FreezeBackEnd(time=draw.time(), endpoint=endpoint, seconds=draw.seconds())]


def back_end_leaves(draw: Draw) -> list[Disturbance]:
    """Let a back end begin to leave, known from one source."""
    endpoint = draw.one_of(draw.endpoints)
    return [acts.Drain(time=draw.time(), endpoint=endpoint, sign=draw.one_of(SIGNS))]


def misleading_load(draw: Draw) -> list[Disturbance]:
    """Let a back end say that it is idle, and perhaps fail all it is sent."""
    return [
        acts.Misreport(
            time=draw.time(),
            endpoint=draw.one_of(draw.endpoints),
            seconds=draw.seconds(),
            fails_fast=draw.chance(0.5),
        )
    ]


def zone_loss(draw: Draw) -> list[Disturbance]:
    """Lose a whole zone: its back ends, daemons, edge and control node, which all come back."""
    zone, _ = draw.zones()
    time, seconds = draw.time(), draw.seconds(0.5, 3.0)
    found: list[Disturbance] = [
        acts.CrashDaemon(time=time, node=f"edge-{zone}", seconds=seconds + draw.seconds(0.0, 0.5))
    ]
    for endpoint in draw.endpoints_in(zone):
        away = round(seconds + draw.seconds(0.0, 1.0), 3)
        found.append(acts.CrashBackEnd(time=time, endpoint=endpoint, seconds=away))
        found.append(acts.CrashDaemon(time=time, node=endpoint, seconds=away))
    number = draw.deployment.zones.index(zone)
    if number < len(CONTROL_NODES):
        node = CONTROL_NODES[number]
        wipes = draw.may_lose_disk(node) and draw.chance(0.5)
        found.append(acts.CrashControl(time=time, node=node, seconds=seconds, wipe_disk=wipes))
    return found


def planned_restart(draw: Draw) -> list[Disturbance]:
    """Restart one back end and its daemon as planned."""
    endpoint = draw.one_of(draw.endpoints)
    return [acts.StopPlanned(time=draw.time(), endpoint=endpoint, seconds=draw.seconds(0.1, 1.0))]


def rolling_restart(draw: Draw) -> list[Disturbance]:
    """Restart back ends with their daemons, and control nodes, one after another."""
    time = draw.time()
    pause = draw.seconds(0.1, 0.6)
    found: list[Disturbance] = []
    for number in range(draw.number(3, 8)):
        endpoint = draw.endpoints[number * 3 % len(draw.endpoints)]
        at = round(time + number * pause, 3)
        found.append(acts.StopPlanned(time=at, endpoint=endpoint, seconds=draw.seconds(0.1, 1.0)))
    for number in range(draw.number(0, 3)):
        at = round(time + number * 2.5, 3)
        found.append(
            acts.StopControl(time=at, node=f"control-{number + 1}", seconds=draw.seconds(0.1, 1.0))
        )
    return found


def duplicated_messages(draw: Draw) -> list[Disturbance]:
    """Deliver messages twice, which TCP doesn't do."""
    return [acts.Duplicate(time=draw.time(), probability=0.1, seconds=draw.seconds())]
