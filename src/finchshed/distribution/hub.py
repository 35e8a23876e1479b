"""The control node's side of distribution: who subscribes, and what each still has to be sent.

Pure decisions: no I/O and no clock. The control program feeds committed deltas in; the shell in
:mod:`finchshed.distribution.server` carries the effects out.

A delta is encoded once and the same bytes are written to all its subscribers. A subscriber whose
buffer is full is skipped; once it has drained it gets one merged delta, or the whole
configuration when that is shorter or the history does not reach back. So the memory a slow
subscriber takes is bounded by its buffer.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.hub_effects import (
    Close,
    HubEffect,
    HubLimits,
    RequestConfirmation,
    Send,
    SharedLine,
)
from finchshed.distribution.messages import Delta, LeaseRenewed, Redirect, Subscribe
from finchshed.distribution.snapshot import (
    Configuration,
    apply_delta,
    unchanged,
)
from finchshed.distribution.status import InForceReport, SubscriberStatus

MAX_QUESTIONS = 8
"""Unanswered questions for a lease that are kept for one subscriber."""


@dataclass(slots=True)
class _Subscriber:
    identity: Subscribe
    sent_revision: int
    in_force: int
    heard_at: float
    sent_at: float
    ticket: int | None
    is_full: bool = False
    redirected: bool = False
    questions: dict[int, int] = field(default_factory=dict)
    """Questions for a lease, each with the ticket of the first read that may answer it."""

    def waits(self) -> bool:
        """Return whether a read from a quorum is wanted."""
        return self.ticket is not None or bool(self.questions)

    def take_questions(self, ticket: int) -> list[int]:
        """Return the questions that the read of ``ticket`` answers, and forget them."""
        answered = [question for question, since in self.questions.items() if since <= ticket]
        for question in answered:
            del self.questions[question]
        return answered


class Hub:
    """Subscriptions of one control node.

    Parameters
    ----------
    node
        Name of the control node, for reports.
    limits
        Bounds and times.
    """

    def __init__(self, node: str, limits: HubLimits | None = None) -> None:
        self.limits = limits or HubLimits()
        self._configuration = Configuration()
        self._history = DeltaHistory(self.limits.history_changes)
        self._subscribers: dict[int, _Subscriber] = {}
        self._latest: dict[str, int] = {}
        self._catch_up: dict[int, SharedLine] = {}
        self._unchanged: dict[bool, SharedLine] = {}
        self._next_ticket = 1
        self._waits_for_confirmation = False
        self._contact_lost_at: float | None = 0.0
        self._alternatives: tuple[str, ...] = ()
        self._heartbeat_due = 0.0
        self._node = node
        self._changed: dict[str, SubscriberStatus] = {}

    @property
    def configuration(self) -> Configuration:
        """The configuration as committed and applied here."""
        return self._configuration

    def subscriber_count(self) -> int:
        """Return the number of daemons connected here."""
        return len(self._subscribers)

    def collect_report(self, everything: bool = False) -> InForceReport:
        """Return what changed since the last call, for :class:`StatusTable` of the node asked.

        With ``everything``, return all daemons connected here; do so at first and now and then.
        """
        if everything:
            self._changed.clear()
            for number, item in self._subscribers.items():
                self._note(number, item, connected=True)
        daemons = tuple(self._changed.values())
        self._changed.clear()
        revision = self._configuration.revision
        return InForceReport(self._node, revision, daemons, everything)

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Name the other control nodes, for subscribers that have to move."""
        self._alternatives = addresses

    def restore(self, configuration: Configuration, now: float) -> Sequence[HubEffect]:
        """Take the whole configuration of a snapshot.

        Raises
        ------
        InvariantError
            If it would take the committed configuration back.
        """
        if configuration.revision < self._configuration.revision:
            raise InvariantError("a snapshot must not revert the configuration")
        if configuration.revision > self._configuration.revision:
            self._history.clear()
        self._configuration = configuration
        self._forget_encoded()
        return self._send_all(now)

    def on_committed(self, delta: Delta, now: float) -> Sequence[HubEffect]:
        """Take one committed change, from the revision before it.

        Raises
        ------
        InvariantError
            If it does not follow the change before it.
        """
        if delta.base != self._configuration.revision or delta.revision <= delta.base:
            raise InvariantError(f"change {delta.revision} does not follow {delta.base}")
        if delta.base == 0:
            self._configuration = apply_delta(Configuration(), delta)
        else:
            self._configuration = apply_delta(self._configuration, delta)
        self._history.append(delta)
        self._forget_encoded()
        return self._send_all(now)

    def on_contact(self, in_contact: bool, now: float) -> None:
        """Note whether this node is in contact with a quorum; call at least every half second."""
        if in_contact:
            self._contact_lost_at = None
        elif self._contact_lost_at is None:
            self._contact_lost_at = now

    def subscribe(self, number: int, message: Subscribe, now: float) -> Sequence[HubEffect]:
        """Take a subscription; ``number`` identifies its connection."""
        ticket = self._next_ticket
        item = _Subscriber(message, message.revision, message.revision, now, now, ticket)
        self._subscribers[number] = item
        self._latest[message.node] = number
        self._note(number, item, connected=True)
        effects: list[HubEffect] = list(self._send_to(number, item, now, fresh=True))
        if not self._waits_for_confirmation:
            effects.append(self._request_confirmation())
        return effects

    def unsubscribe(self, number: int) -> None:
        """Forget a connection that has ended."""
        item = self._subscribers.pop(number, None)
        if item is None or self._latest[item.identity.node] != number:
            return
        self._note(number, item, connected=False)
        self._fall_back(item.identity.node)

    def on_in_force(self, number: int, revision: int, now: float) -> None:
        """Take a daemon's report."""
        item = self._subscribers.get(number)
        if item is None:
            return
        item.heard_at = now
        if item.in_force != revision:
            item.in_force = revision
            self._note(number, item, connected=True)

    def on_fetch(self, number: int, revision: int, now: float) -> Sequence[HubEffect]:
        """Answer a daemon that asks for what follows ``revision``."""
        item = self._subscribers.get(number)
        if item is None:
            return ()
        item.heard_at = now
        crossed = item.sent_revision > revision and now - item.sent_at < self.limits.repeat_seconds
        if crossed:
            return ()
        item.sent_revision = revision
        return self._send_to(number, item, now)

    def on_question(self, number: int, question: int, now: float) -> Sequence[HubEffect]:
        """Take a daemon's question for its lease."""
        item = self._subscribers.get(number)
        if item is None:
            return ()
        item.heard_at = now
        if len(item.questions) >= MAX_QUESTIONS:
            del item.questions[next(iter(item.questions))]
        item.questions[question] = self._next_ticket
        return () if self._waits_for_confirmation else (self._request_confirmation(),)

    def on_confirmed(self, ticket: int, now: float) -> Sequence[HubEffect]:
        """Note that a quorum confirmed, after ``ticket``, that what is applied here is latest."""
        self._waits_for_confirmation = False
        effects: list[HubEffect] = []
        ready = []
        for number, item in self._subscribers.items():
            if item.is_full or not item.waits():
                continue
            if item.sent_revision > self._configuration.revision:
                continue
            effects.extend(self._send_to(number, item, now))
            if item.ticket is not None and item.ticket <= ticket:
                item.ticket = None
                ready.append(number)
            effects.extend(self._answers(number, item, ticket))
        if ready:
            effects.append(Send(tuple(ready), self._unchanged_line(confirmed=True)))
        if any(item.waits() for item in self._subscribers.values()):
            effects.append(self._request_confirmation())
        return effects

    def _answers(self, number: int, item: _Subscriber, ticket: int) -> list[HubEffect]:
        """Answer a daemon's questions, behind all that it was sent of the configuration."""
        revision = self._configuration.revision
        return [
            Send((number,), SharedLine(LeaseRenewed(question, revision)))
            for question in item.take_questions(ticket)
        ]

    def on_buffer(self, number: int, is_full: bool, now: float) -> Sequence[HubEffect]:
        """Note that a subscriber's buffer filled up or drained."""
        item = self._subscribers.get(number)
        if item is None or item.is_full == is_full:
            return ()
        item.is_full = is_full
        return () if is_full else self._send_to(number, item, now)

    def full_subscribers(self) -> tuple[int, ...]:
        """Return the subscribers whose buffers were full when last looked at."""
        return tuple(number for number, item in self._subscribers.items() if item.is_full)

    def tick(self, now: float) -> Sequence[HubEffect]:
        """Send heartbeats, drop the silent, move subscribers away from a node without a quorum."""
        if now < self._heartbeat_due:
            return ()
        self._heartbeat_due = now + self.limits.heartbeat_seconds
        effects: list[HubEffect] = []
        effects.extend(self._drop_silent(now))
        effects.extend(self._redirect(now))
        effects.extend(self._heartbeats())
        if any(item.waits() for item in self._subscribers.values()):
            effects.append(self._request_confirmation())
        return effects

    def _request_confirmation(self) -> RequestConfirmation:
        ticket = self._next_ticket
        self._next_ticket += 1
        self._waits_for_confirmation = True
        return RequestConfirmation(ticket)

    def _forget_encoded(self) -> None:
        self._catch_up.clear()
        self._unchanged.clear()

    def _unchanged_line(self, confirmed: bool) -> SharedLine:
        line = self._unchanged.get(confirmed)
        if line is None:
            line = SharedLine(unchanged(self._configuration.revision, confirmed))
            self._unchanged[confirmed] = line
        return line

    def _catch_up_line(self, base: int) -> SharedLine:
        line = self._catch_up.get(base)
        if line is None:
            line = SharedLine(self._history.between(base, self._configuration))
            self._catch_up[base] = line
        return line

    def _send_to(
        self, number: int, item: _Subscriber, now: float, fresh: bool = False
    ) -> Sequence[HubEffect]:
        behind = item.sent_revision < self._configuration.revision
        starts_empty = fresh and item.sent_revision == 0
        if item.is_full or not (behind or starts_empty):
            return ()
        line = self._catch_up_line(item.sent_revision)
        item.sent_revision = self._configuration.revision
        item.sent_at = now
        return (Send((number,), line),)

    def _send_all(self, now: float) -> list[HubEffect]:
        revision = self._configuration.revision
        groups: dict[int, list[int]] = {}
        for number, item in self._subscribers.items():
            if item.is_full or item.sent_revision >= revision:
                continue
            groups.setdefault(item.sent_revision, []).append(number)
            item.sent_revision = revision
            item.sent_at = now
        return [Send(tuple(numbers), self._catch_up_line(base)) for base, numbers in groups.items()]

    def _heartbeats(self) -> list[HubEffect]:
        numbers = tuple(
            number
            for number, item in self._subscribers.items()
            if not item.is_full and not item.redirected
        )
        return [Send(numbers, self._unchanged_line(confirmed=False))] if numbers else []

    def _drop_silent(self, now: float) -> list[HubEffect]:
        limit = now - self.limits.silence_seconds
        silent = [number for number, item in self._subscribers.items() if item.heard_at < limit]
        for number in silent:
            self.unsubscribe(number)
        return [Close(number) for number in silent]

    def _redirect(self, now: float) -> list[HubEffect]:
        lost_at = self._contact_lost_at
        if lost_at is None:
            for item in self._subscribers.values():
                item.redirected = False
            return []
        if now - lost_at < self.limits.contact_grace_seconds:
            return []
        numbers = []
        for number, item in self._subscribers.items():
            if not item.redirected and not item.is_full:
                item.redirected = True
                numbers.append(number)
        if not numbers:
            return []
        return [Send(tuple(numbers), SharedLine(Redirect(self._alternatives)))]

    def _fall_back(self, node: str) -> None:
        """Let a former connection under the name ``node`` speak for it again, if one is left."""
        former = [n for n, item in self._subscribers.items() if item.identity.node == node]
        if not former:
            del self._latest[node]
            return
        self._latest[node] = max(former)
        self._note(max(former), self._subscribers[max(former)], connected=True)

    def _note(self, number: int, item: _Subscriber, connected: bool) -> None:
        """Put a daemon's state in the next report; a former connection doesn't stand for it."""
        identity = item.identity
        if self._latest.get(identity.node) != number:
            return
        self._changed[identity.node] = SubscriberStatus(
            node=identity.node,
            endpoint=identity.endpoint,
            service=identity.service,
            zone=identity.zone,
            revision=item.in_force,
            connected=connected,
        )
