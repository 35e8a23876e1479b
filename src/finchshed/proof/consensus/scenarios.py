"""The scenarios by name."""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.proof.consensus.disk_faults import (
    all_restarted,
    bit_rot,
    crashes,
    full_disks,
    lost_disks,
    second_loss,
)
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.link_faults import (
    clocks,
    flapping_links,
    formation,
    freezes,
    leader_changes,
    lossy_links,
    partitions,
    silent_leader,
)
from finchshed.proof.consensus.membership_faults import membership, replaced_while_cut, standbys
from finchshed.proof.consensus.scheduler import Process
from finchshed.proof.consensus.storm import storm
from finchshed.proof.consensus.tolerated_losses import (
    all_off_with_disks_lost,
    losses_at_once,
    replaced_in_a_row,
)

Inject: TypeAlias = Callable[[Group], Process]


class GroupSize(msgspec.Struct, frozen=True):
    """Machines of a group that grows by itself, and how many of them it must be able to lose."""

    machines: int
    tolerated_failures: int


DECLARED_SIZES = (GroupSize(4, 1), GroupSize(6, 1), GroupSize(6, 2), GroupSize(12, 2))
"""Sizes of the deployments known, and one between them."""


class Scenario(msgspec.Struct, frozen=True):
    """One kind of failure.

    Attributes
    ----------
    inject
        Brings the failure about; the process ends with it.
    spares
        Nodes that run and are no members at the start.
    clients
        Clients that work at the same time.
    from_start
        The faults begin with the first start, before the group is formed.
    sizes
        Sizes of groups that grow from three initial voters; a seed has one of them. Empty: 3 or 5
        initial voters and ``spares``.
    """

    summary: str
    inject: Inject
    spares: int = 0
    clients: int = 3
    from_start: bool = False
    sizes: tuple[GroupSize, ...] = ()


SCENARIOS: Mapping[str, Scenario] = {
    "formation": Scenario("a disturbed first start", formation, from_start=True),
    "lossy-links": Scenario("messages lost, repeated, late, reordered", lossy_links),
    "partitions": Scenario("splits and one-way cuts", partitions),
    "silent-leader": Scenario("the leader cut off in silence for minutes", silent_leader),
    "flapping-links": Scenario("links that come and go", flapping_links),
    "leader-changes": Scenario("each leader taken out soon", leader_changes, clients=8),
    "freezes": Scenario("processes stopped and continued", freezes),
    "crashes": Scenario("kills and power cuts in the middle of writes", crashes),
    "all-restarted": Scenario("all machines lose power at once", all_restarted),
    "bit-rot": Scenario("damage of synced data", bit_rot),
    "full-disks": Scenario("disks without room", full_disks),
    "lost-disks": Scenario("disks lost one after the other", lost_disks),
    "second-loss": Scenario("a second machine lost during a repair", second_loss),
    "clocks": Scenario("clocks that step and drift", clocks),
    "membership": Scenario("members added and removed during cuts", membership, spares=2),
    "standbys": Scenario("voters away for long, standbys in their places", standbys, spares=2),
    "replaced-while-cut": Scenario("a name given to a new machine too soon", replaced_while_cut),
    "losses-at-once": Scenario(
        "as many machines lost at once as must be borne", losses_at_once, sizes=DECLARED_SIZES
    ),
    "all-off-with-disks-lost": Scenario(
        "all off at once, as many disks lost as must be borne",
        all_off_with_disks_lost,
        sizes=DECLARED_SIZES,
    ),
    "replaced-in-a-row": Scenario(
        "the initial voters replaced by new machines", replaced_in_a_row, sizes=DECLARED_SIZES
    ),
    "storm": Scenario("all of these together", storm, spares=1),
}
