"""Connection of an emulated daemon to the control plane."""

from dataclasses import dataclass

from finchshed.emulator.daemons.follower_runner import SimulatedFollowerRunner
from finchshed.emulator.daemons.ledger_client import LedgerClient


@dataclass(slots=True)
class ControlConnection:
    """Ledger client and follower of one generation; without a follower, others configure it."""

    ledger: LedgerClient
    follower: SimulatedFollowerRunner | None = None
