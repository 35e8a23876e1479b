"""Duties of a node that the passage of time alone makes due.

A node carries out what is due at the end of each step, after the events of that step, so events
never delay a duty, however dense they are. A host only has to take a step when none comes, see
:class:`~finchshed.consensus.step_timer.StepTimer`.

=================  =============================================================================
node               duties, with the time at which each is due
=================  =============================================================================
any                failing a read: its deadline
no leader known    announcing itself: the announcement interval after the last announcement
or no member
leader             heartbeats: the heartbeat interval after the last ones; checking the quorum and
                   the members: the heartbeat interval after the last check; ending a leadership
                   transfer or a voter removal: its deadline
all others         standing for election: the election timeout after the last sign of a leader
=================  =============================================================================
"""

import math

from finchshed.consensus import (
    election,
    formation,
    promotion_blocks,
    read_index,
    repair,
    replication,
    roles,
)
from finchshed.consensus.state import LeaderState, NodeState


def next_due(state: NodeState) -> float:
    """Return the time on the node's clock at which its next duty is due, in seconds."""
    leader_state = state.leader_state
    role_due = state.election_due if leader_state is None else _leader_due(state, leader_state)
    return min(read_index.next_expiry(state), formation.next_announcement(state), role_due)


def carry_out_due(state: NodeState) -> None:
    """Carry out the duties that are due.

    If one of them is due, a leader makes its checks as well. They then share a step with the
    heartbeats, and an idle leader takes one step for both.
    """
    if state.now < next_due(state):
        return
    read_index.expire_reads(state)
    formation.announce_self(state)
    leader_state = state.leader_state
    if leader_state is not None:
        _lead(state, leader_state)
    elif state.now >= state.election_due:
        _stand_for_election(state)


def _leader_due(state: NodeState, leader_state: LeaderState) -> float:
    check_due = leader_state.checked_at + state.options.heartbeat_interval_seconds
    transfer, change = leader_state.transfer, leader_state.pending_change
    return min(
        leader_state.heartbeat_due,
        check_due,
        math.inf if transfer is None else transfer.deadline,
        math.inf if change is None else change.deadline,
    )


def _lead(state: NodeState, leader_state: LeaderState) -> None:
    leader_state.checked_at = state.now
    if not replication.has_quorum_contact(state, leader_state):
        roles.become_follower(state, state.term, None)
        return
    if leader_state.transfer is not None and state.now >= leader_state.transfer.deadline:
        leader_state.transfer = None
    if state.now >= leader_state.heartbeat_due:
        replication.send_heartbeats(state, leader_state)
    repair.append_next_change(state, leader_state)
    promotion_blocks.report_promotion_blocks(state, leader_state)


def _stand_for_election(state: NodeState) -> None:
    if election.may_campaign(state):
        election.start_pre_vote(state)
    else:
        # Resets the election timer, which would stay due.
        roles.become_follower(state, state.term, None)
