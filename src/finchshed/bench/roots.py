"""What happened to each root request of a history."""

import math
from collections.abc import Iterable

import msgspec

from finchshed.common.importance import Importance
from finchshed.http.status import STATUS_OK
from finchshed.proof.history import CallBegan, CallEnded, CallResult, Event, RunBegan


class RootRecord(msgspec.Struct):
    """What happened to one root request.

    ``finished`` is the time of the first whole answer, or infinite.
    """

    kind: str
    importance: Importance
    arrived: float
    finished: float = math.inf
    client_attempts: int = 0
    runs: int = 0
    deep_runs: int = 0

    @property
    def good(self) -> bool:
        """Whether the caller got a whole answer."""
        return self.finished < math.inf


def roots_of(events: Iterable[Event], deep_service: str) -> dict[str, RootRecord]:
    """Gather what happened to each root request."""
    roots: dict[str, RootRecord] = {}
    for event in events:
        if isinstance(event, CallBegan):
            if not event.parent:
                _note_arrival(roots, event)
        elif isinstance(event, CallEnded):
            _note_answer(roots, event)
        elif isinstance(event, RunBegan):
            root = roots.get(event.root)
            if root is not None:
                root.runs += 1
                root.deep_runs += event.service == deep_service
    return roots


def _note_arrival(roots: dict[str, RootRecord], event: CallBegan) -> None:
    root = roots.get(event.root)
    if root is None:
        root = roots[event.root] = RootRecord(event.kind, event.importance, event.time)
    root.client_attempts += 1


def _note_answer(roots: dict[str, RootRecord], event: CallEnded) -> None:
    if event.result is not CallResult.ANSWERED or event.status != STATUS_OK or not event.whole:
        return
    name, _, _ = event.call.rpartition("/")
    root = roots.get(name)
    if root is not None and event.time < root.finished:
        root.finished = event.time
