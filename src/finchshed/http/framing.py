"""Bounds the bytes of a message that belong neither to its head nor to its body.

These are chunk sizes, chunk extensions and trailers (RFC 9112, 7.1), which may go on without end.
"""

MAX_FRAMING_BYTES = 262_144
"""Such bytes that any message may have."""

FRAMING_DIVISOR = 4
"""The size of its body divided by this is what a message may have of them in addition."""

MAX_FRAMING_BYTES_AT_ONCE = 16_384
"""Such bytes that may come without a byte of the body in between."""


class FramingMeter:
    """Counts the framing of one message, from the end of its head on."""

    def __init__(self) -> None:
        self._head_bytes: int | None = None
        self._body_bytes = 0
        self._at_last_body = 0

    def exceeds(self, received_bytes: int, body_bytes: int) -> bool:
        """Return whether a message whose head is complete has too much framing.

        Must be called after each read from then on. What comes with the end of the head counts as
        head.

        Parameters
        ----------
        received_bytes
            Bytes of the message received so far.
        body_bytes
            Those of them that belong to the body.
        """
        outside_body = received_bytes - body_bytes
        if self._head_bytes is None:
            self._head_bytes = outside_body
        framing = outside_body - self._head_bytes
        if body_bytes > self._body_bytes:
            self._body_bytes = body_bytes
            self._at_last_body = framing
        at_once = framing - self._at_last_body
        allowed = MAX_FRAMING_BYTES + body_bytes // FRAMING_DIVISOR
        return at_once > MAX_FRAMING_BYTES_AT_ONCE or framing > allowed
