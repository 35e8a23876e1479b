"""Whether a process does its work."""

import msgspec


class Health(msgspec.Struct, frozen=True):
    """Answer of /healthz. ``detail`` says what an unhealthy process waits for."""

    healthy: bool
    detail: str = ""
