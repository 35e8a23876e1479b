"""Pauses and resumes reading from a connection."""

import asyncio


class Reading:
    """Whether a connection is read; each change may be asked for repeatedly."""

    def __init__(self) -> None:
        self._is_paused = False

    def pause(self, transport: asyncio.Transport | None) -> None:
        """Leave what the peer sends to the kernel; no-op without a transport."""
        if transport is not None and not self._is_paused:
            self._is_paused = True
            transport.pause_reading()

    def resume(self, transport: asyncio.Transport | None) -> None:
        """Read again; no-op without a transport."""
        if transport is not None and self._is_paused:
            self._is_paused = False
            transport.resume_reading()
