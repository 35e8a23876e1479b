"""A connection of a caller is freed when it ends, without waiting for a collection."""

import gc
import weakref

from finchshed.http.connection import InboundConnection


class Owner:
    """Stands in for the server, as far as an unused connection needs one."""

    now = 0.0

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
