"""An emulated daemon's way to control."""

from dataclasses import dataclass

from finchshed.emulator.daemons.follower_shell import FollowerShell
from finchshed.emulator.daemons.ledger_client import LedgerClient


@dataclass(slots=True)
class ControlConnection:
    """A daemon's way to control in one life; without a follower it is configured from outside."""

    ledger: LedgerClient
    follower: FollowerShell | None = None
