"""Effects returned by the gate, carried out by ``daemon/serving/callee.py``."""

from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason


class Start(msgspec.Struct, frozen=True, gc=False):
    """Send the request to the back end now."""

    token: int


class Refuse(msgspec.Struct, frozen=True, gc=False):
    """Refuse the request, which has not run. ``retry_after`` is in seconds."""

    token: int
    reason: RefusalReason
    retry_after: float


GateEffect: TypeAlias = Start | Refuse
