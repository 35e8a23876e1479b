"""Overrides that a run applies to its deployment."""

import msgspec

from finchshed.standins.settings import Phase


class PlanOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Overrides of a deployment's settings for one run.

    Attributes
    ----------
    relayed
        Whether internal links go through the relay, which link faults require.
    load_factor
        Multiplier of the rate of every load.
    phases
        Phases of the run; if empty, the deployment's own phases are used.
    platform_lag_seconds
        Lag of the platform's instance list; None for the deployment's own lag.
    """

    seed: int = 1
    relayed: bool = False
    load_factor: float = 1.0
    phases: tuple[Phase, ...] = ()
    platform_lag_seconds: float | None = None
