"""Health status of a process."""

import msgspec


class Health(msgspec.Struct, frozen=True):
    """Response of ``/healthz``; ``detail`` is what an unhealthy process is waiting for."""

    healthy: bool
    detail: str = ""
