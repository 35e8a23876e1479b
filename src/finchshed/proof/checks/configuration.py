"""An accepted configuration is in force everywhere in time, and never reverts."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import msgspec

from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import (
    ChangeAnswered,
    ChangeSubmitted,
    ControlReachable,
    NodeStarted,
    NodeStopped,
    RevisionInForce,
)

NAME: Final = "configuration"
ACCEPTED: Final = "accepted"
UNKNOWN: Final = "unknown"


class _Node(msgspec.Struct):
    """One daemon as the checker follows it.

    ``able_since`` is when it last began to run with a majority of the control nodes in reach, or
    None while it doesn't.
    """

    up: bool = False
    reachable: bool = True
    able_since: float | None = None
    revision: int = 0
    due: dict[int, float] = msgspec.field(default_factory=dict)
    """Accepted revisions not yet in force, with the time they are due."""


def check(index: Index) -> Iterator[Violation]:
    """Yield changes not in force in time, reverts, and contradicting answers to operators."""
    yield from _check_answers(index)
    yield from _check_digests(index)
    yield from _Follower(index).check()


class _Follower:
    """Plays a history and follows what is due at each daemon.

    The bound counts from the latest of: the change was accepted, the daemon started, the daemon
    could reach a majority of the control nodes again.
    """

    def __init__(self, index: Index) -> None:
        self._index = index
        self._bound = index.header.in_force_bound_seconds
        self._nodes: dict[str, _Node] = defaultdict(_Node)
        self._accepted = 0

    def check(self) -> Iterator[Violation]:
        """Yield what is late or reverted."""
        for event in self._index.events:
            match event:
                case ChangeAnswered():
                    if event.result == ACCEPTED and event.revision > self._accepted:
                        self._accepted = event.revision
                        for node in self._nodes.values():
                            self._owe(node, event.time)
                case NodeStarted():
                    self._nodes[event.node].up = True
                    yield from self._changed(event.node, event.time)
                case NodeStopped():
                    self._nodes[event.node].up = False
                    yield from self._changed(event.node, event.time)
                case ControlReachable():
                    self._nodes[event.node].reachable = event.reachable
                    yield from self._changed(event.node, event.time)
                case RevisionInForce():
                    yield from self._in_force(event)
        for name, node in self._nodes.items():
            yield from self._late(name, node, self._index.end)

    def _owe(self, node: _Node, time: float) -> None:
        if node.able_since is not None and self._accepted > node.revision:
            node.due[self._accepted] = time + self._bound

    def _changed(self, name: str, time: float) -> Iterator[Violation]:
        """Take a daemon's new state: what was due by now is late, the rest is due anew."""
        node = self._nodes[name]
        yield from self._late(name, node, time)
        node.due.clear()
        node.able_since = time if node.up and node.reachable else None
        self._owe(node, time)

    def _late(self, name: str, node: _Node, time: float) -> Iterator[Violation]:
        for revision, due in node.due.items():
            if due < time:
                detail = f"revision {revision} was due at {due:.2f} s, in force is {node.revision}"
                yield Violation(NAME, due, name, detail)
                return

    def _in_force(self, event: RevisionInForce) -> Iterator[Violation]:
        node = self._nodes[event.node]
        if event.revision < node.revision:
            detail = f"revision {event.revision} in force after {node.revision}"
            yield Violation(NAME, event.time, event.node, detail)
            return
        node.revision = event.revision
        for revision in [held for held in node.due if held <= event.revision]:
            due = node.due.pop(revision)
            if event.time > due:
                late = event.time - due + self._bound
                detail = f"revision {revision} was in force only after {late:.2f} s"
                yield Violation(NAME, event.time, event.node, detail)


def _check_answers(index: Index) -> Iterator[Violation]:
    """Of changes against one revision one wins, and a resend gets the first answer."""
    winners: dict[int, str] = {}
    first: dict[str, ChangeAnswered] = {}
    expected: dict[str, int] = {}
    accepted_against: dict[int, str] = {}
    for event in index.events:
        if isinstance(event, ChangeSubmitted):
            expected[event.change_id] = event.expected_revision
            continue
        if not isinstance(event, ChangeAnswered) or event.result == UNKNOWN:
            continue
        before = first.setdefault(event.change_id, event)
        if (before.result, before.revision) != (event.result, event.revision):
            detail = f"answered {before.result} first and then {event.result}"
            yield Violation(NAME, event.time, event.change_id, detail)
        if event.result == ACCEPTED:
            winner = winners.setdefault(event.revision, event.change_id)
            if winner != event.change_id:
                detail = f"revision {event.revision} was also given to {winner}"
                yield Violation(NAME, event.time, event.change_id, detail)
            against = expected.get(event.change_id, event.revision - 1)
            winner = accepted_against.setdefault(against, event.change_id)
            if winner != event.change_id:
                detail = f"accepted against revision {against}, as was {winner}"
                yield Violation(NAME, event.time, event.change_id, detail)


def _check_digests(index: Index) -> Iterator[Violation]:
    """All daemons at one revision hold the same configuration."""
    digests: dict[int, tuple[str, str]] = {}
    for event in index.events:
        if not isinstance(event, RevisionInForce) or not event.digest:
            continue
        node, digest = digests.setdefault(event.revision, (event.node, event.digest))
        if digest != event.digest:
            detail = f"holds another configuration at revision {event.revision} than {node}"
            yield Violation(NAME, event.time, event.node, detail)
