"""The configuration as committed at one control node, and the lines that bring others to it. Pure.

Owns the configuration, its latest changes, and each line made of them: a delta is encoded once,
and the same bytes are written to all of its subscribers.
"""

from finchshed.common.errors import InvariantError
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.hub_effects import SharedLine
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, apply_delta, empty_delta


class CommittedConfiguration:
    """The configuration of one hub.

    Parameters
    ----------
    history_changes
        Changes kept for merged deltas; who is further behind gets the whole configuration.
    """

    def __init__(self, history_changes: int) -> None:
        self._current = Configuration()
        self._history = DeltaHistory(history_changes)
        self._catch_up: dict[int, SharedLine] = {}
        self._unchanged: dict[bool, SharedLine] = {}

    @property
    def current(self) -> Configuration:
        """The configuration as committed and applied here."""
        return self._current

    @property
    def revision(self) -> int:
        """Its revision."""
        return self._current.revision

    def restore(self, configuration: Configuration) -> None:
        """Replace the whole configuration by that of a snapshot.

        Raises
        ------
        InvariantError
            If it would take the committed configuration back.
        """
        if configuration.revision < self.revision:
            raise InvariantError("a snapshot must not revert the configuration")
        if configuration.revision > self.revision:
            self._history.clear()
        self._current = configuration
        self._forget_lines()

    def apply(self, delta: Delta) -> None:
        """Apply one committed change, from the revision before it.

        Raises
        ------
        InvariantError
            If it does not follow the change before it.
        """
        if delta.base != self.revision or delta.revision <= delta.base:
            raise InvariantError(f"change {delta.revision} does not follow {delta.base}")
        before = self._current if delta.base > 0 else Configuration()
        self._current = apply_delta(before, delta)
        self._history.append(delta)
        self._forget_lines()

    def catch_up_line(self, base: int) -> SharedLine:
        """Return the line that brings ``base`` to the current revision."""
        line = self._catch_up.get(base)
        if line is None:
            line = SharedLine(self._history.between(base, self._current))
            self._catch_up[base] = line
        return line

    def unchanged_line(self, confirmed: bool) -> SharedLine:
        """Return the line that changes nothing; ``confirmed`` says that a quorum confirmed it."""
        line = self._unchanged.get(confirmed)
        if line is None:
            line = SharedLine(empty_delta(self.revision, confirmed))
            self._unchanged[confirmed] = line
        return line

    def _forget_lines(self) -> None:
        self._catch_up.clear()
        self._unchanged.clear()
