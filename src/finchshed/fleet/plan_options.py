"""What a run changes of the deployment that it plans."""

import msgspec

from finchshed.standins.settings import Phase


class PlanOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a run changes of its deployment.

    Attributes
    ----------
    relayed
        Whether internal links go through the fleet's relay, so that they can be cut.
    load_factor
        Multiplies the rate of every load.
    """

    seed: int = 1
    relayed: bool = False
    load_factor: float = 1.0
    phases: tuple[Phase, ...] = ()
    platform_lag_seconds: float | None = None
