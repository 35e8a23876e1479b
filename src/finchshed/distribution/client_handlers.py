"""What the connection to control tells its owner, and what it asks of it.

Owns no state. Relies on the owner to answer at once: all is called on the event loop.
"""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.distribution.messages import Delta


@dataclass(frozen=True, slots=True)
class ClientHandlers:
    """What the client tells its owner.

    ``revision_held`` and ``revision_in_force`` are read for subscriptions and heartbeats.
    """

    on_delta: Callable[[Delta], None]
    on_connected: Callable[[], None]
    on_disconnected: Callable[[], None]
    revision_held: Callable[[], int]
    revision_in_force: Callable[[], int]
