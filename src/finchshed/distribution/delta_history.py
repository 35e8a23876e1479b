"""Bounded history of recent deltas, used to update receivers that are a few changes behind."""

from collections import deque

import msgspec

from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, full_delta, merge

DEFAULT_MAX_BYTES = 2 << 20
"""Default maximum size of all deltas together, in encoded form."""

_encoder = msgspec.json.Encoder()


class _SizedDelta(msgspec.Struct, frozen=True):
    delta: Delta
    encoded_bytes: int


class DeltaHistory:
    """Consecutive deltas; the oldest are evicted first.

    The latest delta is always kept. It takes little memory of its own, since its resources are
    those of the current configuration.

    Parameters
    ----------
    limit
        Maximum number of deltas.
    max_bytes
        Maximum size of all deltas but the latest, in encoded form.
    """

    def __init__(self, limit: int, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._limit = limit
        self._max_bytes = max_bytes
        self._deltas: deque[_SizedDelta] = deque()
        self._encoded_bytes = 0

    def __len__(self) -> int:
        return len(self._deltas)

    @property
    def encoded_bytes(self) -> int:
        """Size of all deltas in encoded form."""
        return self._encoded_bytes

    def clear(self) -> None:
        """Remove all deltas."""
        self._deltas.clear()
        self._encoded_bytes = 0

    def append(self, delta: Delta) -> None:
        """Append an applied delta; a full configuration clears the history instead."""
        if delta.base == 0:
            self.clear()
            return
        held = self._deltas[-1].delta.revision if self._deltas else delta.base
        # The overlap repeats equal states, so the delta may start at the end of the history.
        base = max(delta.base, held)
        size = len(_encoder.encode(delta))
        consecutive = Delta(base, delta.revision, delta.puts, delta.deletes)
        self._deltas.append(_SizedDelta(consecutive, size))
        self._encoded_bytes += size
        while len(self._deltas) > 1 and self._is_over_limit():
            self._encoded_bytes -= self._deltas.popleft().encoded_bytes

    def first_after(self, revision: int) -> Delta | None:
        """Return the delta that starts at ``revision``, or None if it isn't held."""
        held = (item.delta for item in self._deltas)
        return next((delta for delta in held if delta.base == revision), None)

    def between(self, base: int, configuration: Configuration) -> Delta:
        """Return the delta from ``base`` to ``configuration``, merged or full if that is shorter.

        The delta is also full if the history doesn't reach back to ``base``.
        """
        reaches_back = bool(self._deltas) and self._deltas[0].delta.base <= base
        if base == 0 or not reaches_back:
            return full_delta(configuration)
        merged = merge(
            item.delta
            for item in self._deltas
            if base < item.delta.revision <= configuration.revision
        )
        if len(merged.puts) >= len(configuration.resources):
            return full_delta(configuration)
        return merged

    def _is_over_limit(self) -> bool:
        earlier_bytes = self._encoded_bytes - self._deltas[-1].encoded_bytes
        return len(self._deltas) > self._limit or earlier_bytes > self._max_bytes
