"""Start-time fair queueing over callers (Goyal, Vin, Cheng, *Start-time Fair Queueing*, 1996).

A request's start tag is the virtual time at which it would start if its caller used exactly its
share. Requests of one class start in the order of their tags, so those of a caller that sends more
than its share wait behind the others at once, before any threshold limits the caller.

The tag of a request follows from the caller's last started request and the number that it has
queued. Requests that leave the queue without being started therefore aren't charged to it.
"""

from collections import Counter

import msgspec

from finchshed.common.importance import Importance

MAX_FLOWS = 1024
"""Maximum number of callers with a finish tag, over all classes.

A caller beyond it begins at the virtual time, as one that was idle does.
"""


class Flow(msgspec.Struct, frozen=True, gc=False):
    """The requests of one caller in one class."""

    importance: Importance
    caller: str


class StartTags:
    """Start tags of the requests at one gate. Virtual times are in slot seconds per weight."""

    def __init__(self) -> None:
        self._virtual_times = [0.0] * len(Importance)
        self._finish_tags: dict[Flow, float] = {}
        self._queued: Counter[Flow] = Counter()
        self._running: Counter[Flow] = Counter()

    def __len__(self) -> int:
        """Return the number of callers with a tag or a queued request (for tests)."""
        return len(self._finish_tags.keys() | self._queued.keys())

    def next_tag(self, flow: Flow, cost: float) -> float:
        """Return the tag of one more request; ``cost`` is its slot seconds divided by weight."""
        virtual_time = self._virtual_times[flow.importance]
        begin = max(virtual_time, self._finish_tags.get(flow, virtual_time))
        return begin + self._queued.get(flow, 0) * cost

    def queued(self, flow: Flow) -> int:
        """Return the number of requests that wait."""
        return self._queued.get(flow, 0)

    def queued_of_class(self, importance: Importance) -> int:
        """Return the number of requests of a class that wait."""
        return sum(count for flow, count in self._queued.items() if flow.importance is importance)

    def in_progress(self, flow: Flow) -> int:
        """Return the number of requests that wait or run."""
        return self._queued.get(flow, 0) + self._running.get(flow, 0)

    def on_queued(self, flow: Flow) -> None:
        """Record that a request waits."""
        self._queued[flow] += 1

    def on_left_queue(self, flow: Flow) -> None:
        """Record that a request waits no longer, whether it was started or not."""
        _decrement(self._queued, flow)

    def on_start(self, flow: Flow, tag: float, cost: float) -> None:
        """Record that a request of this tag was started."""
        self._running[flow] += 1
        virtual_time = max(self._virtual_times[flow.importance], tag)
        self._virtual_times[flow.importance] = virtual_time
        if flow not in self._finish_tags and len(self._finish_tags) >= MAX_FLOWS:
            self._drop_past_tags()
        if flow in self._finish_tags or len(self._finish_tags) < MAX_FLOWS:
            begin = max(tag, self._finish_tags.get(flow, tag))
            self._finish_tags[flow] = begin + cost

    def on_end(self, flow: Flow) -> None:
        """Record that a started request has ended."""
        _decrement(self._running, flow)

    def _drop_past_tags(self) -> None:
        """Drop the tags that no longer matter, because the virtual time has passed them."""
        self._finish_tags = {
            flow: tag
            for flow, tag in self._finish_tags.items()
            if tag > self._virtual_times[flow.importance]
        }


def _decrement(counts: Counter[Flow], flow: Flow) -> None:
    """Count one request less; those from before shares were enabled have not been counted."""
    if counts[flow] > 1:
        counts[flow] -= 1
    else:
        del counts[flow]
