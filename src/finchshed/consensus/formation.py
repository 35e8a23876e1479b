"""How a group is formed, and how a node that is no member makes itself known.

At the first start the disk incarnations of the initial voters are not known to anybody. The voter
of the lowest name forms the group once *every* initial voter has greeted it from an empty disk, in
answer to a greeting of its present incarnation. A voter that formed a group, lost its disk and
starts again can therefore not form a second one beside it: whoever holds an entry of the first
says so in that answer, however late earlier greetings arrive. If nobody holds one, both groups may
be formed, of which the first has nothing committed. Their first entries differ in their term,
which is drawn at random, so that they compete by the ordinary rules of elections.

A node that hears no leader keeps greeting, and so does one whose identity is in no
membership it knows of: the entry that took it in may have been dropped again.

Owns the greetings kept in the node's state. Relies on :mod:`finchshed.consensus.election` for the
election that follows.
"""

from finchshed.consensus.election import start_election
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import (
    InitialMember,
    Member,
    MemberRole,
    Membership,
    encode_membership,
)
from finchshed.consensus.messages import MemberGreeting
from finchshed.consensus.state import Greeting, NodeState
from finchshed.storage.records import Entry, EntryKind, Vote

_MAX_FORMATION_TERM = 1_000_000
"""Terms of first entries are drawn from 1 to this, so that two groups of one list compete. Chosen,
not measured."""

_MAX_GREETINGS = 64
"""Greetings of nodes that are no members kept at a time: bounds the memory. Chosen, not
measured."""

_GREETING_KEPT_SECONDS = 10.0
"""A greeting older than this is dropped. Chosen, not measured."""

_FRESH_INTERVALS = 4
"""An initial voter must have greeted within so many intervals between greetings. Chosen, not
measured."""


def is_member(state: NodeState) -> bool:
    """Whether the membership known here holds this node."""
    return state.membership.find(state.identity) is not None


def greet(state: NodeState) -> None:
    """Send a greeting to all nodes known, if nobody takes care of this node and one is due."""
    if state.now < state.hello_due or (is_member(state) and state.leader is not None):
        return
    state.hello_due = state.now + state.options.hello_interval_seconds
    names = {member.name for member in state.initial_members}
    names |= {member.identity.name for member in state.membership.members}
    for name in sorted(names - {state.identity.name}):
        answers = _latest_incarnation(state, name)
        hello = MemberGreeting(state.identity, state.address, state.is_formed, answers, state.zone)
        state.send(NodeIdentity(name, ""), hello)


def on_hello(state: NodeState, sender: NodeIdentity, message: MemberGreeting) -> None:
    """Note a greeting, and pass it on to the leader."""
    if state.membership.find(message.identity) is not None:
        return
    _forget_old_greetings(state)
    is_new = message.identity not in state.greetings
    if is_new and len(state.greetings) >= _MAX_GREETINGS:
        return
    if is_new and not state.is_formed:
        state.hello_due = state.now
    answers = message.answers if sender == message.identity else ""
    greeting = Greeting(
        message.identity, message.address, message.formed, state.now, answers, message.zone
    )
    state.greetings[message.identity] = greeting
    leader = state.leader
    if sender == message.identity and leader is not None and leader != state.identity:
        state.send(leader, message)


def form_group(state: NodeState) -> None:
    """Form the group if this node is the one to do it and all initial voters have greeted it."""
    if state.is_formed or not state.may_form or not _is_founder(state):
        return
    members = [_greeted(state, initial) for initial in state.initial_members]
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


def _is_founder(state: NodeState) -> bool:
    names = [member.name for member in state.initial_members]
    return bool(names) and state.identity.name == min(names)


def _greeted(state: NodeState, initial: InitialMember) -> Member | None:
    """Return an initial voter under the identity of its latest greeting."""
    if initial.name == state.identity.name:
        return Member(state.identity, initial.address, MemberRole.VOTER, zone=state.zone)
    since = state.now - _FRESH_INTERVALS * state.options.hello_interval_seconds
    fresh = [
        greeting
        for greeting in state.greetings.values()
        if greeting.identity.name == initial.name
        and greeting.heard >= since
        and not greeting.formed
        and greeting.answers == state.identity.incarnation
    ]
    if not fresh:
        return None
    latest = max(fresh, key=lambda greeting: greeting.heard)
    return Member(latest.identity, initial.address, MemberRole.VOTER, zone=latest.zone)


def _latest_incarnation(state: NodeState, name: str) -> str:
    greetings = [item for item in state.greetings.values() if item.identity.name == name]
    if not greetings:
        return ""
    return max(greetings, key=lambda greeting: greeting.heard).identity.incarnation


def _forget_old_greetings(state: NodeState) -> None:
    since = state.now - _GREETING_KEPT_SECONDS
    state.greetings = {
        identity: greeting
        for identity, greeting in state.greetings.items()
        if greeting.heard >= since
    }
