"""Distribution: which daemons subscribe here, and what each still has to be sent.

Pure decisions: no I/O and no clock. Owns the subscriptions of one control node, and the reads from
a quorum that they wait for. A subscriber whose buffer is full is skipped; once it has drained it
gets one merged delta, or the whole configuration when that is shorter or the history does not
reach back. So the memory a slow subscriber takes is bounded by its buffer.

Relies on the control program, which feeds committed changes in, and on
:mod:`finchshed.distribution.server`, which carries the effects out.
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
        Name of the control node, for reports.
    limits
        Bounds and times.
    """

    def __init__(self, node: str, limits: HubLimits | None = None) -> None:
        self.limits = limits or HubLimits()
        self._node = node
        self._committed = CommittedConfiguration(self.limits.history_changes)
        self._subscribers = Subscribers()
        self._next_ticket = 1
        self._waits_for_confirmation = False
        self._contact_lost_at: float | None = 0.0
        self._alternatives: tuple[str, ...] = ()
        self._heartbeat_due = 0.0

    @property
    def configuration(self) -> Configuration:
        """The configuration as committed and applied here."""
        return self._committed.current

    def subscriber_count(self) -> int:
        """Return the number of daemons connected here."""
        return len(self._subscribers)

    def collect_report(self, everything: bool = False) -> InForceReport:
        """Return what changed since the last call, for :class:`StatusTable` of the node asked.

        With ``everything``, return all daemons connected here; do so at first and now and then.
        """
        daemons = self._subscribers.collect_changed(everything)
        return InForceReport(self._node, self._committed.revision, daemons, everything)

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Name the other control nodes, for subscribers that have to move."""
        self._alternatives = addresses

    def restore(self, configuration: Configuration, now: float) -> Sequence[HubEffect]:
        """Replace the whole configuration by that of a snapshot.

        Raises
        ------
        InvariantError
            If it would take the committed configuration back.
        """
        self._committed.restore(configuration)
        return self._send_all(now)

    def on_committed(self, delta: Delta, now: float) -> Sequence[HubEffect]:
        """Apply one committed change, from the revision before it.

        Raises
        ------
        InvariantError
            If it does not follow the change before it.
        """
        self._committed.apply(delta)
        return self._send_all(now)

    def on_quorum_contact(self, in_contact: bool, now: float) -> None:
        """Note whether this node is in contact with a quorum; call at least every half second."""
        if in_contact:
            self._contact_lost_at = None
        elif self._contact_lost_at is None:
            self._contact_lost_at = now

    def subscribe(self, number: int, message: Subscribe, now: float) -> Sequence[HubEffect]:
        """Add a subscription; ``number`` identifies its connection."""
        ticket = self._next_ticket
        item = Subscriber(message, message.revision, message.revision, now, now, ticket)
        self._subscribers.add(number, item)
        effects: list[HubEffect] = list(self._send_to(number, item, now, fresh=True))
        if not self._waits_for_confirmation:
            effects.append(self._request_confirmation())
        return effects

    def unsubscribe(self, number: int) -> None:
        """Forget a connection that has ended."""
        self._subscribers.remove(number)

    def on_in_force(self, number: int, revision: int, now: float) -> None:
        """Note which revision a daemon acts on."""
        self._subscribers.on_in_force(number, revision, now)

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

    def on_lease_request(self, number: int, question: int, now: float) -> Sequence[HubEffect]:
        """Note a daemon's question for its lease; a read from a quorum answers it."""
        item = self._subscribers.get(number)
        if item is None:
            return ()
        item.heard_at = now
        item.add_lease_request(question, self._next_ticket)
        return () if self._waits_for_confirmation else (self._request_confirmation(),)

    def on_confirmed(self, ticket: int, now: float) -> Sequence[HubEffect]:
        """Note that a quorum confirmed, after ``ticket``, that what is applied here is latest."""
        self._waits_for_confirmation = False
        effects: list[HubEffect] = []
        ready = []
        for number, item in self._subscribers:
            if item.is_full or not item.needs_confirmation():
                continue
            if item.sent_revision > self._committed.revision:
                continue
            effects.extend(self._send_to(number, item, now))
            if item.ticket is not None and item.ticket <= ticket:
                item.ticket = None
                ready.append(number)
            effects.extend(self._answers(number, item, ticket))
        if ready:
            effects.append(SendLine(tuple(ready), self._committed.unchanged_line(confirmed=True)))
        if any(item.needs_confirmation() for _, item in self._subscribers):
            effects.append(self._request_confirmation())
        return effects

    def _answers(self, number: int, item: Subscriber, ticket: int) -> list[HubEffect]:
        """Answer a daemon's questions, behind all that it was sent of the configuration."""
        revision = self._committed.revision
        return [
            SendLine((number,), SharedLine(LeaseRenewed(question, revision)))
            for question in item.pop_answered(ticket)
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
        return tuple(number for number, item in self._subscribers if item.is_full)

    def tick(self, now: float) -> Sequence[HubEffect]:
        """Send heartbeats, drop the silent, move subscribers away from a node without a quorum."""
        if now < self._heartbeat_due:
            return ()
        self._heartbeat_due = now + self.limits.heartbeat_seconds
        effects: list[HubEffect] = []
        effects.extend(self._drop_silent(now))
        effects.extend(self._redirect(now))
        effects.extend(self._heartbeats())
        if any(item.needs_confirmation() for _, item in self._subscribers):
            effects.append(self._request_confirmation())
        return effects

    def _request_confirmation(self) -> RequestConfirmation:
        ticket = self._next_ticket
        self._next_ticket += 1
        self._waits_for_confirmation = True
        return RequestConfirmation(ticket)

    def _send_to(
        self, number: int, item: Subscriber, now: float, fresh: bool = False
    ) -> Sequence[HubEffect]:
        behind = item.sent_revision < self._committed.revision
        starts_empty = fresh and item.sent_revision == 0
        if item.is_full or not (behind or starts_empty):
            return ()
        line = self._committed.catch_up_line(item.sent_revision)
        item.sent_revision = self._committed.revision
        item.sent_at = now
        return (SendLine((number,), line),)

    def _send_all(self, now: float) -> list[HubEffect]:
        revision = self._committed.revision
        groups: dict[int, list[int]] = {}
        for number, item in self._subscribers:
            if item.is_full or item.sent_revision >= revision:
                continue
            groups.setdefault(item.sent_revision, []).append(number)
            item.sent_revision = revision
            item.sent_at = now
        return [
            SendLine(tuple(numbers), self._committed.catch_up_line(base))
            for base, numbers in groups.items()
        ]

    def _heartbeats(self) -> list[HubEffect]:
        numbers = tuple(
            number
            for number, item in self._subscribers
            if not item.is_full and not item.is_redirected
        )
        if not numbers:
            return []
        return [SendLine(numbers, self._committed.unchanged_line(confirmed=False))]

    def _drop_silent(self, now: float) -> list[HubEffect]:
        limit = now - self.limits.silence_seconds
        silent = [number for number, item in self._subscribers if item.heard_at < limit]
        for number in silent:
            self.unsubscribe(number)
        return [Close(number) for number in silent]

    def _redirect(self, now: float) -> list[HubEffect]:
        lost_at = self._contact_lost_at
        if lost_at is None:
            for _, item in self._subscribers:
                item.is_redirected = False
            return []
        if now - lost_at < self.limits.contact_grace_seconds:
            return []
        numbers = []
        for number, item in self._subscribers:
            if not item.is_redirected and not item.is_full:
                item.is_redirected = True
                numbers.append(number)
        if not numbers:
            return []
        return [SendLine(tuple(numbers), SharedLine(Redirect(self._alternatives)))]
