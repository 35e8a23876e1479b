"""How far a call has come at the daemon beside the back end; pure, so that simulations use it."""

import enum


class InboundCallState(enum.Enum):
    """How far a call has come."""

    QUEUED = "queued"
    ASKING_LEDGER = "asking_ledger"
    AT_BACKEND = "at_backend"
    RECORDING = "recording"
    DONE = "done"
