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


class ConsensusScenario(msgspec.Struct, frozen=True):
    """One kind of failure.

    Attributes
    ----------
    inject
        Brings the failure about; the process ends with it.
    spares
        Nodes that run and are no members at the start.
    clients
        Clients that work at the same time.
    dense_readers
        Clients beside them that read more often than the leader sends heartbeats.
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
    dense_readers: int = 0
    from_start: bool = False
    sizes: tuple[GroupSize, ...] = ()


SCENARIOS: Mapping[str, ConsensusScenario] = {
    "formation": ConsensusScenario("a disturbed first start", formation, from_start=True),
    "lossy-links": ConsensusScenario("messages lost, repeated, late, reordered", lossy_links),
    "partitions": ConsensusScenario("splits and one-way cuts", partitions),
    "silent-leader": ConsensusScenario("the leader cut off in silence for minutes", silent_leader),
    "flapping-links": ConsensusScenario("links that come and go", flapping_links),
    "leader-changes": ConsensusScenario("each leader taken out soon", leader_changes, clients=8),
    "freezes": ConsensusScenario("processes stopped and continued", freezes),
    "crashes": ConsensusScenario("kills and power cuts in the middle of writes", crashes),
    "all-restarted": ConsensusScenario("all machines lose power at once", all_restarted),
    "bit-rot": ConsensusScenario("damage of synced data", bit_rot),
    "full-disks": ConsensusScenario("disks without room", full_disks),
    "lost-disks": ConsensusScenario("disks lost one after the other", lost_disks),
    "lost-disks-while-read": ConsensusScenario(
        "the same, read without a break", lost_disks, dense_readers=2
    ),
    "second-loss": ConsensusScenario("a second machine lost during a repair", second_loss),
    "clocks": ConsensusScenario("clocks that step and drift", clocks),
    "membership": ConsensusScenario("members added and removed during cuts", membership, spares=2),
    "standbys": ConsensusScenario(
        "voters away for long, standbys in their places", standbys, spares=2
    ),
    "replaced-while-cut": ConsensusScenario(
        "a name given to a new machine too soon", replaced_while_cut
    ),
    "losses-at-once": ConsensusScenario(
        "as many machines lost at once as must be borne", losses_at_once, sizes=DECLARED_SIZES
    ),
    "all-off-with-disks-lost": ConsensusScenario(
        "all off at once, as many disks lost as must be borne",
        all_off_with_disks_lost,
        sizes=DECLARED_SIZES,
    ),
    "replaced-in-a-row": ConsensusScenario(
        "the initial voters replaced by new machines", replaced_in_a_row, sizes=DECLARED_SIZES
    ),
    "storm": ConsensusScenario("all of these together", storm, spares=1),
}
