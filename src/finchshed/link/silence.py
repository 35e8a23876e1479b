"""When a link is sent a heartbeat, and when it is taken for broken.

A peer that is frozen or cut off closes no connection. On a link with calls in progress that is
found out quickly, by heartbeats that are not answered. On an idle link nobody waits for anything,
and heartbeats are rare: a daemon holds links to many peers, and each heartbeat wakes both ends.
Pure decisions: :mod:`finchshed.link.heartbeats` has the timer.
"""

import enum


class LivenessAction(enum.Enum):
    """What is to be done at a check."""

    WAIT = "wait"
    SEND_HEARTBEAT = "send_heartbeat"
    BROKEN = "broken"


class SilenceDetector:
    """Judges one link. Times are in seconds of one monotonic clock.

    Parameters
    ----------
    heartbeat_seconds
        A link with calls in progress that carried nothing for this long is sent a heartbeat.
    idle_heartbeat_seconds
        The same for a link without.
    silence_seconds
        A link on which something is awaited that carried nothing for this long is broken.
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
        """Whether something was sent since the last line came in."""
        return self._awaited_since is not None

    def on_sent(self, now: float) -> None:
        """Note that something was sent that the peer answers."""
        if self._awaited_since is None:
            self._awaited_since = now

    def on_received(self, now: float) -> None:
        """Note that a line came in."""
        self._received_at = now
        self._awaited_since = None

    def next_check(self, now: float, is_busy: bool) -> float:
        """Return the seconds until the next check; ``is_busy`` with calls in progress."""
        is_quick = is_busy or self.is_awaiting
        wait = self._heartbeat_seconds if is_quick else self._idle_heartbeat_seconds
        self._due_at = now + wait
        return wait

    def check(self, now: float, is_busy: bool) -> LivenessAction:
        """Judge the link."""
        if self._awaited_since is not None:
            if now - self._due_at > self._silence_seconds / 2:
                # This process itself stood still: the peer's lines may wait unread.
                self._awaited_since = now
            if now - self._awaited_since >= self._silence_seconds:
                return LivenessAction.BROKEN
        interval = self._heartbeat_seconds if is_busy else self._idle_heartbeat_seconds
        if now - self._received_at >= interval / 2:
            return LivenessAction.SEND_HEARTBEAT
        return LivenessAction.WAIT
