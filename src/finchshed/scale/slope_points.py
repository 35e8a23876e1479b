"""What is measured at each point of the sweeps."""

import msgspec

from finchshed.scale.in_force import Quantiles
from finchshed.scale.usage import Usage


class ControlPoint(msgspec.Struct, frozen=True, kw_only=True):
    """What one control node used at one point."""

    node: str
    is_leader: bool
    is_standby: bool
    subscribers: int
    core_share: float
    resident_bytes: int


class SlopePoint(msgspec.Struct, frozen=True, kw_only=True, tag="point"):
    """One point: what was set, and what was used.

    Attributes
    ----------
    sweep
        What is varied from point to point.
    rate
        Changes accepted a second.
    restarts
        Daemons restarted a second.
    ledger, ledger_begin
        Requests begun and completed a second in the ledger, and seconds until leave was given.
    resources, configuration_bytes
        Size of the configuration: resources, and bytes as sent whole.
    hollow, real
        Of each process with hollow daemons, and of each real daemon.
    bytes_per_second
        Of each hollow daemon with control, both ways, mean; those restarted are left out.
    """

    sweep: str
    seconds: float
    daemons: int
    services: int
    rate: float
    restarts: float
    resources: int
    configuration_bytes: int
    ledger: float = 0.0
    ledger_begin: Quantiles | None = None
    control: tuple[ControlPoint, ...]
    hollow: Usage
    bytes_per_second: float
    real: Usage
    busy_share: float
