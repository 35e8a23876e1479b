"""Received bytes that aren't parsed yet, handed out in pieces.

No I/O.
"""

END_OF_HEAD = b"\r\n\r\n"


class UnparsedBytes:
    """Bytes of one connection, in the order in which they came."""

    def __init__(self) -> None:
        self._data = b""
        self._position = 0

    def __len__(self) -> int:
        """Return the number of bytes left."""
        return len(self._data) - self._position

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._data = self._data[self._position :] + data if len(self) else data
        self._position = 0

    def take(self, size: int) -> memoryview:
        """Return the next ``size`` bytes, or what is left."""
        start = self._position
        piece = memoryview(self._data)[start : start + size]
        self._position += len(piece)
        if not len(self):
            self.clear()
        return piece

    def take_head(self, size: int) -> memoryview:
        """Return the bytes up to the end of a head, at most ``size``."""
        end = self._data.find(END_OF_HEAD, self._position, self._position + size)
        return self.take(size if end < 0 else end + len(END_OF_HEAD) - self._position)

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = b""
        self._position = 0
