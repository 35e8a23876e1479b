"""Subscribers of one control node, and their changes since the last status report. No I/O.

Tracks the state of each connection. If a daemon has several connections, the newest one represents
it in reports.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from finchshed.distribution.messages import Subscribe
from finchshed.distribution.status import SubscriberStatus

MAX_LEASE_REQUESTS = 8
"""Maximum number of unanswered lease renewals kept per subscriber."""


@dataclass(slots=True)
class Subscriber:
    """One connection of a daemon.

    Attributes
    ----------
    sent_revision
        Revision of the latest delta sent.
    in_force
        Revision that the daemon reported as in force.
    last_message_at, sent_at
        Times of the latest message received and of the latest delta sent, in seconds.
    ticket
        Ticket of the first quorum read that confirms the subscription; None once confirmed.
    is_full
        Whether the send buffer was full when last checked, so that the subscriber is skipped.
    is_redirected
        Whether the daemon was redirected to other control nodes.
    lease_requests
        Pending lease renewals by ``question``, each with the ticket of the first quorum read that
        may answer it.
    """

    identity: Subscribe
    sent_revision: int
    in_force: int
    last_message_at: float
    sent_at: float
    ticket: int | None
    is_full: bool = False
    is_redirected: bool = False
    lease_requests: dict[int, int] = field(default_factory=dict)

    def needs_confirmation(self) -> bool:
        """Return whether the subscriber waits for a quorum read."""
        return self.ticket is not None or bool(self.lease_requests)

    def add_lease_request(self, question: int, ticket: int) -> None:
        """Add a lease renewal that the read of ``ticket`` may answer; evict the oldest if full."""
        if len(self.lease_requests) >= MAX_LEASE_REQUESTS:
            del self.lease_requests[next(iter(self.lease_requests))]
        self.lease_requests[question] = ticket

    def pop_answered(self, ticket: int) -> list[int]:
        """Remove and return the lease renewals that the read of ``ticket`` answers."""
        answered = [question for question, since in self.lease_requests.items() if since <= ticket]
        for question in answered:
            del self.lease_requests[question]
        return answered


class Subscribers:
    """Subscribers by connection number, and the newest connection of each daemon."""

    def __init__(self) -> None:
        self._by_number: dict[int, Subscriber] = {}
        self._newest: dict[str, int] = {}
        self._changed: dict[str, SubscriberStatus] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[tuple[int, Subscriber]]:
        return iter(self._by_number.items())

    def get(self, number: int) -> Subscriber | None:
        """Return the subscriber of a connection, or None if there is none."""
        return self._by_number.get(number)

    def add(self, number: int, subscriber: Subscriber) -> None:
        """Add a connection, which becomes its daemon's newest."""
        self._by_number[number] = subscriber
        self._newest[subscriber.identity.node] = number
        self._add_to_report(number, subscriber, connected=True)

    def remove(self, number: int) -> None:
        """Remove a connection that has ended."""
        subscriber = self._by_number.pop(number, None)
        if subscriber is None or self._newest[subscriber.identity.node] != number:
            return
        self._add_to_report(number, subscriber, connected=False)
        self._restore_previous_connection(subscriber.identity.node)

    def on_in_force(self, number: int, revision: int, now: float) -> None:
        """Record the revision in force at a daemon."""
        subscriber = self._by_number.get(number)
        if subscriber is None:
            return
        subscriber.last_message_at = now
        if subscriber.in_force != revision:
            subscriber.in_force = revision
            self._add_to_report(number, subscriber, connected=True)

    def collect_changed(self, everything: bool) -> tuple[SubscriberStatus, ...]:
        """Return changes since the last call, or with ``everything`` all connected daemons."""
        if everything:
            self._changed.clear()
            for number, subscriber in self._by_number.items():
                self._add_to_report(number, subscriber, connected=True)
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

    def _restore_previous_connection(self, node: str) -> None:
        """Make the newest remaining connection of ``node``, if any, represent it again."""
        remaining = [number for number, item in self if item.identity.node == node]
        if not remaining:
            del self._newest[node]
            return
        newest = max(remaining)
        self._newest[node] = newest
        self._add_to_report(newest, self._by_number[newest], connected=True)

    def _add_to_report(self, number: int, subscriber: Subscriber, connected: bool) -> None:
        """Add a daemon's state to the next report, unless it has a newer connection."""
        identity = subscriber.identity
        if self._newest.get(identity.node) != number:
            return
        self._changed[identity.node] = SubscriberStatus(
            node=identity.node,
            endpoint=identity.endpoint,
            service=identity.service,
            zone=identity.zone,
            revision=subscriber.in_force,
            connected=connected,
        )
