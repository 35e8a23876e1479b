"""Sends the heartbeats of one link and notices its silence: the timer of a silence detector.

Owns the timer. Relies on the link to report what it sends and receives.
"""

import asyncio
from collections.abc import Callable

from finchshed.link.silence import LivenessAction, SilenceDetector


class LinkHeartbeats:
    """Looks at a link when a heartbeat may be due.

    Parameters
    ----------
    is_busy
        Returns whether calls are in progress.
    send_heartbeat
        Sends one, and returns whether the link could.
    on_silent
        Called once the link is broken by silence; there are no looks after it.
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
        self._looks_often = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin with the first line sent: the peer's answer to it is awaited."""
        self._detector.on_received(self._loop.time())
        self._detector.on_sent(self._loop.time())
        self._schedule()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def on_received(self) -> None:
        """Note that a line came in."""
        self._detector.on_received(self._loop.time())

    def on_call_sent(self, now: float) -> None:
        """Note that a call was sent, which the peer answers."""
        self._detector.on_sent(now)
        if not self._looks_often:
            self._schedule()

    def send_now(self) -> None:
        """Send a heartbeat without waiting until one is due."""
        self._send(self._loop.time())

    def _send(self, now: float) -> None:
        if self._send_heartbeat():
            self._detector.on_sent(now)

    def _schedule(self) -> None:
        self.stop()
        is_busy = self._is_busy()
        self._looks_often = is_busy or self._detector.is_awaiting
        wait = self._detector.next_check(self._loop.time(), is_busy)
        self._timer = self._loop.call_later(wait, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        verdict = self._detector.check(now, self._is_busy())
        if verdict is LivenessAction.BROKEN:
            self._on_silent()
            return
        if verdict is LivenessAction.SEND_HEARTBEAT:
            self._send(now)
        self._schedule()
