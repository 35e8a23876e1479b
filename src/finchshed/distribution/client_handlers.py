"""Callbacks from the control connection to its owner.

All callbacks run on the event loop and must not block.
"""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.distribution.messages import Delta


@dataclass(frozen=True, slots=True)
class ClientHandlers:
    """Callbacks of a :class:`~finchshed.distribution.client.ControlClient`.

    ``revision_held`` is sent with subscriptions and ``revision_in_force`` with heartbeats.
    """

    on_delta: Callable[[Delta], None]
    on_connected: Callable[[], None]
    on_disconnected: Callable[[], None]
    revision_held: Callable[[], int]
    revision_in_force: Callable[[], int]
