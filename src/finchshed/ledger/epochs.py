"""Assignment of idempotency keys to ledger shards, by the time a key was issued.

Keys are stored either in the ledger of the control group itself or in shards, each a separate
control group. A key always belongs to the shards of the epoch in which it was issued. A change of
the shards therefore copies no keys, and a group that is no longer used can be stopped one window
later.

A new epoch starts with a delay after the change that declares it is committed:

- From the control group's ledger: :data:`CLOCK_LEAD_SECONDS`. That ledger has granted no key issued
  later than that, since it refuses keys from the future, and a lagging control node forwards to it.
- From shards: :data:`SHARD_CHANGE_LEAD_SECONDS`, because a lagging control node sends keys straight
  to shards. It does so only for keys that are not from the future by its clock, and only if a
  majority confirmed its state within :data:`CONFIRMATION_VALIDITY_SECONDS`. If the clocks of
  control nodes differ by at most ``CLOCK_LEAD_SECONDS``, every node that receives a key of the new
  epoch knows that epoch.
- If the ledger has never been used: no delay.
"""

import msgspec
import xxhash

from finchshed.ledger.keys import issued_at
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS

CLOCK_LEAD_SECONDS = MAX_CLOCK_LEAD_SECONDS
SHARD_CHANGE_LEAD_SECONDS = 300.0
"""Delay of an epoch that follows a sharded one.

Must exceed the sum of the clock lead and the confirmation validity.
"""

CONFIRMATION_VALIDITY_SECONDS = 30.0
"""Time for which a control node may route keys to shards after a majority confirmed its state."""

ShardAddresses = tuple[str, ...]
"""Distribution addresses of a shard's group; empty for the control group itself."""

CONTROL_GROUP: ShardAddresses = ()


class LedgerEpoch(msgspec.Struct, frozen=True, array_like=True):
    """Shards of the keys issued from ``start`` (Unix seconds) on; none for the control group."""

    start: float
    shards: tuple[ShardAddresses, ...] = ()


class EpochsSnapshot(msgspec.Struct, frozen=True):
    """Serialized state of :class:`LedgerEpochs`."""

    epochs: tuple[LedgerEpoch, ...] = (LedgerEpoch(0.0),)
    is_used: bool = False


def shard_number(key: str, count: int) -> int:
    """Return the index of the shard of ``key`` among ``count`` shards."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


class LedgerEpochs:
    """Epochs to which unexpired keys may belong, oldest first."""

    def __init__(self) -> None:
        self._epochs: tuple[LedgerEpoch, ...] = (LedgerEpoch(0.0),)
        self.is_used = False

    @property
    def latest(self) -> LedgerEpoch:
        """The epoch declared last; it may not have started yet."""
        return self._epochs[-1]

    def declare(self, shards: tuple[ShardAddresses, ...], time: float) -> None:
        """Add an epoch if ``shards`` differ from the latest; ``time`` is that of the log."""
        latest = self.latest
        if shards == latest.shards:
            return
        if not self.is_used:
            self._epochs = (LedgerEpoch(0.0, shards),)
            return
        lead_seconds = SHARD_CHANGE_LEAD_SECONDS if latest.shards else CLOCK_LEAD_SECONDS
        start = max(time + lead_seconds, latest.start)
        self._epochs = (*self._epochs, LedgerEpoch(start, shards))

    def forget(self, oldest_issued: float) -> None:
        """Drop epochs whose keys were all issued before ``oldest_issued``, in Unix seconds."""
        while len(self._epochs) > 1 and self._epochs[1].start <= oldest_issued:
            self._epochs = self._epochs[1:]

    def group_of(self, key: str) -> ShardAddresses:
        """Return the group of ``key``; a key without issue time belongs to the control group."""
        issued = issued_at(key)
        if issued is None:
            return CONTROL_GROUP
        begun = [epoch for epoch in self._epochs if epoch.start <= issued]
        shards = begun[-1].shards if begun else self._epochs[0].shards
        return shards[shard_number(key, len(shards))] if shards else CONTROL_GROUP

    def groups(self) -> set[ShardAddresses]:
        """Return the groups of all shards to which unexpired keys may belong."""
        return {group for epoch in self._epochs for group in epoch.shards}

    def snapshot(self) -> EpochsSnapshot:
        """Return the current state."""
        return EpochsSnapshot(self._epochs, self.is_used)

    def restore(self, snapshot: EpochsSnapshot) -> None:
        """Replace the state by ``snapshot``."""
        self._epochs = snapshot.epochs
        self.is_used = snapshot.is_used
