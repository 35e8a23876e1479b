"""Decides when to send a heartbeat on a link and when to consider the peer dead.

A frozen or partitioned peer does not close its connection. Links with calls in progress are
checked at short intervals to detect this quickly. Idle links use a longer interval, because a
daemon has many links and each heartbeat wakes both ends. Contains no timer; see
:mod:`finchshed.link.heartbeats`.
"""

import enum


class LivenessAction(enum.Enum):
    """Action required after a check."""

    WAIT = "wait"
    SEND_HEARTBEAT = "send_heartbeat"
    BROKEN = "broken"


class SilenceDetector:
    """Tracks activity on one link. Times are in seconds on a monotonic clock.

    Parameters
    ----------
    heartbeat_seconds
        Check interval while calls are in progress or an answer is awaited.
    idle_heartbeat_seconds
        Check interval of an idle link; at least ``heartbeat_seconds``.
    silence_seconds
        Time without received data, while an answer is awaited, after which the link is broken.
    """

    def __init__(
        self, heartbeat_seconds: float, idle_heartbeat_seconds: float, silence_seconds: float
    ) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._idle_heartbeat_seconds = max(heartbeat_seconds, idle_heartbeat_seconds)
        self._silence_seconds = silence_seconds
        self._received_at = 0.0
        self._awaited_since: float | None = None
        self._due_at = 0.0

    @property
    def is_awaiting(self) -> bool:
        """Whether the peer owes an answer to a line sent after the last one received."""
        return self._awaited_since is not None

    def on_sent(self, now: float) -> None:
        """Record that a line was sent that the peer must answer."""
        if self._awaited_since is None:
            self._awaited_since = now

    def on_received(self, now: float) -> None:
        """Record that a line was received."""
        self._received_at = now
        self._awaited_since = None

    def next_check(self, now: float, is_busy: bool) -> float:
        """Schedule the next check and return the delay; ``is_busy`` if calls are in progress."""
        is_active = is_busy or self.is_awaiting
        delay = self._heartbeat_seconds if is_active else self._idle_heartbeat_seconds
        self._due_at = now + delay
        return delay

    def check(self, now: float, is_busy: bool) -> LivenessAction:
        """Return the action required now."""
        if self._awaited_since is not None:
            if now - self._due_at > self._silence_seconds / 2:
                # This process was stalled, so lines from the peer may still be unread.
                self._awaited_since = now
            if now - self._awaited_since >= self._silence_seconds:
                return LivenessAction.BROKEN
        interval = self._heartbeat_seconds if is_busy else self._idle_heartbeat_seconds
        if now - self._received_at >= interval / 2:
            return LivenessAction.SEND_HEARTBEAT
        return LivenessAction.WAIT
