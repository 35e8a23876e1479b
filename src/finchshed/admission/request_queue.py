"""Priority queue of the requests that wait for a slot at one back end.

Requests of equal rank are ordered by start tag (:mod:`finchshed.admission.start_tags`) and then by
arrival. The queue selects which requests to remove; the gate
decides when, and refuses the removed ones.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable
from typing import TypeAlias

import msgspec


class QueuedRequest(msgspec.Struct, gc=False):
    """A request in the queue.

    Attributes
    ----------
    rank
        Rank by which the queue is ordered.
    admission_rank
        Rank that is compared with the admission threshold.
    order
        Sequence number of the arrival.
    arrived, deadline
        Monotonic seconds.
    is_sheddable
        False for requests of a session or call tree that was already admitted.
    sheddable_until
        Time until which it may be removed in favor of others, monotonic seconds; afterwards it
        stays until it starts or can no longer finish in time.
    caller
        Identity of the external caller.
    is_limited
        Whether a threshold of its caller applies to it.
    start_tag
        Place among the requests of equal rank; lower ones start first.
    """

    rank: int
    admission_rank: int
    order: int
    token: int
    arrived: float
    deadline: float
    is_sheddable: bool
    sheddable_until: float = math.inf
    caller: str = ""
    is_limited: bool = True
    start_tag: float = 0.0

    def may_be_shed(self, now: float) -> bool:
        """Return whether it may be removed in favor of others."""
        return self.is_sheddable and now <= self.sheddable_until


QueueObserver: TypeAlias = Callable[[QueuedRequest], None]
_Entry: TypeAlias = tuple[int, float, int, QueuedRequest]


def _ignore(_request: QueuedRequest) -> None:
    """Observe nothing."""


class RequestQueue:
    """Queued requests, highest rank first."""

    def __init__(self) -> None:
        self._on_added: QueueObserver = _ignore
        self._on_removed: QueueObserver = _ignore
        self._entries: list[_Entry] = []
        self._by_token: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def observe(self, on_added: QueueObserver, on_removed: QueueObserver) -> None:
        """Pass each request that is inserted, or leaves for any reason, to a function."""
        self._on_added = on_added
        self._on_removed = on_removed

    def stop_observing(self) -> None:
        """End what :meth:`observe` began."""
        self._on_added = _ignore
        self._on_removed = _ignore

    @property
    def lowest_rank(self) -> int | None:
        """Rank of the request that would start last, or None if the queue is empty."""
        return self._entries[0][0] if self._entries else None

    def count_ahead(self, request: QueuedRequest) -> int:
        """Return the number of requests that would start before ``request``."""
        return len(self._entries) - bisect_left(self._entries, _entry_of(request))

    def add(self, request: QueuedRequest) -> None:
        """Insert a request."""
        insort(self._entries, _entry_of(request))
        self._by_token[request.token] = request
        self._on_added(request)

    def pop_highest(self) -> QueuedRequest:
        """Remove and return the request to start next."""
        return self._forget(self._entries.pop())

    def pop_lowest(self) -> QueuedRequest:
        """Remove and return the request that would start last."""
        return self._forget(self._entries.pop(0))

    def remove(self, token: int) -> bool:
        """Remove one request; return whether it was queued."""
        request = self._by_token.get(token)
        if request is None:
            return False
        self._forget(self._entries.pop(bisect_left(self._entries, _entry_of(request)[:3])))
        return True

    def evict_for(self, arrived: QueuedRequest) -> QueuedRequest | None:
        """Remove and return the request that a full queue drops in favour of ``arrived``.

        The victim is the sheddable request of the lowest rank; any request that isn't sheddable
        displaces it. If none is sheddable, the victim is the lowest rank. Returns None if
        ``arrived`` itself has to be dropped.
        """
        index = self._eviction_index(arrived)
        if index is None:
            return None
        return self._forget(self._entries.pop(index))

    def remove_late(self, finish: float, per_finish: float) -> list[QueuedRequest]:
        """Remove the requests that can't finish before their deadline, highest rank first.

        Parameters
        ----------
        finish
            When a request started now would finish, monotonic seconds.
        per_finish
            Mean seconds between two finishes; each request that stays ahead adds one of them.
        """
        return self._remove_from_highest(
            lambda request, turn: finish + turn * per_finish > request.deadline
        )

    def remove_beyond_bound(self, now: float, per_finish: float) -> list[QueuedRequest]:
        """Remove the requests that won't start while they are sheddable, highest rank first.

        Parameters
        ----------
        per_finish
            Mean seconds between two finishes; each request that stays ahead adds one of them.
        """
        return self._remove_from_highest(
            lambda request, turn: (
                request.may_be_shed(now) and now + turn * per_finish > request.sheddable_until
            )
        )

    def remove_arrived_before(self, time: float) -> list[QueuedRequest]:
        """Remove the requests that arrived before ``time``, in monotonic seconds."""
        early = [entry[3] for entry in self._entries if entry[3].arrived < time]
        kept = [entry for entry in self._entries if entry[3].arrived >= time]
        self._replace_entries(kept, early)
        return early

    def remove_below(
        self, threshold_of: Callable[[QueuedRequest], int], at_most: int, now: float
    ) -> list[QueuedRequest]:
        """Remove sheddable requests below their thresholds, lowest rank first."""
        kept: list[_Entry] = []
        below: list[QueuedRequest] = []
        for entry in self._entries:
            request = entry[3]
            is_shed = request.may_be_shed(now) and request.admission_rank < threshold_of(request)
            if len(below) < at_most and is_shed:
                below.append(request)
            else:
                kept.append(entry)
        self._replace_entries(kept, below)
        return below

    def _eviction_index(self, arrived: QueuedRequest) -> int | None:
        for index, entry in enumerate(self._entries):
            if entry[3].may_be_shed(arrived.arrived):
                is_evicted = not arrived.is_sheddable or _is_behind(entry, arrived)
                return index if is_evicted else None
        lowest = self._entries[0]
        is_evicted = _is_behind(lowest, arrived) and arrived.arrived <= lowest[3].sheddable_until
        return 0 if is_evicted else None

    def _remove_from_highest(
        self, is_removed: Callable[[QueuedRequest, int], bool]
    ) -> list[QueuedRequest]:
        """Remove requests, highest rank first.

        Parameters
        ----------
        is_removed
            Decides on a request and its turn: 1 if it would start next, after those removed so far.
        """
        kept: list[_Entry] = []
        removed: list[QueuedRequest] = []
        for entry in reversed(self._entries):
            if is_removed(entry[3], len(kept) + 1):
                removed.append(entry[3])
            else:
                kept.append(entry)
        kept.reverse()
        self._replace_entries(kept, removed)
        return removed

    def _replace_entries(self, kept: list[_Entry], removed: list[QueuedRequest]) -> None:
        if removed:
            self._entries = kept
        for request in removed:
            del self._by_token[request.token]
            self._on_removed(request)

    def _forget(self, entry: _Entry) -> QueuedRequest:
        """Complete the removal of an entry."""
        request = entry[3]
        del self._by_token[request.token]
        self._on_removed(request)
        return request


def _entry_of(request: QueuedRequest) -> _Entry:
    return request.rank, -request.start_tag, -request.order, request


def _is_behind(entry: _Entry, request: QueuedRequest) -> bool:
    """Return whether an entry has a lower rank, or the same and a later start tag."""
    return entry[:2] < (request.rank, -request.start_tag)
