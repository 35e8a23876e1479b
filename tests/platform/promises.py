"""Check of the promise that a refusal makes: the request did not run and never will."""

from collections import Counter
from collections.abc import Iterable, Sequence

from tests.platform.fake_backend import FakeBackend
from tests.platform.open_loop import SentRequest

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that nothing ran."""


def broken_promises(sent: Iterable[SentRequest], backends: Sequence[FakeBackend]) -> list[str]:
    """Return the sendings that got a refusal and ran.

    A request may be sent several times under one identity; a run belongs to the last sending that
    began before it.
    """
    started: dict[str, list[float]] = {}
    for backend in backends:
        for at, identity in backend.started:
            started.setdefault(identity, []).append(at)
    sendings: dict[str, list[SentRequest]] = {}
    for sending in sent:
        sendings.setdefault(sending.identity, []).append(sending)
    found = []
    for identity, times in started.items():
        for at in times:
            before = [one for one in sendings.get(identity, ()) if one.sent_at <= at]
            latest = max(before, key=lambda one: one.sent_at, default=None)
            if latest is not None and latest.status in REFUSALS:
                found.append(f"{identity} got {latest.status} and ran")
    return found


def ran_twice(identities: Iterable[str], backends: Sequence[FakeBackend]) -> list[str]:
    """Return those of the requests that ran more often than once."""
    runs = Counter(identity for backend in backends for _, identity in backend.started)
    return [identity for identity in identities if runs[identity] > 1]
