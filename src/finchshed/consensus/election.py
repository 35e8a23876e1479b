"""Leader election with pre-vote.

A node grants at most one vote per term, only to a candidate whose log is at least as up to date
(Raft, section 5.4.1), and none while it hears from a live leader. A node must win a pre-vote before
it increments the term. Leadership transfers skip both the pre-vote and the check for a live leader.
"""

from finchshed.consensus.effects import RaftRole
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import (
    PreVoteReply,
    PreVoteRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from finchshed.consensus.replication import send_heartbeats, track_members
from finchshed.consensus.roles import become_follower, reset_election_timer
from finchshed.consensus.state import LeaderState, NodeState
from finchshed.storage.records import Entry, EntryKind, Vote


def may_campaign(state: NodeState) -> bool:
    """Whether this node may stand for election: a voter whose disk accepts writes.

    A voter whose removal is not yet committed is eligible, because it may hold the only log that
    is sufficiently up to date (section 4.2.2 of the Raft dissertation). Its own vote is not
    counted.
    """
    is_eligible = state.identity in state.counted_voters or (
        state.log.membership_index > state.commit_index
        and state.identity in state.log.previous_membership.counted_voters
    )
    return is_eligible and not state.disk_full


def start_pre_vote(state: NodeState) -> None:
    """Ask the other voters whether an election could be won, without incrementing the term."""
    state.votes_received = {state.identity}
    state.change_role(RaftRole.PRE_CANDIDATE, None)
    reset_election_timer(state)
    if _has_majority(state):
        start_election(state)
        return
    request = PreVoteRequest(state.term + 1, state.log.last_index, state.log.last_term)
    for voter in _other_voters(state):
        state.send(voter, request)


def start_election(state: NodeState, transfer: bool = False) -> None:
    """Become a candidate in a new term and request votes."""
    state.set_vote(Vote(state.term + 1, str(state.identity)))
    state.votes_received = {state.identity}
    state.change_role(RaftRole.CANDIDATE, None)
    reset_election_timer(state)
    if _has_majority(state):
        _become_leader(state)
        return
    request = VoteRequest(state.term, state.log.last_index, state.log.last_term, transfer)
    for voter in _other_voters(state):
        state.send_when_durable(voter, request)


def on_pre_vote_request(state: NodeState, sender: NodeIdentity, message: PreVoteRequest) -> None:
    """Reply whether a vote would be granted."""
    granted = (
        message.term > state.term
        and not _has_live_leader(state)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    term = message.term if granted else state.term
    state.send_when_durable(sender, PreVoteReply(term, granted))


def on_pre_vote_reply(state: NodeState, sender: NodeIdentity, message: PreVoteReply) -> None:
    """Count a pre-vote; start the election once a majority granted one."""
    if not message.granted:
        if message.term > state.term:
            become_follower(state, message.term, None)
        return
    if state.role is not RaftRole.PRE_CANDIDATE or message.term != state.term + 1:
        return
    state.votes_received.add(sender)
    if _has_majority(state) and may_campaign(state):
        start_election(state)


def on_vote_request(state: NodeState, sender: NodeIdentity, message: VoteRequest) -> None:
    """Grant at most one vote per term, to a candidate whose log is at least as up to date."""
    if message.term > state.term:
        if _has_live_leader(state) and not message.transfer:
            return
        become_follower(state, message.term, None)
    granted = (
        message.term == state.term
        and state.vote.voted_for in ("", str(sender))
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    if granted:
        state.set_vote(Vote(state.term, str(sender)))
        reset_election_timer(state)
    state.send_when_durable(sender, VoteReply(state.term, granted))


def on_vote_reply(state: NodeState, sender: NodeIdentity, message: VoteReply) -> None:
    """Count a vote; become leader once a majority granted one."""
    if message.term > state.term:
        become_follower(state, message.term, None)
        return
    if state.role is not RaftRole.CANDIDATE or message.term < state.term or not message.granted:
        return
    state.votes_received.add(sender)
    if _has_majority(state) and may_campaign(state):
        _become_leader(state)


def on_timeout_now(state: NodeState, message: TimeoutNow) -> None:
    """Start an election at once, because the leader transfers leadership to this node."""
    if message.term == state.term and may_campaign(state) and state.role is RaftRole.FOLLOWER:
        start_election(state, transfer=True)


def _become_leader(state: NodeState) -> None:
    state.change_role(RaftRole.LEADER, state.identity)
    state.votes_received.clear()
    leader_state = LeaderState(state.log.last_index + 1, checked_at=state.now)
    state.leader_state = leader_state
    track_members(state, leader_state)
    # Entries of earlier terms are committed only through an entry of the current term.
    state.append(Entry(state.log.last_index + 1, state.term, EntryKind.NO_OP))
    send_heartbeats(state, leader_state)


def _other_voters(state: NodeState) -> list[NodeIdentity]:
    return [voter for voter in state.counted_voters if voter != state.identity]


def _has_majority(state: NodeState) -> bool:
    granted = sum(voter in state.votes_received for voter in state.counted_voters)
    return granted >= state.quorum


def _has_live_leader(state: NodeState) -> bool:
    if state.role is RaftRole.LEADER:
        return True
    since = state.now - state.options.election_timeout_min_seconds
    return state.leader is not None and state.leader_last_heard > since


def _is_up_to_date(state: NodeState, last_index: int, last_term: int) -> bool:
    return (last_term, last_index) >= (state.log.last_term, state.log.last_index)
