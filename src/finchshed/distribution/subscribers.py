"""The subscribers of one control node, and what changed of them since the last report. Pure.

Owns what is known of each connection, and which connection speaks for a daemon that has several.
Relies on :class:`~finchshed.distribution.hub.Hub` for everything that is sent.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from finchshed.distribution.messages import Subscribe
from finchshed.distribution.status import SubscriberStatus

MAX_LEASE_REQUESTS = 8
"""Unanswered questions for a lease that are kept for one subscriber. Chosen, not measured."""


@dataclass(slots=True)
class Subscriber:
    """One connection of a daemon.

    Attributes
    ----------
    sent_revision
        Revision that it was brought to last.
    in_force
        Revision that it said it acts on.
    heard_at, sent_at
        Time of its latest message, and of the latest delta sent to it, seconds.
    ticket
        First read from a quorum that confirms its configuration; None once it is confirmed.
    is_full
        Its buffer was full when last looked at, so it is skipped.
    is_redirected
        It was sent to other control nodes.
    questions
        Questions for a lease, each with the ticket of the first read that may answer it.
    """

    identity: Subscribe
    sent_revision: int
    in_force: int
    heard_at: float
    sent_at: float
    ticket: int | None
    is_full: bool = False
    is_redirected: bool = False
    lease_requests: dict[int, int] = field(default_factory=dict)

    def needs_confirmation(self) -> bool:
        """Return whether a read from a quorum is wanted."""
        return self.ticket is not None or bool(self.lease_requests)

    def add_lease_request(self, question: int, ticket: int) -> None:
        """Keep a question that the read of ``ticket`` may answer; the oldest goes if it is full."""
        if len(self.lease_requests) >= MAX_LEASE_REQUESTS:
            del self.lease_requests[next(iter(self.lease_requests))]
        self.lease_requests[question] = ticket

    def pop_answered(self, ticket: int) -> list[int]:
        """Return the questions that the read of ``ticket`` answers, and forget them."""
        answered = [question for question, since in self.lease_requests.items() if since <= ticket]
        for question in answered:
            del self.lease_requests[question]
        return answered


class Subscribers:
    """Subscribers by number of their connection; a daemon's newest connection speaks for it."""

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
        """Keep a new connection, which speaks for its daemon from now on."""
        self._by_number[number] = subscriber
        self._newest[subscriber.identity.node] = number
        self._note(number, subscriber, connected=True)

    def remove(self, number: int) -> None:
        """Forget a connection that has ended."""
        subscriber = self._by_number.pop(number, None)
        if subscriber is None or self._newest[subscriber.identity.node] != number:
            return
        self._note(number, subscriber, connected=False)
        self._fall_back(subscriber.identity.node)

    def on_in_force(self, number: int, revision: int, now: float) -> None:
        """Note which revision a daemon acts on."""
        subscriber = self._by_number.get(number)
        if subscriber is None:
            return
        subscriber.heard_at = now
        if subscriber.in_force != revision:
            subscriber.in_force = revision
            self._note(number, subscriber, connected=True)

    def collect_changed(self, everything: bool) -> tuple[SubscriberStatus, ...]:
        """Return what changed since the last call, or the state of all connected daemons."""
        if everything:
            self._changed.clear()
            for number, subscriber in self._by_number.items():
                self._note(number, subscriber, connected=True)
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

    def _fall_back(self, node: str) -> None:
        """Let a former connection under the name ``node`` speak for it again, if one is left."""
        former = [number for number, item in self if item.identity.node == node]
        if not former:
            del self._newest[node]
            return
        newest = max(former)
        self._newest[node] = newest
        self._note(newest, self._by_number[newest], connected=True)

    def _note(self, number: int, subscriber: Subscriber, connected: bool) -> None:
        """Put a daemon's state in the next report; a former connection doesn't stand for it."""
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
