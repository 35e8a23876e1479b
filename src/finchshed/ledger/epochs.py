"""Which log a key belongs to, by the time the key was made. Pure.

The ledger is either the control group's own or spread by key over shards, each a control group of
its own. What holds for a key never changes: its shards are those of the epoch in which it was
made. So a change of the shards needs no copying of keys, and a group that is no longer used may be
stopped one window later.

A new epoch begins some time after the change that declares it is committed:

- From the control group's own ledger: :data:`CLOCK_LEAD_SECONDS`. The own ledger has granted no
  key made later than that, since such keys come from the future; and a control node that lags asks
  the own log, which knows.
- From shards: :data:`MOVE_SECONDS`, since a control node that lags sends keys straight to shards.
  It does so only for keys that aren't from the future by its clock, and only if a majority
  confirmed its state within :data:`CONFIRMATION_VALIDITY_SECONDS`. With clocks of control nodes at
  most ``CLOCK_LEAD_SECONDS`` apart, whoever is given a key of the new epoch knows the epoch.
- Where no key was ever begun: at once.
"""

import msgspec
import xxhash

from finchshed.ledger.keys import issued_at
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS

CLOCK_LEAD_SECONDS = MAX_CLOCK_LEAD_SECONDS
MOVE_SECONDS = 300.0
"""Lead of an epoch that follows shards; above the clock lead and the time of a confirmation
together (see above). Chosen, not measured."""

CONFIRMATION_VALIDITY_SECONDS = 30.0
"""A control node sends keys to shards for this long after a majority confirmed its state. Chosen,
not measured."""

ShardAddresses = tuple[str, ...]
"""Distribution addresses of one shard's group; empty: the control group itself."""

CONTROL_GROUP: ShardAddresses = ()


class LedgerEpoch(msgspec.Struct, frozen=True, array_like=True):
    """Keys made at or after ``start`` (Unix seconds) belong to ``shards``; none: the own ledger."""

    start: float
    shards: tuple[ShardAddresses, ...] = ()


class EpochsSnapshot(msgspec.Struct, frozen=True):
    """Everything held."""

    epochs: tuple[LedgerEpoch, ...] = (LedgerEpoch(0.0),)
    is_used: bool = False


def shard_number(key: str, count: int) -> int:
    """Return which of ``count`` shards ``key`` belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


class LedgerEpochs:
    """The epochs that keys within the window may belong to, oldest first."""

    def __init__(self) -> None:
        self._epochs: tuple[LedgerEpoch, ...] = (LedgerEpoch(0.0),)
        self.is_used = False

    @property
    def latest(self) -> LedgerEpoch:
        """The epoch declared last; it may not have begun yet."""
        return self._epochs[-1]

    def declare(self, shards: tuple[ShardAddresses, ...], time: float) -> None:
        """Begin a new epoch if ``shards`` aren't those of the latest; ``time`` is the log's."""
        latest = self.latest
        if shards == latest.shards:
            return
        if not self.is_used:
            self._epochs = (LedgerEpoch(0.0, shards),)
            return
        lead = MOVE_SECONDS if latest.shards else CLOCK_LEAD_SECONDS
        start = max(time + lead, latest.start)
        self._epochs = (*self._epochs, LedgerEpoch(start, shards))

    def forget(self, oldest_issued: float) -> None:
        """Forget epochs whose keys are all older than ``oldest_issued``, Unix seconds."""
        while len(self._epochs) > 1 and self._epochs[1].start <= oldest_issued:
            self._epochs = self._epochs[1:]

    def group_of(self, key: str) -> ShardAddresses:
        """Return the group that ``key`` belongs to; a key without a time belongs to the own one."""
        issued = issued_at(key)
        if issued is None:
            return CONTROL_GROUP
        begun = [epoch for epoch in self._epochs if epoch.start <= issued]
        shards = begun[-1].shards if begun else self._epochs[0].shards
        return shards[shard_number(key, len(shards))] if shards else CONTROL_GROUP

    def groups(self) -> set[ShardAddresses]:
        """Return every group that a key may belong to."""
        return {group for epoch in self._epochs for group in epoch.shards}

    def snapshot(self) -> EpochsSnapshot:
        """Return everything held."""
        return EpochsSnapshot(self._epochs, self.is_used)

    def restore(self, snapshot: EpochsSnapshot) -> None:
        """Replace everything held."""
        self._epochs = snapshot.epochs
        self.is_used = snapshot.is_used
