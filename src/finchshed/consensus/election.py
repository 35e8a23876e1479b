"""Elections, with pre-vote and with respect for a leader that is there.

One vote in a term, for a candidate whose log is as complete (Raft, section 5.4.1); a pre-vote
before a term is raised; none while a leader is heard. Owns role, vote and ballots in the node's
state.
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
    """Whether this node could lead: a voter whose disk takes writes.

    A node whose own removal is not committed yet still stands: it may be the only one whose log
    others can accept (section 4.2.2 of the Raft dissertation). It doesn't vote for itself.
    """
    is_candidate = state.identity in state.counted_voters or (
        state.log.membership_index > state.commit_index
        and state.identity in state.log.previous_membership.counted_voters
    )
    return is_candidate and not state.disk_full


def start_pre_vote(state: NodeState) -> None:
    """Ask whether an election could be won, before disturbing anybody with a new term."""
    state.ballots = {state.identity}
    state.change_role(RaftRole.PRE_CANDIDATE, None)
    reset_election_timer(state)
    if _has_majority(state):
        start_election(state)
        return
    request = PreVoteRequest(state.term + 1, state.log.last_index, state.log.last_term)
    for voter in _other_voters(state):
        state.send(voter, request)


def start_election(state: NodeState, transfer: bool = False) -> None:
    """Stand for leader in a new term."""
    state.set_vote(Vote(state.term + 1, str(state.identity)))
    state.ballots = {state.identity}
    state.change_role(RaftRole.CANDIDATE, None)
    reset_election_timer(state)
    if _has_majority(state):
        _become_leader(state)
        return
    request = VoteRequest(state.term, state.log.last_index, state.log.last_term, transfer)
    for voter in _other_voters(state):
        state.send_when_durable(voter, request)


def on_pre_vote(state: NodeState, sender: NodeIdentity, message: PreVoteRequest) -> None:
    """Say whether a vote would be given."""
    granted = (
        message.term > state.term
        and not _hears_a_leader(state)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    term = message.term if granted else state.term
    state.send_when_durable(sender, PreVoteReply(term, granted))


def on_pre_vote_reply(state: NodeState, sender: NodeIdentity, message: PreVoteReply) -> None:
    """Count an answer."""
    if not message.granted:
        if message.term > state.term:
            become_follower(state, message.term, None)
        return
    if state.role is not RaftRole.PRE_CANDIDATE or message.term != state.term + 1:
        return
    state.ballots.add(sender)
    if _has_majority(state) and may_campaign(state):
        start_election(state)


def on_vote(state: NodeState, sender: NodeIdentity, message: VoteRequest) -> None:
    """Vote, at most once in a term, for a candidate whose log is as complete as this one."""
    if message.term > state.term:
        if _hears_a_leader(state) and not message.transfer:
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
    """Count a vote."""
    if message.term > state.term:
        become_follower(state, message.term, None)
        return
    if state.role is not RaftRole.CANDIDATE or message.term < state.term or not message.granted:
        return
    state.ballots.add(sender)
    if _has_majority(state) and may_campaign(state):
        _become_leader(state)


def on_timeout_now(state: NodeState, message: TimeoutNow) -> None:
    """Stand for leader at once: the leader hands over to this node."""
    if message.term == state.term and may_campaign(state) and state.role is RaftRole.FOLLOWER:
        start_election(state, transfer=True)


def _become_leader(state: NodeState) -> None:
    state.change_role(RaftRole.LEADER, state.identity)
    state.ballots.clear()
    leading = LeaderState(term_start_index=state.log.last_index + 1)
    leading.quorum_check_due = state.now + state.options.election_timeout_min_seconds
    state.leading = leading
    track_members(state, leading)
    # Earlier entries can be committed only through one of the own term.
    state.append(Entry(state.log.last_index + 1, state.term, EntryKind.NO_OP))
    send_heartbeats(state, leading)


def _other_voters(state: NodeState) -> list[NodeIdentity]:
    return [voter for voter in state.counted_voters if voter != state.identity]


def _has_majority(state: NodeState) -> bool:
    granted = sum(voter in state.ballots for voter in state.counted_voters)
    return granted >= state.quorum


def _hears_a_leader(state: NodeState) -> bool:
    if state.role is RaftRole.LEADER:
        return True
    since = state.now - state.options.election_timeout_min_seconds
    return state.leader is not None and state.leader_heard > since


def _is_up_to_date(state: NodeState, last_index: int, last_term: int) -> bool:
    return (last_term, last_index) >= (state.log.last_term, state.log.last_index)
