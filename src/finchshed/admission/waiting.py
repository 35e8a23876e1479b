"""The queue of a gate: requests that wait for a slot, ordered by rank.

Owns the order and who gives way; the gate decides when, and refuses what is taken out here. Equal
ranks go in the order of their arrival.
"""

from bisect import bisect_left, insort

import msgspec


class Waiting(msgspec.Struct, gc=False):
    """A request in the queue.

    Attributes
    ----------
    rank
        What the queue is ordered by.
    admission_rank
        What the threshold admits it by.
    order
        Number of its arrival.
    deadline
        Monotonic seconds.
    may_be_shed
        Whether it belongs to nothing that was admitted as a whole.
    """

    rank: int
    admission_rank: int
    order: int
    token: int
    deadline: float
    may_be_shed: bool


class WaitingQueue:
    """Requests that wait, the highest rank first."""

    def __init__(self) -> None:
        self._keys: list[tuple[int, int, Waiting]] = []
        self._by_token: dict[int, Waiting] = {}

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._keys)

    def count_ahead(self, waiting: Waiting) -> int:
        """Return the number of requests that would start before ``waiting``."""
        return len(self._keys) - bisect_left(self._keys, _key_of(waiting))

    def add(self, waiting: Waiting) -> None:
        """Have a request wait."""
        insort(self._keys, _key_of(waiting))
        self._by_token[waiting.token] = waiting

    def pop_highest(self) -> Waiting:
        """Take out the request that starts next."""
        waiting = self._keys.pop()[2]
        del self._by_token[waiting.token]
        return waiting

    def remove(self, token: int) -> bool:
        """Take out one request; return whether it was waiting."""
        waiting = self._by_token.pop(token, None)
        if waiting is None:
            return False
        self._keys.pop(bisect_left(self._keys, (waiting.rank, -waiting.order)))
        return True

    def make_room_for(self, arrived: Waiting) -> Waiting | None:
        """Take out what gives way in a full queue; None: the request that arrived does.

        Of requests outside sessions the lowest rank gives way, to any request of a running session.
        Where only sessions wait, the lowest rank does.
        """
        place = self._place_giving_way(arrived)
        if place is None:
            return None
        waiting = self._keys.pop(place)[2]
        del self._by_token[waiting.token]
        return waiting

    def take_out_late(self, finish: float, per_finish: float) -> list[Waiting]:
        """Take out what can't finish in time, the highest rank first.

        Parameters
        ----------
        finish
            When a request that starts now would finish, monotonic seconds.
        per_finish
            Mean seconds between two finishes; each request that stays ahead costs one of them.
        """
        kept: list[tuple[int, int, Waiting]] = []
        late: list[Waiting] = []
        for key in reversed(self._keys):
            if finish + (len(kept) + 1) * per_finish > key[2].deadline:
                late.append(key[2])
            else:
                kept.append(key)
        kept.reverse()
        self._keep(kept, late)
        return late

    def take_out_below(self, threshold: int, at_most: int) -> list[Waiting]:
        """Take out what may be shed below ``threshold``, the lowest rank first."""
        kept: list[tuple[int, int, Waiting]] = []
        below: list[Waiting] = []
        for key in self._keys:
            waiting = key[2]
            is_shed = waiting.may_be_shed and waiting.admission_rank < threshold
            if len(below) < at_most and is_shed:
                below.append(waiting)
            else:
                kept.append(key)
        self._keep(kept, below)
        return below

    def _place_giving_way(self, arrived: Waiting) -> int | None:
        for place, key in enumerate(self._keys):
            if key[2].may_be_shed:
                gives_way = not arrived.may_be_shed or key[0] < arrived.rank
                return place if gives_way else None
        return 0 if self._keys[0][0] < arrived.rank else None

    def _keep(self, kept: list[tuple[int, int, Waiting]], taken_out: list[Waiting]) -> None:
        if taken_out:
            self._keys = kept
        for waiting in taken_out:
            del self._by_token[waiting.token]


def _key_of(waiting: Waiting) -> tuple[int, int, Waiting]:
    return waiting.rank, -waiting.order, waiting
