"""The daemon's register of requests that crash back ends, and how it hears and tells of them.

News goes to control, which passes it on to everyone. A daemon without control tells its links, and
passes on what it hears there. Each answer about such a request carries its record as well, so the
daemon that sent it knows before it tries again.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from loguru import logger

from finchshed.daemon import metrics
from finchshed.distribution.client import ControlClient
from finchshed.quarantine.messages import CrashNews, CrashRecord
from finchshed.quarantine.register import FREE, Judgement, QuarantineRegister, Standing
from finchshed.runtime import clock

Signer: TypeAlias = Callable[[], str]
"""Returns a request's signature, computed at the first call; a large body takes milliseconds."""

MAX_LOGGED = 8
"""Records of one piece of news that are logged each by itself; a line takes 0.1 ms to make."""


class Quarantine:
    """Keeps the register in step with control and peers.

    Parameters
    ----------
    tell_links
        Sends news on all links of this daemon.
    """

    def __init__(
        self,
        client: ControlClient,
        tell_links: Callable[[CrashNews], None],
    ) -> None:
        self._client = client
        self._tell_links = tell_links
        self._register = QuarantineRegister()
        self._told_control = QuarantineRegister()
        self._had_control = False
        client.on_crash_news = self._on_control_news

    def judge(self, signature: Signer) -> Judgement:
        """Return what may be done with a request; it costs nothing while none is held."""
        if not self._register:
            return FREE
        return self._register.judge(signature(), clock.now())

    def record_of(self, signature: Signer) -> CrashRecord | None:
        """Return what is held of a request, to be told with its answer."""
        if not self._register:
            return None
        return self._register.record_of(signature(), clock.now())

    def on_crash(self, instance: str, signatures: Sequence[str]) -> None:
        """Take the end of the own back end under requests of these signatures."""
        changed = self._register.on_crash(instance, signatures, clock.now())
        metrics.QUARANTINE_SUSPECTED.inc(len(changed))
        self._publish(changed, f"back end {instance} ended under {len(signatures)} requests")

    def on_completed(self, signature: Signer) -> None:
        """Take note that a request has run to an end."""
        if not self._register:
            return
        cleared = self._register.on_completed(signature(), clock.now())
        if cleared is not None:
            metrics.QUARANTINE_CLEARED.inc()
            self._publish((cleared,), "it has run to an end")

    def on_answer(self, record: CrashRecord) -> None:
        """Take what an answer of a peer tells of its request."""
        self.on_link_news((record,))

    def on_link_news(self, records: Sequence[CrashRecord]) -> None:
        """Take what a peer tells; without control pass it on, as others may hear it from here."""
        changed = self._register.merge(records, clock.now())
        self._log(changed, "a peer tells")
        if changed and not self._client.is_connected:
            self._tell_links(CrashNews(changed))

    def news_for_link(self) -> CrashNews | None:
        """Return what a peer is told when its link opens."""
        if not self._register:
            return None
        return CrashNews(self._register.records(clock.now()))

    def tick(self) -> None:
        """Forget what is over; tell control what it hasn't told itself."""
        now = clock.now()
        self._register.expire(now)
        self._told_control.expire(now)
        metrics.QUARANTINE_HELD.set(len(self._register))
        if not self._client.is_connected:
            # The next control node may know nothing of what this one was told.
            self._told_control = QuarantineRegister()
        elif self._register:
            self._send_to_control(self._register.records(now))
        if self._register and self._had_control and not self._client.is_connected:
            # What was told on the connection just lost may not have come through.
            self._tell_links(CrashNews(self._register.records(now)))
        self._had_control = self._client.is_connected

    def _on_control_news(self, news: CrashNews) -> None:
        now = clock.now()
        self._told_control.merge(news.records, now)
        self._log(self._register.merge(news.records, now), "control tells")

    def _publish(self, changed: Sequence[CrashRecord], ground: str) -> None:
        if not changed:
            return
        self._log(changed, ground)
        if self._client.is_connected:
            self._send_to_control(changed)
        else:
            self._tell_links(CrashNews(tuple(changed)))

    def _send_to_control(self, records: Iterable[CrashRecord]) -> None:
        unknown = self._told_control.merge(records, clock.now())
        if unknown:
            self._client.send_crash_news(CrashNews(unknown))

    def _log(self, changed: Sequence[CrashRecord], ground: str) -> None:
        """Log what is believed from now on, that of what is refused in any case."""
        now = clock.now()
        judged = [(record, self._register.judge(record.signature, now)) for record in changed]
        judged.sort(key=lambda item: item[1].standing is not Standing.QUARANTINED)
        for record, judgement in judged[:MAX_LOGGED]:
            logger.info(
                "request {} is {}: {}; back ends that ended under it: {}, not held against it: {}, "
                "last {:.1f} s ago, refused for {:.0f} s more",
                record.signature,
                judgement.standing.value,
                ground,
                ", ".join(crash.instance for crash in record.crashes),
                len(record.refuted),
                record.age_seconds,
                judgement.seconds,
            )
        if len(judged) > MAX_LOGGED:
            logger.info("{} more requests: {}", len(judged) - MAX_LOGGED, ground)
