"""Progress states of a call at the daemon that serves it; shared with the emulator."""

import enum


class InboundCallState(enum.Enum):
    """Progress of a call."""

    QUEUED = "queued"
    ASKING_LEDGER = "asking_ledger"
    AT_BACKEND = "at_backend"
    RECORDING = "recording"
    DONE = "done"
