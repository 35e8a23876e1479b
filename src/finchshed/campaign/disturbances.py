"""Kinds of faults of a campaign.

Each kind is a function that samples targets and times and returns the resulting disturbances.
:mod:`finchshed.campaign.scenarios` combines kinds into scenarios, where they may overlap or repeat.
"""

from collections.abc import Callable
from typing import Final, TypeAlias

from finchshed.campaign.sampler import CONTROL_NODES, FaultSampler
from finchshed.emulator import acts
from finchshed.emulator.callers import Surge

Disturbance: TypeAlias = acts.Act | Surge
Kind: TypeAlias = Callable[[FaultSampler], list[Disturbance]]

DRAIN_SIGNS: Final = ("answer", "operator", "platform")


def surge(sampler: FaultSampler) -> list[Disturbance]:
    """Multiply the arrival rate for a while."""
    factor = round(sampler.uniform(2.0, 8.0), 2)
    return [Surge(start=sampler.start_time(), seconds=sampler.uniform(0.5, 3.0), factor=factor)]


def slow_deep_service(sampler: FaultSampler) -> list[Disturbance]:
    """Slow down the service at the bottom of the call graphs."""
    return [
        acts.SlowService(
            time=sampler.start_time(),
            service=sampler.deployment.deep_service,
            factor=sampler.uniform(2.0, 8.0),
            seconds=sampler.uniform(),
        )
    ]


def surge_with_slow_service(sampler: FaultSampler) -> list[Disturbance]:
    """Slow down the deep service and raise the arrival rate at the same time."""
    time, seconds = sampler.start_time(), sampler.uniform(1.0, 3.0)
    slow = acts.SlowService(
        time=time,
        service=sampler.deployment.deep_service,
        factor=sampler.uniform(2.0, 6.0),
        seconds=seconds,
    )
    return [slow, Surge(start=time, seconds=seconds, factor=sampler.uniform(2.0, 8.0))]


def slow_back_end(sampler: FaultSampler) -> list[Disturbance]:
    """Slow down one back end."""
    return [
        acts.SlowEndpoint(
            time=sampler.start_time(),
            endpoint=sampler.choice(sampler.endpoints),
            factor=sampler.uniform(2.0, 10.0),
            seconds=sampler.uniform(),
        )
    ]


def zone_partition(sampler: FaultSampler) -> list[Disturbance]:
    """Partition one zone from all others, in one or both directions."""
    zone, _ = sampler.zone_pair()
    time, seconds, one_way = sampler.start_time(), sampler.uniform(), sampler.chance(0.3)
    cuts: list[Disturbance] = []
    for other in sampler.deployment.zones:
        if other != zone:
            cut = acts.CutZones(
                time=time, source=zone, target=other, seconds=seconds, one_way=one_way
            )
            cuts.append(cut)
    return cuts


def zone_pair_partition(sampler: FaultSampler) -> list[Disturbance]:
    """Partition two zones from each other, in one or both directions."""
    source, target = sampler.zone_pair()
    one_way = sampler.chance(0.5)
    return [
        acts.CutZones(
            time=sampler.start_time(),
            source=source,
            target=target,
            seconds=sampler.uniform(),
            one_way=one_way,
        )
    ]


def daemon_isolation(sampler: FaultSampler) -> list[Disturbance]:
    """Isolate the machine of one daemon, or drop only the traffic to it."""
    one_way = sampler.chance(0.5)
    return [
        acts.CutNode(
            time=sampler.start_time(),
            node=sampler.daemon_node(),
            seconds=sampler.uniform(),
            one_way=one_way,
        )
    ]


def slow_link(sampler: FaultSampler) -> list[Disturbance]:
    """Add latency between two zones."""
    source, target = sampler.zone_pair()
    return [
        acts.SlowLink(
            time=sampler.start_time(),
            source=source,
            target=target,
            extra_seconds=round(sampler.uniform(0.01, 0.4), 3),
            seconds=sampler.uniform(),
        )
    ]


def leader_isolation(sampler: FaultSampler) -> list[Disturbance]:
    """Isolate the leader of the control group for several seconds."""
    one_way = sampler.chance(0.3)
    return [
        acts.CutNode(
            time=sampler.start_time(),
            node="leader",
            seconds=sampler.uniform(2.0, 7.0),
            one_way=one_way,
        )
    ]


def control_crash(sampler: FaultSampler) -> list[Disturbance]:
    """Crash a control node and restart it with its disk intact."""
    return [
        acts.CrashControl(
            time=sampler.start_time(), node=sampler.control_node(), seconds=sampler.uniform()
        )
    ]


def control_freeze(sampler: FaultSampler) -> list[Disturbance]:
    """Pause a control node and resume it later with its state intact."""
    return [
        acts.FreezeControl(
            time=sampler.start_time(), node=sampler.control_node(), seconds=sampler.uniform()
        )
    ]


def control_disk_loss(sampler: FaultSampler) -> list[Disturbance]:
    """Crash a control node and restart it with an empty disk."""
    node = sampler.control_node()
    return [
        acts.CrashControl(
            time=sampler.start_time(), node=node, seconds=sampler.uniform(0.2, 2.0), wipe_disk=True
        )
    ]


def second_crash_during_recovery(sampler: FaultSampler) -> list[Disturbance]:
    """Crash a second control node while the first recovers from the loss of its disk."""
    first = sampler.disk_loss_node()
    second = sampler.choice([node for node in CONTROL_NODES if node != first])
    wipe_second = sampler.may_lose_disk(second) and sampler.chance(0.5)
    time, downtime = sampler.start_time(), sampler.uniform(0.2, 1.5)
    second_at = round(time + downtime + sampler.uniform(0.0, 2.0), 3)
    return [
        acts.CrashControl(time=time, node=first, seconds=downtime, wipe_disk=True),
        acts.CrashControl(
            time=second_at, node=second, seconds=sampler.uniform(0.5, 3.0), wipe_disk=wipe_second
        ),
    ]


def concurrent_changes(sampler: FaultSampler) -> list[Disturbance]:
    """Submit concurrent changes based on one revision, and resend some that were answered."""
    return [
        acts.Submit(
            time=sampler.start_time(),
            change_id=sampler.change_id(),
            operators=sampler.integer(2, 6),
            resend=sampler.chance(0.6),
        )
        for _ in range(sampler.integer(1, 4))
    ]


def daemon_crash(sampler: FaultSampler) -> list[Disturbance]:
    """Crash a daemon and restart it."""
    return [
        acts.CrashDaemon(
            time=sampler.start_time(), node=sampler.daemon_node(), seconds=sampler.uniform()
        )
    ]


def daemon_freeze(sampler: FaultSampler) -> list[Disturbance]:
    """Pause a daemon and resume it later with its state intact."""
    return [
        acts.FreezeDaemon(
            time=sampler.start_time(), node=sampler.daemon_node(), seconds=sampler.uniform()
        )
    ]


def back_end_crash(sampler: FaultSampler) -> list[Disturbance]:
    """Crash a back end and restart it cold, with longer service times."""
    endpoint = sampler.choice(sampler.endpoints)
    return [
        acts.CrashBackEnd(time=sampler.start_time(), endpoint=endpoint, seconds=sampler.uniform())
    ]


def back_end_freeze(sampler: FaultSampler) -> list[Disturbance]:
    """Pause a back end for a while."""
    endpoint = sampler.choice(sampler.endpoints)
    return [
        acts.FreezeBackEnd(time=sampler.start_time(), endpoint=endpoint, seconds=sampler.uniform())
    ]


def back_end_drain(sampler: FaultSampler) -> list[Disturbance]:
    """Drain a back end, announced through one drain source."""
    endpoint = sampler.choice(sampler.endpoints)
    return [
        acts.Drain(time=sampler.start_time(), endpoint=endpoint, sign=sampler.choice(DRAIN_SIGNS))
    ]


def misreported_load(sampler: FaultSampler) -> list[Disturbance]:
    """Make a back end report that it is idle, and in half of the cases fail every request."""
    return [
        acts.Misreport(
            time=sampler.start_time(),
            endpoint=sampler.choice(sampler.endpoints),
            seconds=sampler.uniform(),
            fails_fast=sampler.chance(0.5),
        )
    ]


def zone_outage(sampler: FaultSampler) -> list[Disturbance]:
    """Crash and restart a whole zone: its back ends, daemons, edge and control node."""
    zone, _ = sampler.zone_pair()
    time, seconds = sampler.start_time(), sampler.uniform(0.5, 3.0)
    disturbances: list[Disturbance] = [
        acts.CrashDaemon(
            time=time, node=f"edge-{zone}", seconds=seconds + sampler.uniform(0.0, 0.5)
        )
    ]
    for endpoint in sampler.endpoints_in(zone):
        downtime = round(seconds + sampler.uniform(0.0, 1.0), 3)
        disturbances.append(acts.CrashBackEnd(time=time, endpoint=endpoint, seconds=downtime))
        disturbances.append(acts.CrashDaemon(time=time, node=endpoint, seconds=downtime))
    index = sampler.deployment.zones.index(zone)
    if index < len(CONTROL_NODES):
        node = CONTROL_NODES[index]
        wipe_disk = sampler.may_lose_disk(node) and sampler.chance(0.5)
        disturbances.append(
            acts.CrashControl(time=time, node=node, seconds=seconds, wipe_disk=wipe_disk)
        )
    return disturbances


def graceful_restart(sampler: FaultSampler) -> list[Disturbance]:
    """Gracefully restart one back end and its daemon."""
    endpoint = sampler.choice(sampler.endpoints)
    return [
        acts.StopPlanned(
            time=sampler.start_time(), endpoint=endpoint, seconds=sampler.uniform(0.1, 1.0)
        )
    ]


def rolling_restart(sampler: FaultSampler) -> list[Disturbance]:
    """Gracefully restart several back ends with their daemons, and control nodes, in sequence."""
    time = sampler.start_time()
    interval = sampler.uniform(0.1, 0.6)
    disturbances: list[Disturbance] = []
    for number in range(sampler.integer(3, 8)):
        endpoint = sampler.endpoints[number * 3 % len(sampler.endpoints)]
        at = round(time + number * interval, 3)
        disturbances.append(
            acts.StopPlanned(time=at, endpoint=endpoint, seconds=sampler.uniform(0.1, 1.0))
        )
    for number in range(sampler.integer(0, 3)):
        at = round(time + number * 2.5, 3)
        disturbances.append(
            acts.StopControl(
                time=at, node=f"control-{number + 1}", seconds=sampler.uniform(0.1, 1.0)
            )
        )
    return disturbances


def duplicated_messages(sampler: FaultSampler) -> list[Disturbance]:
    """Deliver some messages twice, which TCP itself never does."""
    return [acts.Duplicate(time=sampler.start_time(), probability=0.1, seconds=sampler.uniform())]
