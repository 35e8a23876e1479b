"""Variants of the production code with one rule left out each, to prove that the campaign bites.

``python -m tests.consensus.broken_variants [MOST_SEEDS]`` prints after how many seeds each was
caught, and by which property.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from finchshed.consensus import (
    election,
    following,
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
from finchshed.storage.framing import Tail
from finchshed.storage.journal import Journal, encode_records
from finchshed.storage.records import Vote as StoredVote
from finchshed.storage.simulated_disk import SimulatedDisk
from tests.consensus.campaign_here import run_here


@dataclass(frozen=True)
class Variant:
    """One rule left out, and the scenario in which that must show.

    ``first_seed`` is one that shows it at the time of writing, so that the test is quick.
    """

    scenario: str
    target: object
    attribute: str
    replacement: Any
    first_seed: int = 0

    @contextmanager
    def applied(self) -> Iterator[None]:
        with mock.patch.object(self.target, self.attribute, self.replacement):
            yield


def on_vote_twice(state: NodeState, sender: Any, message: VoteRequest) -> None:
    if message.term > state.term:
        become_follower(state, message.term, None)
    granted = message.term == state.term and _is_up_to_date(
        state, message.last_index, message.last_term
    )
    if granted:
        state.set_vote(StoredVote(state.term, str(sender)))
    state.send_when_durable(sender, VoteReply(state.term, granted))


def commit_by_counting(state: NodeState, leading: LeaderState) -> None:
    held = sorted(
        (replication._match_of(state, leading, voter) for voter in state.counted_voters),
        reverse=True,
    )
    if len(held) >= state.quorum:
        advance_commit(state, max(state.commit_index, held[state.quorum - 1]))


def append_without_sync(journal: Journal, records: list[Any]) -> None:
    data = encode_records(records)
    journal._disk.append(journal.name, data)
    journal._size += len(data)


def append_everything(state: NodeState, sender: Any, message: Any) -> None:
    if not following.hear_leader(state, sender, message.term):
        return
    previous = message.previous_index
    if previous > state.log.last_index or previous < state.log.base_index:
        following._reject(state, sender, message, state.log.last_index + 1)
        return
    for entry in message.entries:
        following._take(state, entry)
    match_index = previous + len(message.entries)
    state.send_when_durable(sender, following.AppendAccepted(state.term, match_index))
    advance_commit(state, max(state.commit_index, min(message.commit, match_index)))


def remove_then_promote(state: NodeState, leading: LeaderState, learner: Any) -> Any:
    wanted = PROMOTED(state, leading, learner)
    if wanted is None or learner not in state.membership.members:
        return wanted
    earlier = [m for m in state.membership.named(learner.identity.name) if m != learner]
    voters = [m for m in earlier if m.role is MemberRole.VOTER]
    return state.membership.without(voters[0].identity) if voters else wanted


def read_at_commit_index(
    state: NodeState, leading: LeaderState, token: int, requester: Any, deadline: float
) -> None:
    read = PendingRead(token, requester, leading.round + 1, state.commit_index, deadline)
    leading.reads.append(read)


def sent_at_once(state: NodeState, receiver: Any, message: Any) -> None:
    state.send(receiver, message)


def vote_in_memory_only(state: NodeState, vote: StoredVote) -> None:
    state.vote = vote


PROMOTED = repair._promoted
LAST_ANSWER_COUNTS = membership_changes.keeps_whole_majority


def without_new_answers(
    state: NodeState, leading: LeaderState, wanted: Membership, _round: int = 0
) -> bool:
    return LAST_ANSWER_COUNTS(state, leading, wanted)


def always(value: Any) -> Callable[..., Any]:
    return lambda *_arguments, **_named: value


VARIANTS = {
    "vote twice in a term": Variant(
        "leader-changes", election, "on_vote", on_vote_twice, first_seed=1
    ),
    "vote for a shorter log": Variant(
        "partitions", election, "_is_up_to_date", always(True), first_seed=5
    ),
    "vote not stored": Variant(
        "all-restarted", NodeState, "set_vote", vote_in_memory_only, first_seed=0
    ),
    "acknowledge before sync": Variant(
        "all-restarted", NodeState, "send_when_durable", sent_at_once, first_seed=4
    ),
    "journal without sync": Variant(
        "all-restarted", Journal, "append", append_without_sync, first_seed=1
    ),
    "rename without sync of the folder": Variant(
        "all-restarted", SimulatedDisk, "sync_folder", always(None), first_seed=1
    ),
    "damage taken for a torn tail": Variant(
        "bit-rot", framing, "_judge", always(Tail.TORN), first_seed=4
    ),
    "incarnation forgotten": Variant(
        "lost-disks", log_store, "new_incarnation", always("same"), first_seed=0
    ),
    "older terms committed by counting": Variant(
        "leader-changes", replication, "update_commit", commit_by_counting, first_seed=135
    ),
    "entries taken without the one before": Variant(
        "partitions", following, "on_append", append_everything, first_seed=20
    ),
    "reads without a quorum": Variant(
        "leader-changes", read_index, "_confirmed_round", always(1 << 60), first_seed=111
    ),
    "reads before the own term's entry": Variant(
        "leader-changes", read_index, "_add", read_at_commit_index, first_seed=13
    ),
    "no check-quorum": Variant(
        "silent-leader", replication, "has_quorum_contact", always(True), first_seed=0
    ),
    "removal of a voter during a repair": Variant(
        "second-loss", membership_changes, "keeps_whole_majority", always(True), first_seed=5
    ),
    "removal on an old answer": Variant(
        "second-loss",
        membership_changes,
        "keeps_whole_majority",
        without_new_answers,
        first_seed=21,
    ),
    "old incarnation removed before the new is a voter": Variant(
        "second-loss", repair, "_promoted", remove_then_promote, first_seed=11
    ),
    "superseded incarnation still counted": Variant(
        "replaced-while-cut",
        Membership,
        "counted_voters",
        property(lambda membership: membership.voters),
        first_seed=5,
    ),
    "changes of members side by side": Variant(
        "membership", membership_changes, "blocked_by", always(None), first_seed=72
    ),
}


def caught_by(name: str, first_seed: int, most_seeds: int) -> ConsensusSummary:
    """Run seeds until one fails."""
    variant = VARIANTS[name]
    with variant.applied():
        return run_here(
            variant.scenario, range(first_seed, first_seed + most_seeds), stop_at_failure=True
        )


def main() -> None:
    most_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    for name, variant in VARIANTS.items():
        summary = caught_by(name, 0, most_seeds)
        what = summary.failures[0].violations[0] if summary.failures else "NOT CAUGHT"
        print(f"{name} | {variant.scenario} | {summary.seeds} | {what}", flush=True)


if __name__ == "__main__":
    main()
