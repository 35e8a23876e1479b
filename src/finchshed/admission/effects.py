"""Effects returned by the gate, carried out by ``daemon/serving/callee.py``."""

from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason


class Start(msgspec.Struct, frozen=True, gc=False):
    """Send the request to the back end now."""

    token: int


class Refuse(msgspec.Struct, frozen=True, gc=False):
    """Refuse the request, which has not run.

    Attributes
    ----------
    retry_after
        Seconds after which the client may try again.
    detail
        The caller and its share, if the request lies beyond the share; empty otherwise.
    """

    token: int
    reason: RefusalReason
    retry_after: float
    detail: str = ""


GateEffect: TypeAlias = Start | Refuse
