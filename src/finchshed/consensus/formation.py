"""Initial group formation, and announcements of nodes that are not members.

On first start no node knows the disk incarnations of the initial voters. The initial voter with
the lowest name forms the group once *every* initial voter has announced itself with an empty disk,
in reply to an announcement of the former's current incarnation. A voter that formed a group, lost
its disk and restarted therefore cannot form a second group: any node that holds an entry of the
first one says so in its reply, however late older announcements arrive. If no node holds an entry,
both groups may be formed, but nothing is committed in the first. Their first entries have random
terms, so the ordinary election rules decide between them.

A node keeps announcing itself while it knows no leader, or while no membership it knows contains
its identity, since the entry that added it may have been truncated.
"""

import math

from finchshed.consensus.election import start_election
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import (
    InitialMember,
    Member,
    MemberRole,
    Membership,
    encode_membership,
)
from finchshed.consensus.messages import NodeAnnouncement
from finchshed.consensus.state import Announcement, NodeState
from finchshed.storage.records import Entry, EntryKind, Vote

_MAX_FORMATION_TERM = 1_000_000
"""Upper bound of the random term of a group's first entry, which makes competing groups differ."""

_MAX_ANNOUNCEMENTS = 64
"""Maximum number of stored announcements; bounds memory."""

_ANNOUNCEMENT_RETENTION_SECONDS = 10.0
"""Age at which a stored announcement is dropped."""

_RECENT_INTERVALS = 4
"""Announcement intervals within which an initial voter must have announced itself."""


def is_member(state: NodeState) -> bool:
    """Whether the latest known membership contains this node."""
    return state.membership.find(state.identity) is not None


def next_announcement(state: NodeState) -> float:
    """Return when this node has to announce itself; infinite for a member that knows a leader."""
    is_known = is_member(state) and state.leader is not None
    return math.inf if is_known else state.announcement_due


def announce_self(state: NodeState) -> None:
    """Announce this node to all known nodes, if due."""
    if state.now < next_announcement(state):
        return
    state.announcement_due = state.now + state.options.announcement_interval_seconds
    names = {member.name for member in state.initial_members}
    names |= {member.identity.name for member in state.membership.members}
    for name in sorted(names - {state.identity.name}):
        answers = _latest_incarnation(state, name)
        announcement = NodeAnnouncement(
            state.identity, state.address, state.is_formed, answers, state.zone
        )
        state.send(NodeIdentity(name, ""), announcement)


def on_announcement(state: NodeState, sender: NodeIdentity, message: NodeAnnouncement) -> None:
    """Store an announcement and forward it to the leader."""
    if state.membership.find(message.identity) is not None:
        return
    _drop_stale_announcements(state)
    is_new = message.identity not in state.announcements
    if is_new and len(state.announcements) >= _MAX_ANNOUNCEMENTS:
        return
    if is_new and not state.is_formed:
        state.announcement_due = state.now
    answers = message.answers if sender == message.identity else ""
    announcement = Announcement(
        message.identity, message.address, message.formed, state.now, answers, message.zone
    )
    state.announcements[message.identity] = announcement
    leader = state.leader
    if sender == message.identity and leader is not None and leader != state.identity:
        state.send(leader, message)


def form_group(state: NodeState) -> None:
    """Form the group if this node initiates it and all initial voters have announced themselves."""
    if state.is_formed or not state.may_form or not _is_group_initiator(state):
        return
    members = [_announced_member(state, initial) for initial in state.initial_members]
    present = [member for member in members if member is not None]
    if len(present) < len(members):
        return
    membership = Membership()
    for member in present:
        membership = membership.with_member(member)
    term = state.rng.randint(1, _MAX_FORMATION_TERM)
    state.set_vote(Vote(term))
    data = encode_membership(membership)
    state.append(Entry(1, term, EntryKind.MEMBERSHIP, data))
    start_election(state)


def _is_group_initiator(state: NodeState) -> bool:
    names = [member.name for member in state.initial_members]
    return bool(names) and state.identity.name == min(names)


def _announced_member(state: NodeState, initial: InitialMember) -> Member | None:
    """Return an initial voter with its announced identity, or None if not recently announced."""
    if initial.name == state.identity.name:
        return Member(state.identity, initial.address, MemberRole.VOTER, zone=state.zone)
    since = state.now - _RECENT_INTERVALS * state.options.announcement_interval_seconds
    recent = [
        announcement
        for announcement in state.announcements.values()
        if announcement.identity.name == initial.name
        and announcement.received_at >= since
        and not announcement.formed
        and announcement.acknowledged_incarnation == state.identity.incarnation
    ]
    if not recent:
        return None
    latest = max(recent, key=lambda announcement: announcement.received_at)
    return Member(latest.identity, initial.address, MemberRole.VOTER, zone=latest.zone)


def _latest_incarnation(state: NodeState, name: str) -> str:
    announcements = [item for item in state.announcements.values() if item.identity.name == name]
    if not announcements:
        return ""
    return max(
        announcements, key=lambda announcement: announcement.received_at
    ).identity.incarnation


def _drop_stale_announcements(state: NodeState) -> None:
    since = state.now - _ANNOUNCEMENT_RETENTION_SECONDS
    state.announcements = {
        identity: announcement
        for identity, announcement in state.announcements.items()
        if announcement.received_at >= since
    }
