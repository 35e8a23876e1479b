"""Divides the memory of a daemon process among the bodies that it holds."""

from finchshed.common.memory_budget import MemoryBudget
from finchshed.link.messages import Call

PROCESS_BYTES = 64 << 20
"""Memory of a process that holds no bodies."""

COPIES = 2
"""Memory taken for each byte that is held: the largest body is joined and encoded beside others,
and freed memory returns to the system late."""

MIN_BODIES_BYTES = 4 << 20
"""Bytes of bodies that are held even if the limit leaves no room for them."""

MAX_ANSWER_FRACTION = 0.25
"""Largest part of the budget that one answer may take, so that others find room beside it."""

SPOOL_FRACTION = 0.25
"""Part of the bodies that is kept for those of requests being received."""

CALL_BYTES = 2_048
"""Memory of the objects of one call without headers."""

CALL_HEADER_BYTES = 250
"""Memory of one header of a call without its text: as received, and as sent to the back end."""

CALL_TEXT_COPIES = 2


def call_bytes(call: Call) -> int:
    """Return the memory that a call takes beside its back end."""
    text = sum(len(name) + len(value) for name, value in call.headers)
    objects = CALL_BYTES + CALL_HEADER_BYTES * len(call.headers)
    return objects + CALL_TEXT_COPIES * text + len(call.body)


class MemoryPlan:
    """What a process may hold, derived from its memory.

    Parameters
    ----------
    max_memory_bytes
        Memory of the process.
    max_spooled_bytes
        Upper bound of the bodies of requests, whatever the memory.

    Attributes
    ----------
    spooled_bytes
        Bodies of requests being received.
    bodies
        Budget of all other bodies.
    max_answer_bytes
        Maximum size of one answer's body.
    """

    def __init__(self, max_memory_bytes: int, max_spooled_bytes: int) -> None:
        room = (max_memory_bytes - PROCESS_BYTES) // COPIES
        total = max(MIN_BODIES_BYTES, room)
        self.spooled_bytes = min(max_spooled_bytes, int(total * SPOOL_FRACTION))
        self.bodies = MemoryBudget(total - self.spooled_bytes)
        self.max_answer_bytes = int(self.bodies.limit * MAX_ANSWER_FRACTION)
