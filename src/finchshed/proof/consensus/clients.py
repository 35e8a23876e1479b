"""Clients of the simulated group, which record what they asked and were told."""

import random

import msgspec

from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.linearizability import Operation
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.register import Change, ChangeResult, Reading
from finchshed.proof.consensus.requests import Answer, NotTaken, Undecided
from finchshed.proof.consensus.scheduler import Process

_THINK_SECONDS = (0.05, 0.8)
_LINK_SECONDS = (0.0005, 0.005)
_PATIENCE_SECONDS = 1.5
"""Longest wait for one answer, seconds."""
_GIVE_UP_SECONDS = 6.0
"""Longest time a change is tried, seconds."""
_PAUSE_SECONDS = (0.05, 0.4)
_DENSE_READ_PAUSES_SECONDS = (0.005, 0.02, 0.05)
"""Pauses between the reads of a :class:`DenseReader`; all are below the heartbeat interval."""
_CHANCE_OF_READ = 0.4
"""How often a client reads."""
_CHANCE_OF_STALE_REVISION = 0.2
"""How often a change names a revision too low."""
_CHANCE_OF_LOST_ANSWER = 0.05
"""How often an answer is lost."""
_CHANCE_OF_HINT = 0.7
"""How often a client follows the hint to the leader."""
_CHANCE_OF_HOME = 0.8
"""How often a client asks its own node first."""


class OperationHistory(msgspec.Struct):
    """What all clients saw.

    Attributes
    ----------
    operations
        Operations that had, or may have had, an effect, and reads that were answered.
    refused
        Changes of which every try was answered with "had no effect".
    """

    operations: list[Operation] = msgspec.field(default_factory=list)
    refused: list[Change] = msgspec.field(default_factory=list)


class Client:
    """Proposes changes and reads, one at a time, until told to stop.

    After a lost answer a change is sent again under the same identity, mostly to another node.

    Parameters
    ----------
    home
        A node to ask first, by preference.
    """

    def __init__(
        self,
        name: str,
        group: Group,
        history: OperationHistory,
        rng: random.Random,
        home: str | None = None,
    ) -> None:
        self._name = name
        self._group = group
        self._history = history
        self._rng = rng
        self._changes = 0
        self._known_revision = 0
        self._home = home
        self.is_stopped = False

    def run(self) -> Process:
        """Work until stopped."""
        while not self.is_stopped:
            yield self._group.scheduler.sleep(self._rng.uniform(*_THINK_SECONDS))
            if self._rng.random() < _CHANCE_OF_READ:
                yield from self.read()
            else:
                yield from self.change()

    def read(self) -> Process:
        """Read once at any node; the process returns what was read, or None."""
        started = self._group.scheduler.now
        answer = yield from self._ask(self._first_node(), None)
        if not isinstance(answer, Reading):
            return None
        self._known_revision = answer.revision
        self._record(None, answer, started)
        return answer

    def change(self) -> Process:
        """Propose a change until it is answered; the process returns the answer, or None."""
        self._changes += 1
        change = Change(f"{self._name}-{self._changes}", self._revision_to_name())
        started = self._group.scheduler.now
        may_have_effect = False
        node = self._first_node()
        while self._group.scheduler.now < started + _GIVE_UP_SECONDS:
            answer = yield from self._ask(node, change)
            if isinstance(answer, ChangeResult):
                self._known_revision = answer.revision
                self._record(change, answer, started)
                return answer
            may_have_effect = may_have_effect or not isinstance(answer, NotTaken)
            node = self._next_node(answer)
            yield self._group.scheduler.sleep(self._rng.uniform(*_PAUSE_SECONDS))
        if may_have_effect:
            self._record(change, None, started)
        else:
            self._history.refused.append(change)
        return None

    def _ask(self, node: SimulatedNode, change: Change | None) -> Process:
        """Send one request; the process returns the answer, or Undecided after a while."""
        scheduler = self._group.scheduler
        yield scheduler.sleep(self._rng.uniform(*_LINK_SECONDS))
        pending = node.read() if change is None else node.propose(change)
        yield pending | scheduler.sleep(_PATIENCE_SECONDS)
        answer: Answer = pending.value if pending.triggered else Undecided()
        if self._rng.random() < _CHANCE_OF_LOST_ANSWER:
            self._group.observer.count("lost_answer")
            return Undecided()
        yield scheduler.sleep(self._rng.uniform(*_LINK_SECONDS))
        return answer

    def _first_node(self) -> SimulatedNode:
        home = self._group.nodes.get(self._home) if self._home is not None else None
        if home is not None and self._rng.random() < _CHANCE_OF_HOME:
            return home
        return self._some_node()

    def _some_node(self) -> SimulatedNode:
        return self._rng.choice(list(self._group.nodes.values()))

    def _next_node(self, answer: Answer) -> SimulatedNode:
        if isinstance(answer, NotTaken) and self._rng.random() < _CHANCE_OF_HINT:
            return self._group.nodes.get(answer.leader) or self._some_node()
        return self._some_node()

    def _revision_to_name(self) -> int:
        stale = self._rng.random() < _CHANCE_OF_STALE_REVISION
        return max(0, self._known_revision - 1) if stale else self._known_revision

    def _record(
        self, change: Change | None, result: ChangeResult | Reading | None, started: float
    ) -> None:
        returned = float("inf") if result is None else self._group.scheduler.now
        operation = Operation(
            client=self._name,
            change=change,
            result=result,
            invoked=started,
            returned=returned,
        )
        self._history.operations.append(operation)
        self._group.observer.note(f"{self._name} {change} {result} {started:.9f}")


class DenseReader:
    """Reads at one node with short pauses until told to stop; its readings are not recorded.

    While the node doesn't answer it waits as long as other clients do.
    """

    def __init__(self, home: SimulatedNode, group: Group, rng: random.Random) -> None:
        self._home = home
        self._group = group
        self._pause_seconds = rng.choice(_DENSE_READ_PAUSES_SECONDS)
        self.is_stopped = False

    def run(self) -> Process:
        """Read until stopped."""
        scheduler = self._group.scheduler
        while not self.is_stopped:
            pending = self._home.read()
            yield pending | scheduler.sleep(_PATIENCE_SECONDS)
            if pending.triggered and isinstance(pending.value, Reading):
                self._group.observer.count("dense_read")
            yield scheduler.sleep(self._pause_seconds)
