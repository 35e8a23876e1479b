"""Drives a link's silence detector with a timer on the event loop.

Owns the timer. The link must report the lines it sends and receives.
"""

import asyncio
from collections.abc import Callable

from finchshed.link.silence import LivenessAction, SilenceDetector


class LinkHeartbeats:
    """Checks a link periodically, sends heartbeats and detects a dead peer.

    Parameters
    ----------
    is_busy
        Whether calls are in progress on the link.
    send_heartbeat
        Sends a heartbeat; returns False if the link cannot send.
    on_silent
        Called once when the peer is considered dead; checks stop afterwards.
    """

    def __init__(
        self,
        detector: SilenceDetector,
        loop: asyncio.AbstractEventLoop,
        *,
        is_busy: Callable[[], bool],
        send_heartbeat: Callable[[], bool],
        on_silent: Callable[[], None],
    ) -> None:
        self._detector = detector
        self._loop = loop
        self._is_busy = is_busy
        self._send_heartbeat = send_heartbeat
        self._on_silent = on_silent
        self._uses_short_interval = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start checking; call after sending the first line, which the peer must answer."""
        self._detector.on_received(self._loop.time())
        self._detector.on_sent(self._loop.time())
        self._schedule()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def on_received(self) -> None:
        """Record that a line was received."""
        self._detector.on_received(self._loop.time())

    def on_call_sent(self, now: float) -> None:
        """Record that a call was sent; shortens the check interval if needed."""
        self._detector.on_sent(now)
        if not self._uses_short_interval:
            self._schedule()

    def send_now(self) -> None:
        """Send a heartbeat immediately."""
        self._send(self._loop.time())

    def _send(self, now: float) -> None:
        if self._send_heartbeat():
            self._detector.on_sent(now)

    def _schedule(self) -> None:
        self.stop()
        is_busy = self._is_busy()
        self._uses_short_interval = is_busy or self._detector.is_awaiting
        delay = self._detector.next_check(self._loop.time(), is_busy)
        self._timer = self._loop.call_later(delay, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        action = self._detector.check(now, self._is_busy())
        if action is LivenessAction.BROKEN:
            self._on_silent()
            return
        if action is LivenessAction.SEND_HEARTBEAT:
            self._send(now)
        self._schedule()
