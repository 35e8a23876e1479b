"""Guards against duties that dense events put off for ever, as reads did with repairs.

The host modelled arms its timer anew after each step, so that it never fires while events are less
than a heartbeat interval apart.
"""

from collections.abc import Callable, Sequence

import pytest

from finchshed.consensus.effects import (
    CommitOutcomeUnknown,
    RaftRole,
    ReadFailed,
    RefusalCause,
    RequestRefused,
)
from finchshed.consensus.events import (
    ChangeMembership,
    Event,
    MessageReceived,
    Propose,
    Read,
    TransferLeadership,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import RemoveMember
from finchshed.consensus.messages import (
    Envelope,
    LeaderHeartbeat,
    LeaderHeartbeatReply,
    NodeAnnouncement,
)
from finchshed.consensus.node import RaftNode
from tests.consensus.direct_group import DirectGroup

CATCH_UP_SECONDS = 4.0
"""Time within which a machine that lost its disk must count again."""

READ_TOKEN = 1_000_000
"""Tokens from here on belong to the streams of events."""

Stream = Callable[[RaftNode, int], Event]


def read(_: RaftNode, number: int) -> Event:
    """Return a read."""
    return Read(READ_TOKEN + number)


def propose(_: RaftNode, number: int) -> Event:
    """Return a proposal; its write finishes in the next step."""
    return Propose(READ_TOKEN + number, b"change")


def message_for_an_earlier_incarnation(node: RaftNode, _: int) -> Event:
    """Return a message that the node drops, as a leader sends to a disk that was lost."""
    receiver = NodeIdentity(node.identity.name, "lost disk")
    return MessageReceived(Envelope(NodeIdentity("x", "1"), receiver, LeaderHeartbeat(1, 0, 0)))


def stale_message(node: RaftNode, _: int) -> Event:
    """Return a reply of an earlier term."""
    envelope = Envelope(NodeIdentity("x", "1"), node.identity, LeaderHeartbeatReply(0, 0))
    return MessageReceived(envelope)


def announcement(node: RaftNode, number: int) -> Event:
    """Return an announcement of a node that is no member."""
    sender = NodeIdentity("spare", "1")
    message = NodeAnnouncement(sender, "spare:1", formed=False)
    return MessageReceived(Envelope(sender, node.identity, message))


STREAMS: Sequence[Stream] = (
    read,
    propose,
    message_for_an_earlier_incarnation,
    stale_message,
    announcement,
)
GAPS_SECONDS = (0.0005, 0.005, 0.05, 0.099)


def run(
    group: DirectGroup,
    seconds: float,
    streams: dict[str, Stream],
    gap_seconds: float = 0.01,
    until: Callable[[], bool] = lambda: False,
) -> bool:
    """Send each named node an event every ``gap_seconds``; return whether ``until`` held."""
    end = group.now + seconds
    number = 0
    while group.now < end:
        group.now += gap_seconds
        number += 1
        for name, stream in streams.items():
            group.step(name, [stream(group.nodes[name], number)])
        group.run_due_timers()
        if until():
            return True
    return False


@pytest.mark.parametrize("gap_seconds", GAPS_SECONDS)
@pytest.mark.parametrize("stream", STREAMS)
def test_a_leader_checks_its_members_however_dense_events_are(
    stream: Stream, gap_seconds: float
) -> None:
    group = DirectGroup.formed()
    leader = group.leader
    oldest = 0.0

    def observe() -> bool:
        nonlocal oldest
        oldest = max(oldest, leader.leader_check_age_seconds)
        return False

    run(group, 2.0, {leader.identity.name: stream}, gap_seconds, observe)
    assert oldest <= group.options.heartbeat_interval_seconds + gap_seconds


@pytest.mark.parametrize("gap_seconds", GAPS_SECONDS)
@pytest.mark.parametrize("readers", ["leader", "followers", "all"])
def test_a_machine_that_lost_its_disk_votes_again_while_the_group_is_read(
    readers: str, gap_seconds: float
) -> None:
    group = DirectGroup.formed()
    leader = group.leader.identity.name
    lost, other = group.followers
    names = {"leader": [leader], "followers": [other], "all": [leader, lost, other]}[readers]
    streams = dict.fromkeys(names, read)
    run(group, 1.0, streams, gap_seconds)
    group.lose_disk(lost)
    identity = group.nodes[lost].identity
    assert run(group, CATCH_UP_SECONDS, streams, gap_seconds, lambda: group.is_voter(identity))


def test_two_disks_lost_one_after_the_other_while_the_group_is_read_leave_it_whole() -> None:
    group = DirectGroup.formed()
    for _ in range(2):
        lost = group.leader.identity.name
        streams = dict.fromkeys(group.nodes, read)
        run(group, 1.0, streams)
        group.lose_disk(lost)
        run(group, CATCH_UP_SECONDS, streams)
        assert group.is_voter(group.nodes[lost].identity)
    assert group.leader.commit_index == group.leader.last_index


@pytest.mark.parametrize("stream", [read, propose, announcement, stale_message])
def test_a_leader_cut_off_steps_down_however_dense_events_are(stream: Stream) -> None:
    group = DirectGroup.formed()
    leader = group.leader
    group.cut_off.add(leader.identity.name)
    allowed = (
        group.options.election_timeout_min_seconds + 2 * group.options.heartbeat_interval_seconds
    )
    stepped_down = run(
        group,
        allowed,
        {leader.identity.name: stream},
        until=lambda: leader.role is not RaftRole.LEADER,
    )
    assert stepped_down


@pytest.mark.parametrize("stream", [propose, announcement, stale_message])
def test_a_leader_sends_heartbeats_however_dense_events_are(stream: Stream) -> None:
    group = DirectGroup.formed()
    leader = group.leader
    run(group, 10.0, {leader.identity.name: stream})
    assert leader.role is RaftRole.LEADER
    assert [group.nodes[name].leader for name in group.followers] == [leader.identity] * 2


@pytest.mark.parametrize("stream", STREAMS)
def test_a_follower_stands_for_election_however_dense_events_are(stream: Stream) -> None:
    group = DirectGroup.formed()
    group.cut_off.add(group.leader.identity.name)
    followers = group.followers

    def is_replaced() -> bool:
        return any(group.nodes[name].role is RaftRole.LEADER for name in followers)

    allowed = 3 * group.options.election_timeout_max_seconds
    assert run(group, allowed, dict.fromkeys(followers, stream), until=is_replaced)


@pytest.mark.parametrize("stream", STREAMS)
def test_a_node_that_is_no_member_announces_itself_however_dense_events_are(
    stream: Stream,
) -> None:
    group = DirectGroup.formed()
    lost = group.followers[0]
    group.lose_disk(lost)
    identity = group.nodes[lost].identity
    admitted = run(
        group,
        CATCH_UP_SECONDS,
        {lost: stream},
        gap_seconds=0.0005,
        until=lambda: group.leader.membership.find(identity) is not None,
    )
    assert admitted


@pytest.mark.parametrize("stream", STREAMS)
def test_a_read_that_gets_no_answer_fails_in_time_however_dense_events_are(
    stream: Stream,
) -> None:
    group = DirectGroup.formed()
    follower = group.followers[0]
    group.cut_off.add(follower)
    group.step(follower, [Read(1)])

    def has_failed() -> bool:
        return ReadFailed(1) in group.reports[follower]

    allowed = group.options.read_timeout_seconds + 0.02
    assert run(group, allowed, {follower: stream}, until=has_failed)


@pytest.mark.parametrize("stream", [read, announcement, stale_message])
def test_a_leadership_transfer_ends_in_time_however_dense_events_are(stream: Stream) -> None:
    group = DirectGroup.formed()
    leader = group.leader
    silent, other = group.followers
    group.cut_off.add(silent)
    group.step(leader.identity.name, [Propose(1, b"change")])
    group.step(leader.identity.name, [TransferLeadership(group.nodes[silent].identity)])
    group.step(leader.identity.name, [Propose(2, b"change")])
    run(
        group,
        group.options.transfer_timeout_seconds + 0.02,
        {leader.identity.name: stream},
    )
    group.step(leader.identity.name, [Propose(3, b"change")])
    refused = [
        effect.token
        for effect in group.reports[leader.identity.name]
        if isinstance(effect, RequestRefused) and effect.token < READ_TOKEN
    ]
    assert refused == [2]
    assert other in group.nodes


@pytest.mark.parametrize("stream", [propose, announcement, stale_message])
def test_a_removal_without_answers_is_refused_in_time(stream: Stream) -> None:
    group = DirectGroup.formed()
    leader = group.leader
    removed, silent = group.followers
    group.cut_off.add(silent)
    group.step(leader.identity.name, [ChangeMembership(1, RemoveMember(removed))])

    def is_refused() -> bool:
        return any(
            isinstance(effect, RequestRefused)
            and effect.token == 1
            and effect.cause is RefusalCause.WOULD_LOSE_QUORUM
            for effect in group.reports[leader.identity.name]
        )

    allowed = group.options.read_timeout_seconds + 0.02
    assert run(group, allowed, {leader.identity.name: stream}, until=is_refused)
    assert not any(
        isinstance(effect, CommitOutcomeUnknown) for effect in group.reports[leader.identity.name]
    )
