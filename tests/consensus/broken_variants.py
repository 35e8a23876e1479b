"""Mutations of the production code, each with one rule removed, that the campaign must detect.

Run with ``python -m tests.consensus.broken_variants [MAX_SEEDS]``.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from finchshed.consensus import (
    election,
    follower,
    membership_changes,
    read_index,
    repair,
    replication,
)
from finchshed.consensus.election import _is_up_to_date
from finchshed.consensus.membership import MemberRole, Membership
from finchshed.consensus.messages import VoteReply, VoteRequest
from finchshed.consensus.roles import advance_commit, become_follower
from finchshed.consensus.state import LeaderState, NodeState, PendingRead
from finchshed.proof.consensus.campaign import ConsensusSummary
from finchshed.storage import framing, log_store
from finchshed.storage.framing import TailState
from finchshed.storage.journal import Journal, encode_records
from finchshed.storage.records import Vote as StoredVote
from finchshed.storage.simulated_disk import SimulatedDisk
from tests.consensus.in_process_campaign import run_in_process


@dataclass(frozen=True)
class BrokenVariant:
    """A patch that removes one rule, the scenario that must detect it, and a seed that does."""

    scenario: str
    target: object
    attribute: str
    replacement: Any
    first_seed: int = 0

    @contextmanager
    def applied(self) -> Iterator[None]:
        with mock.patch.object(self.target, self.attribute, self.replacement):
            yield


def grant_every_vote(state: NodeState, sender: Any, message: VoteRequest) -> None:
    if message.term > state.term:
        become_follower(state, message.term, None)
    granted = message.term == state.term and _is_up_to_date(
        state, message.last_index, message.last_term
    )
    if granted:
        state.set_vote(StoredVote(state.term, str(sender)))
    state.send_when_durable(sender, VoteReply(state.term, granted))


def commit_entries_of_any_term(state: NodeState, leader_state: LeaderState) -> None:
    match_indexes = sorted(
        (replication._match_index_of(state, leader_state, voter) for voter in state.counted_voters),
        reverse=True,
    )
    if len(match_indexes) >= state.quorum:
        advance_commit(state, max(state.commit_index, match_indexes[state.quorum - 1]))


def append_without_sync(journal: Journal, records: list[Any]) -> None:
    data = encode_records(records)
    journal._disk.append(journal.name, data)
    journal._size += len(data)


def append_without_previous_check(state: NodeState, sender: Any, message: Any) -> None:
    if not follower.accept_leader(state, sender, message.term):
        return
    previous = message.previous_index
    if previous > state.log.last_index or previous < state.log.base_index:
        follower._reject(state, sender, message, state.log.last_index + 1)
        return
    for entry in message.entries:
        follower._append_or_replace(state, entry)
    match_index = previous + len(message.entries)
    state.send_when_durable(sender, follower.AppendAccepted(state.term, match_index))
    advance_commit(state, max(state.commit_index, min(message.commit, match_index)))


def remove_then_promote(state: NodeState, leader_state: LeaderState, learner: Any) -> Any:
    target = WITH_LEARNER_PROMOTED(state, leader_state, learner)
    if target is None or learner not in state.membership.members:
        return target
    earlier = [m for m in state.membership.members_named(learner.identity.name) if m != learner]
    voters = [m for m in earlier if m.role is MemberRole.VOTER]
    return state.membership.without_member(voters[0].identity) if voters else target


def add_read_at_commit_index(
    state: NodeState, leader_state: LeaderState, token: int, requester: Any, deadline: float
) -> None:
    read = PendingRead(token, requester, leader_state.round + 1, state.commit_index, deadline)
    leader_state.reads.append(read)


def send_immediately(state: NodeState, receiver: Any, message: Any) -> None:
    state.send(receiver, message)


def set_vote_without_write(state: NodeState, vote: StoredVote) -> None:
    state.vote = vote


WITH_LEARNER_PROMOTED = repair.with_learner_promoted
KEEPS_HEALTHY_MAJORITY = membership_changes.keeps_healthy_majority


def keeps_majority_ignoring_round(
    state: NodeState, leader_state: LeaderState, target: Membership, _round: int = 0
) -> bool:
    return KEEPS_HEALTHY_MAJORITY(state, leader_state, target)


def return_constant(value: Any) -> Callable[..., Any]:
    return lambda *_arguments, **_named: value


VARIANTS = {
    "vote twice in a term": BrokenVariant(
        "leader-changes", election, "on_vote_request", grant_every_vote, first_seed=1
    ),
    "vote for a shorter log": BrokenVariant(
        "partitions", election, "_is_up_to_date", return_constant(True), first_seed=5
    ),
    "vote not stored": BrokenVariant(
        "all-restarted", NodeState, "set_vote", set_vote_without_write, first_seed=0
    ),
    "acknowledge before sync": BrokenVariant(
        "all-restarted", NodeState, "send_when_durable", send_immediately, first_seed=4
    ),
    "journal without sync": BrokenVariant(
        "all-restarted", Journal, "append", append_without_sync, first_seed=1
    ),
    "rename without sync of the folder": BrokenVariant(
        "all-restarted", SimulatedDisk, "sync_folder", return_constant(None), first_seed=1
    ),
    "damage taken for a torn tail": BrokenVariant(
        "bit-rot", framing, "_classify_tail", return_constant(TailState.TORN), first_seed=4
    ),
    "incarnation forgotten": BrokenVariant(
        "lost-disks", log_store, "new_incarnation", return_constant("same"), first_seed=0
    ),
    "older terms committed by counting": BrokenVariant(
        "leader-changes",
        replication,
        "update_commit_index",
        commit_entries_of_any_term,
        first_seed=8,
    ),
    "entries taken without the one before": BrokenVariant(
        "partitions", follower, "on_append", append_without_previous_check, first_seed=20
    ),
    "reads without a quorum": BrokenVariant(
        "leader-changes", read_index, "_confirmed_round", return_constant(1 << 60), first_seed=111
    ),
    "reads before the own term's entry": BrokenVariant(
        "leader-changes", read_index, "_add_pending_read", add_read_at_commit_index, first_seed=13
    ),
    "no check-quorum": BrokenVariant(
        "silent-leader", replication, "has_quorum_contact", return_constant(True), first_seed=0
    ),
    "removal of a voter during a repair": BrokenVariant(
        "second-loss",
        membership_changes,
        "keeps_healthy_majority",
        return_constant(True),
        first_seed=5,
    ),
    "removal on an old answer": BrokenVariant(
        "second-loss",
        membership_changes,
        "keeps_healthy_majority",
        keeps_majority_ignoring_round,
        first_seed=21,
    ),
    "old incarnation removed before the new is a voter": BrokenVariant(
        "second-loss", repair, "with_learner_promoted", remove_then_promote, first_seed=11
    ),
    "superseded incarnation still counted": BrokenVariant(
        "replaced-while-cut",
        Membership,
        "counted_voters",
        property(lambda membership: membership.voters),
        first_seed=5,
    ),
    "changes of members side by side": BrokenVariant(
        "membership", membership_changes, "blocking_cause", return_constant(None), first_seed=72
    ),
}


def run_until_caught(name: str, first_seed: int, max_seeds: int) -> ConsensusSummary:
    """Run up to ``max_seeds`` seeds of the variant's scenario and stop at the first failure."""
    variant = VARIANTS[name]
    with variant.applied():
        return run_in_process(
            variant.scenario, range(first_seed, first_seed + max_seeds), stop_at_failure=True
        )


def main() -> None:
    max_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    for name, variant in VARIANTS.items():
        summary = run_until_caught(name, 0, max_seeds)
        what = summary.failures[0].violations[0] if summary.failures else "NOT CAUGHT"
        print(f"{name} | {variant.scenario} | {summary.seeds} | {what}", flush=True)


if __name__ == "__main__":
    main()
