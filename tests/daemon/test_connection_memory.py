"""A closed client connection is freed by reference counting, without garbage collection."""

import gc
import weakref

from finchshed.http.connection import InboundConnection


class Owner:
    """Fake server with the members that an unused connection needs."""

    now = 0.0
    memory = None

    def closed(self, connection: InboundConnection[object]) -> None:
        pass


def test_an_ended_connection_is_freed_without_a_collection() -> None:
    gc.collect()
    gc.disable()
    try:
        connection: InboundConnection[object] = InboundConnection(Owner())  # type: ignore[arg-type]
        connection.connection_lost(None)
        held = weakref.ref(connection)
        del connection
        assert held() is None
    finally:
        gc.enable()
