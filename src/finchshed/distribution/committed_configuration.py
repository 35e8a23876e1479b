"""Committed configuration of one control node and the encoded deltas sent to subscribers. No I/O.

Each delta is encoded once, and the same bytes are written to all subscribers that need it.
"""

from finchshed.common.errors import InvariantError
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.hub_effects import SharedLine
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, apply_delta, empty_delta

MAX_CACHED_LINES = 4
"""Encoded lines kept for other subscribers at the same revision; each may hold all resources."""


class CommittedConfiguration:
    """Committed configuration of one hub, with cached lines for its subscribers.

    Parameters
    ----------
    history_changes, history_bytes
        Number and encoded size of the changes kept for merged deltas. Subscribers further behind
        receive the whole configuration.
    """

    def __init__(self, history_changes: int, history_bytes: int) -> None:
        self._current = Configuration()
        self._history = DeltaHistory(history_changes, history_bytes)
        self._catch_up: dict[int, SharedLine] = {}
        self._unchanged: dict[bool, SharedLine] = {}

    @property
    def current(self) -> Configuration:
        """The committed configuration."""
        return self._current

    @property
    def history_bytes(self) -> int:
        """Encoded size of the changes kept for merged deltas."""
        return self._history.encoded_bytes

    @property
    def revision(self) -> int:
        """Revision of the committed configuration."""
        return self._current.revision

    def restore(self, configuration: Configuration) -> None:
        """Replace the configuration by that of a snapshot.

        Raises
        ------
        InvariantError
            If the snapshot is older than the committed configuration.
        """
        if configuration.revision < self.revision:
            raise InvariantError(
                f"snapshot at revision {configuration.revision} is older than the committed "
                f"revision {self.revision}"
            )
        if configuration.revision > self.revision:
            self._history.clear()
        self._current = configuration
        self._clear_lines()

    def apply(self, delta: Delta) -> None:
        """Apply the next committed change.

        Raises
        ------
        InvariantError
            If the change doesn't start at the current revision.
        """
        if delta.base != self.revision or delta.revision <= delta.base:
            raise InvariantError(
                f"change from revision {delta.base} to {delta.revision} doesn't follow the "
                f"committed revision {self.revision}"
            )
        before = self._current if delta.base > 0 else Configuration()
        self._current = apply_delta(before, delta)
        self._history.append(delta)
        self._clear_lines()

    def catch_up_line(self, base: int) -> SharedLine:
        """Return the encoded delta from ``base`` to the current revision."""
        line = self._catch_up.get(base)
        if line is not None:
            return line
        delta = self._history.between(base, self._current)
        # All who need the whole configuration get the same line.
        line = self._catch_up.get(delta.base) or SharedLine(delta)
        if len(self._catch_up) >= MAX_CACHED_LINES:
            del self._catch_up[next(iter(self._catch_up))]
        self._catch_up[delta.base] = line
        return line

    def unchanged_line(self, confirmed: bool) -> SharedLine:
        """Return the encoded empty delta; ``confirmed`` states that a quorum confirmed it."""
        line = self._unchanged.get(confirmed)
        if line is None:
            line = SharedLine(empty_delta(self.revision, confirmed))
            self._unchanged[confirmed] = line
        return line

    def _clear_lines(self) -> None:
        self._catch_up.clear()
        self._unchanged.clear()
