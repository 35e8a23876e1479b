"""Decides what a control node sends to each subscribed daemon.

No I/O and no clock. Owns the subscriptions of one control node and the quorum reads that they wait
for. A subscriber whose buffer is full is skipped. Once the buffer has drained, the subscriber gets
one merged delta, or the full configuration if that is shorter or the history doesn't reach back.
The memory used for a slow subscriber is therefore bounded by its buffer.

The control program passes in committed changes, and :mod:`finchshed.distribution.server` executes
the effects.
"""

from collections.abc import Sequence

from finchshed.distribution.committed_configuration import CommittedConfiguration
from finchshed.distribution.hub_effects import (
    Close,
    HubEffect,
    HubLimits,
    RequestConfirmation,
    SendLine,
    SharedLine,
)
from finchshed.distribution.messages import Delta, LeaseRenewed, Redirect, Subscribe
from finchshed.distribution.snapshot import Configuration
from finchshed.distribution.status import InForceReport
from finchshed.distribution.subscribers import Subscriber, Subscribers


class Hub:
    """Subscriptions of one control node.

    Parameters
    ----------
    node
        Name of the control node, used in reports.
    limits
        Limits and intervals; None for the defaults.
    """

    def __init__(self, node: str, limits: HubLimits | None = None) -> None:
        self.limits = limits or HubLimits()
        self._node = node
        self._committed = CommittedConfiguration(
            self.limits.history_changes, self.limits.history_bytes
        )
        self._subscribers = Subscribers()
        self._next_ticket = 1
        self._waits_for_confirmation = False
        self._contact_lost_at: float | None = 0.0
        self._alternatives: tuple[str, ...] = ()
        self._heartbeat_due = 0.0

    @property
    def configuration(self) -> Configuration:
        """The committed configuration of this control node."""
        return self._committed.current

    @property
    def history_bytes(self) -> int:
        """Encoded size of the changes kept for subscribers that are behind."""
        return self._committed.history_bytes

    def subscriber_count(self) -> int:
        """Return the number of daemons connected here."""
        return len(self._subscribers)

    def collect_report(self, everything: bool = False) -> InForceReport:
        """Return changes since the last call, or with ``everything`` all connected daemons.

        Reports are merged by a :class:`~finchshed.distribution.status.StatusTable`. Full reports
        should be collected first and then periodically.
        """
        daemons = self._subscribers.collect_changed(everything)
        return InForceReport(self._node, self._committed.revision, daemons, everything)

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of the other control nodes, sent with redirects."""
        self._alternatives = addresses

    def restore(self, configuration: Configuration, now: float) -> Sequence[HubEffect]:
        """Replace the configuration by that of a snapshot.

        Raises
        ------
        InvariantError
            If the snapshot is older than the committed configuration.
        """
        self._committed.restore(configuration)
        return self._send_all(now)

    def on_committed(self, delta: Delta, now: float) -> Sequence[HubEffect]:
        """Apply the next committed change and send it to the subscribers.

        Raises
        ------
        InvariantError
            If the change doesn't start at the current revision.
        """
        self._committed.apply(delta)
        return self._send_all(now)

    def on_quorum_contact(self, in_contact: bool, now: float) -> None:
        """Record whether this node is in contact with a quorum; call at least twice a second."""
        if in_contact:
            self._contact_lost_at = None
        elif self._contact_lost_at is None:
            self._contact_lost_at = now

    def subscribe(self, number: int, message: Subscribe, now: float) -> Sequence[HubEffect]:
        """Add a subscription on connection ``number``."""
        ticket = self._next_ticket
        subscriber = Subscriber(message, message.revision, message.revision, now, now, ticket)
        self._subscribers.add(number, subscriber)
        effects: list[HubEffect] = list(self._send_to(number, subscriber, now, fresh=True))
        if not self._waits_for_confirmation:
            effects.append(self._request_confirmation())
        return effects

    def unsubscribe(self, number: int) -> None:
        """Remove a connection that has ended."""
        self._subscribers.remove(number)

    def on_in_force(self, number: int, revision: int, now: float) -> None:
        """Record the revision in force at a daemon."""
        self._subscribers.on_in_force(number, revision, now)

    def on_fetch(self, number: int, revision: int, now: float) -> Sequence[HubEffect]:
        """Answer a daemon's request for the changes after ``revision``."""
        subscriber = self._subscribers.get(number)
        if subscriber is None:
            return ()
        subscriber.last_message_at = now
        crossed = (
            subscriber.sent_revision > revision
            and now - subscriber.sent_at < self.limits.repeat_seconds
        )
        if crossed:
            return ()
        subscriber.sent_revision = revision
        return self._send_to(number, subscriber, now)

    def on_lease_request(self, number: int, question: int, now: float) -> Sequence[HubEffect]:
        """Queue a daemon's lease renewal until a quorum read answers it."""
        subscriber = self._subscribers.get(number)
        if subscriber is None:
            return ()
        subscriber.last_message_at = now
        subscriber.add_lease_request(question, self._next_ticket)
        return () if self._waits_for_confirmation else (self._request_confirmation(),)

    def on_confirmed(self, ticket: int, now: float) -> Sequence[HubEffect]:
        """Handle a quorum read, started after ``ticket``, that confirmed the revision here."""
        self._waits_for_confirmation = False
        effects: list[HubEffect] = []
        ready = []
        for number, subscriber in self._subscribers:
            if subscriber.is_full or not subscriber.needs_confirmation():
                continue
            if subscriber.sent_revision > self._committed.revision:
                continue
            effects.extend(self._send_to(number, subscriber, now))
            if subscriber.ticket is not None and subscriber.ticket <= ticket:
                subscriber.ticket = None
                ready.append(number)
            effects.extend(self._lease_answers(number, subscriber, ticket))
        if ready:
            effects.append(SendLine(tuple(ready), self._committed.unchanged_line(confirmed=True)))
        if any(subscriber.needs_confirmation() for _, subscriber in self._subscribers):
            effects.append(self._request_confirmation())
        return effects

    def _lease_answers(self, number: int, subscriber: Subscriber, ticket: int) -> list[HubEffect]:
        """Answer a daemon's lease renewals, after the configuration sent to it so far."""
        revision = self._committed.revision
        return [
            SendLine((number,), SharedLine(LeaseRenewed(question, revision)))
            for question in subscriber.pop_answered(ticket)
        ]

    def on_buffer(self, number: int, is_full: bool, now: float) -> Sequence[HubEffect]:
        """Record whether a subscriber's buffer is full, and catch up once it has drained."""
        subscriber = self._subscribers.get(number)
        if subscriber is None or subscriber.is_full == is_full:
            return ()
        subscriber.is_full = is_full
        return () if is_full else self._send_to(number, subscriber, now)

    def full_subscribers(self) -> tuple[int, ...]:
        """Return the subscribers whose buffers were full when last checked."""
        return tuple(number for number, subscriber in self._subscribers if subscriber.is_full)

    def tick(self, now: float) -> Sequence[HubEffect]:
        """Send heartbeats, drop silent subscribers and redirect if this node lacks a quorum."""
        if now < self._heartbeat_due:
            return ()
        self._heartbeat_due = now + self.limits.heartbeat_seconds
        effects: list[HubEffect] = []
        effects.extend(self._drop_silent(now))
        effects.extend(self._redirect(now))
        effects.extend(self._heartbeats())
        if any(subscriber.needs_confirmation() for _, subscriber in self._subscribers):
            effects.append(self._request_confirmation())
        return effects

    def _request_confirmation(self) -> RequestConfirmation:
        ticket = self._next_ticket
        self._next_ticket += 1
        self._waits_for_confirmation = True
        return RequestConfirmation(ticket)

    def _send_to(
        self, number: int, subscriber: Subscriber, now: float, fresh: bool = False
    ) -> Sequence[HubEffect]:
        behind = subscriber.sent_revision < self._committed.revision
        starts_empty = fresh and subscriber.sent_revision == 0
        if subscriber.is_full or not (behind or starts_empty):
            return ()
        line = self._committed.catch_up_line(subscriber.sent_revision)
        subscriber.sent_revision = self._committed.revision
        subscriber.sent_at = now
        return (SendLine((number,), line),)

    def _send_all(self, now: float) -> list[HubEffect]:
        revision = self._committed.revision
        groups: dict[int, list[int]] = {}
        for number, subscriber in self._subscribers:
            if subscriber.is_full or subscriber.sent_revision >= revision:
                continue
            groups.setdefault(subscriber.sent_revision, []).append(number)
            subscriber.sent_revision = revision
            subscriber.sent_at = now
        return [
            SendLine(tuple(numbers), self._committed.catch_up_line(base))
            for base, numbers in groups.items()
        ]

    def _heartbeats(self) -> list[HubEffect]:
        numbers = tuple(
            number
            for number, subscriber in self._subscribers
            if not subscriber.is_full and not subscriber.is_redirected
        )
        if not numbers:
            return []
        return [SendLine(numbers, self._committed.unchanged_line(confirmed=False))]

    def _drop_silent(self, now: float) -> list[HubEffect]:
        limit = now - self.limits.silence_seconds
        silent = [
            number for number, subscriber in self._subscribers if subscriber.last_message_at < limit
        ]
        for number in silent:
            self.unsubscribe(number)
        return [Close(number) for number in silent]

    def _redirect(self, now: float) -> list[HubEffect]:
        lost_at = self._contact_lost_at
        if lost_at is None:
            for _, subscriber in self._subscribers:
                subscriber.is_redirected = False
            return []
        if now - lost_at < self.limits.contact_grace_seconds:
            return []
        numbers = []
        for number, subscriber in self._subscribers:
            if not subscriber.is_redirected and not subscriber.is_full:
                subscriber.is_redirected = True
                numbers.append(number)
        if not numbers:
            return []
        return [SendLine(tuple(numbers), SharedLine(Redirect(self._alternatives)))]
