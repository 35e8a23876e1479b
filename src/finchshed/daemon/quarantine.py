"""The daemon's register of requests that crash back ends, and how news of them travels.

News goes to control, which passes it on to everyone. A daemon without control sends it on its
links, and passes on what it receives there. Each answer about such a request carries its record as
well, so the daemon that sent it knows before it tries again.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from loguru import logger

from finchshed.daemon import metrics
from finchshed.distribution.client import ControlClient
from finchshed.quarantine.messages import CrashNews, CrashRecord
from finchshed.quarantine.register import FREE, Assessment, QuarantineRegister, Suspicion
from finchshed.runtime import clock

Signer: TypeAlias = Callable[[], str]
"""Returns a request's signature, computed at the first call; a large body takes milliseconds."""

EXPIRE_SECONDS = 10.0
"""Seconds between looks for what is over; what is over is judged so at each use anyway. Chosen, not
measured."""

MAX_LOGGED = 8
"""Records of one piece of news that are logged each by itself: a line takes 0.1 ms to make. The
number is chosen, not measured."""


class Quarantine:
    """Keeps the register in step with control and peers.

    Parameters
    ----------
    send_on_links
        Sends news on all links of this daemon.
    """

    def __init__(
        self,
        client: ControlClient,
        send_on_links: Callable[[CrashNews], None],
    ) -> None:
        self._client = client
        self._tell_links = send_on_links
        self._register = QuarantineRegister()
        self._reported_to_control = QuarantineRegister()
        self._had_control = False
        self._has_unsent = False
        self._connection = client.connections_made
        self._expire_due = 0.0
        client.on_crash_news = self._on_control_news

    def judge(self, signature: Signer) -> Assessment:
        """Return what may be done with a request; it costs nothing while none is held."""
        if not self._register:
            return FREE
        return self._register.assess(signature(), clock.now())

    def record_of(self, signature: Signer) -> CrashRecord | None:
        """Return what is held of a request, to be sent with its answer."""
        if not self._register:
            return None
        return self._register.record_of(signature(), clock.now())

    def on_crash(self, instance: str, signatures: Sequence[str]) -> None:
        """Note the end of the own back end under requests of these signatures."""
        changed = self._register.on_crash(instance, signatures, clock.now())
        metrics.QUARANTINE_SUSPECTED.inc(len(changed))
        self._publish(changed, f"back end {instance} ended under {len(signatures)} requests")

    def on_completed(self, signature: Signer) -> None:
        """Note that a request has run to an end."""
        if not self._register:
            return
        cleared = self._register.on_completed(signature(), clock.now())
        if cleared is not None:
            metrics.QUARANTINE_CLEARED.inc()
            self._publish((cleared,), "it has run to an end")

    def on_answer(self, record: CrashRecord) -> None:
        """Merge what an answer of a peer says of its request."""
        self.on_link_news((record,))

    def on_link_news(self, records: Sequence[CrashRecord]) -> None:
        """Merge what a peer reports; without control pass it on, as nobody else does."""
        changed = self._register.merge(records, clock.now())
        self._has_unsent = self._has_unsent or bool(changed)
        self._log_reported(changed, "a peer reports it")
        if changed and not self._client.is_connected:
            self._tell_links(CrashNews(changed))

    def news_for_link(self) -> CrashNews | None:
        """Return the news that a peer is sent when its link opens."""
        if not self._register:
            return None
        return CrashNews(self._register.records(clock.now()))

    def tick(self) -> None:
        """Forget what is over; send control what it isn't known to have."""
        metrics.QUARANTINE_HELD.set(len(self._register))
        if not self._register and not self._reported_to_control:
            return
        now = clock.now()
        if now >= self._expire_due:
            self._expire_due = now + EXPIRE_SECONDS
            self._register.expire(now)
            self._reported_to_control.expire(now)
        has_control = self._client.is_connected
        if self._client.connections_made != self._connection:
            # This control node may know nothing of what the one before was sent.
            self._connection = self._client.connections_made
            self._reported_to_control = QuarantineRegister()
            self._has_unsent = True
        if has_control and self._has_unsent:
            self._has_unsent = False
            self._send_to_control(self._register.records(now))
        elif self._had_control and not has_control:
            # What was sent last may not have come through.
            self._has_unsent = True
            self._tell_links(CrashNews(self._register.records(now)))
        self._had_control = has_control

    def _on_control_news(self, news: CrashNews) -> None:
        now = clock.now()
        self._reported_to_control.merge(news.records, now)
        self._log_reported(self._register.merge(news.records, now), "control reports it")

    def _publish(self, changed: Sequence[CrashRecord], cause: str) -> None:
        if not changed:
            return
        self._log(changed, cause)
        if self._client.is_connected:
            self._send_to_control(changed)
        else:
            self._has_unsent = True
            self._tell_links(CrashNews(tuple(changed)))

    def _send_to_control(self, records: Iterable[CrashRecord]) -> None:
        unknown = self._reported_to_control.merge(records, clock.now())
        if unknown:
            self._client.send_crash_news(CrashNews(unknown))

    def _log_reported(self, changed: Sequence[CrashRecord], cause: str) -> None:
        """Log what is believed by another's word: each request that is refused, others by number.

        The daemon beside the crash names them all; said by every daemon it would be the most of
        the log for some seconds after each end of a back end.
        """
        now = clock.now()
        refused = [
            record
            for record in changed
            if self._register.assess(record.signature, now).suspicion is Suspicion.QUARANTINED
        ]
        self._log(refused, cause)
        if len(refused) < len(changed):
            text = "{} requests changed that are not refused: {}"
            logger.info(text, len(changed) - len(refused), cause)

    def _log(self, changed: Sequence[CrashRecord], cause: str) -> None:
        """Log what is believed from now on, that of what is refused in any case."""
        now = clock.now()
        judged = [(record, self._register.assess(record.signature, now)) for record in changed]
        judged.sort(key=lambda item: item[1].suspicion is not Suspicion.QUARANTINED)
        for record, judgement in judged[:MAX_LOGGED]:
            logger.info(
                "request {} is {}: {}; back ends that ended under it: {}, not held against it: {}, "
                "last {:.1f} s ago, refused for {:.0f} s more",
                record.signature,
                judgement.suspicion.value,
                cause,
                ", ".join(crash.instance for crash in record.crashes),
                len(record.refuted),
                record.age_seconds,
                judgement.seconds,
            )
        if len(judged) > MAX_LOGGED:
            logger.info("{} more requests: {}", len(judged) - MAX_LOGGED, cause)
