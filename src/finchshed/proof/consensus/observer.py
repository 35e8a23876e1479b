"""Checks made at every step of every node, and counts of what the simulation brought about.

Checked are the properties of figure 3 of the Raft paper: election safety, log matching, leader
completeness and state machine safety.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

import xxhash

from finchshed.consensus.log import RaftLog
from finchshed.consensus.node import RaftNode
from finchshed.proof.consensus.scheduler import Scheduler
from finchshed.storage.records import Entry

_MOST_VIOLATIONS = 5
"""Violations kept of one run."""


class ObservedNode(Protocol):
    """What is looked at of a node."""

    @property
    def key(self) -> str:
        """Name of the machine."""
        ...

    @property
    def raft(self) -> RaftNode:
        """The production node."""
        ...

    @property
    def is_running(self) -> bool:
        """Whether the process runs, frozen or not."""
        ...


class Observer:
    """Watches the nodes of one simulation.

    Attributes
    ----------
    violations
        What was found to be broken, in words; empty if all held.
    committed
        Every entry known to be committed to any node, by index.
    counts
        How often something worth knowing happened.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.violations: list[str] = []
        self.committed: dict[int, Entry] = {}
        self.counts: Counter[str] = Counter()
        self._scheduler = scheduler
        self._leader_by_term: dict[int, str] = {}
        self._seen_commit: dict[str, int] = {}
        self._digest = xxhash.xxh3_64()

    @property
    def digest(self) -> str:
        """Digest of all steps so far."""
        return self._digest.hexdigest()

    def count(self, what: str) -> None:
        """Count something."""
        self.counts[what] += 1

    def note(self, text: str) -> None:
        """Take an event into the digest."""
        self._digest.update(f"{self._scheduler.now:.9f} {text}\n".encode())

    def violated(self, text: str) -> None:
        """Record a broken property."""
        if len(self.violations) < _MOST_VIOLATIONS:
            self.violations.append(f"{self._scheduler.now:.3f} s: {text}")

    def started(self, node: ObservedNode) -> None:
        """Take note of a start: what was committed in an earlier life is learnt anew."""
        self.note(f"start {node.raft.identity}")
        self._seen_commit[node.key] = 0

    def applying(self, node: ObservedNode, index: int, applied_index: int) -> None:
        """Check that a node applies entries in their order."""
        if index <= applied_index:
            self.violated(f"{node.key} applies entry {index} after {applied_index}")

    def elected(self, node: ObservedNode, term: int) -> None:
        """Check election safety and leader completeness."""
        self.count("election")
        identity = str(node.raft.identity)
        self.note(f"leader {identity} {term}")
        earlier = self._leader_by_term.setdefault(term, identity)
        if earlier != identity:
            self.violated(f"term {term} has two leaders: {earlier} and {identity}")
        log = node.raft.log
        for index, entry in self.committed.items():
            if entry.term < term and index > log.base_index and _held(log, index) != entry:
                self.violated(f"{identity} leads term {term} without committed entry {index}")
                return

    def stepped(self, node: ObservedNode) -> None:
        """Check state machine safety: at each index all nodes commit the same entry."""
        log = node.raft.log
        commit = node.raft.commit_index
        seen = self._seen_commit[node.key]
        for index in range(max(seen, log.base_index) + 1, commit + 1):
            entry = log.entry(index)
            earlier = self.committed.setdefault(index, entry)
            if earlier is entry:
                self.note(f"commit {node.key} {index} {entry.term}")
            elif earlier != entry:
                self.violated(f"{node.key} commits another entry {index} than others")
        self._seen_commit[node.key] = max(seen, commit)

    def check_log_matching(self, nodes: Sequence[ObservedNode]) -> None:
        """Check that logs which agree on the term of an entry agree on all up to it."""
        running = [node for node in nodes if node.is_running]
        for position, node in enumerate(running):
            for other in running[position + 1 :]:
                index = _first_mismatch(node.raft.log, other.raft.log)
                if index:
                    self.violated(f"logs of {node.key} and {other.key} differ at entry {index}")


def _held(log: RaftLog, index: int) -> Entry | None:
    return log.entry(index) if log.base_index < index <= log.last_index else None


def _first_mismatch(one: RaftLog, other: RaftLog) -> int:
    """Return an index that breaks log matching, or 0."""
    low = max(one.base_index, other.base_index) + 1
    high = min(one.last_index, other.last_index)
    agreed = False
    for index in range(high, low - 1, -1):
        mine, theirs = one.entry(index), other.entry(index)
        agreed = agreed or mine.term == theirs.term
        if agreed and mine != theirs:
            return index
    return 0
