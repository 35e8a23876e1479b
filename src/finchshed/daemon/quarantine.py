"""The daemon's register of requests that crashed back ends, and the exchange of crash records.

Records are sent to control, which distributes them. A daemon cut off from control sends them on its
links and forwards those it receives there. Replies also carry the record of their request, so that
the calling daemon has it before it decides on a retry.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from loguru import logger

from finchshed.daemon import metrics
from finchshed.distribution.client import ControlClient
from finchshed.quarantine.messages import CrashNews, CrashRecord
from finchshed.quarantine.register import FREE, Assessment, QuarantineRegister, Suspicion
from finchshed.runtime import clock

LazySignature: TypeAlias = Callable[[], str]
"""Returns a request's signature, computed at the first call since hashing a large body is slow."""

EXPIRE_INTERVAL_SECONDS = 10.0
"""Interval at which expired records are removed; they have no effect even before that."""

MAX_LOGGED_RECORDS = 8
"""Records of one update that get a log line each; the rest are summarized, since formatting lines
blocks the event loop."""


class Quarantine:
    """Synchronizes the register with control and peers.

    Parameters
    ----------
    send_on_links
        Sends crash records on all links of this daemon.
    """

    def __init__(
        self,
        client: ControlClient,
        send_on_links: Callable[[CrashNews], None],
    ) -> None:
        self._client = client
        self._send_on_links = send_on_links
        self._register = QuarantineRegister()
        self._reported_to_control = QuarantineRegister()
        self._had_control = False
        self._has_unsent = False
        self._connection = client.connections_made
        self._expire_due = 0.0
        client.on_crash_news = self._on_control_news

    def check(self, signature: LazySignature) -> Assessment:
        """Return whether a request is free, suspect or quarantined.

        The signature isn't computed while the register is empty.
        """
        if not self._register:
            return FREE
        return self._register.assess(signature(), clock.now())

    def crash_record(self, signature: LazySignature) -> CrashRecord | None:
        """Return the crash record of a request, to attach to its reply, or None."""
        if not self._register:
            return None
        return self._register.record_of(signature(), clock.now())

    def on_crash(self, instance: str, signatures: Sequence[str]) -> None:
        """Record a crash of the local back end while it ran requests with these signatures."""
        changed = self._register.on_crash(instance, signatures, clock.now())
        metrics.QUARANTINE_SUSPECTED.inc(len(changed))
        self._publish(
            changed, f"back end {instance} crashed while running {len(signatures)} requests"
        )

    def on_completed(self, signature: LazySignature) -> None:
        """Record that a request ran to completion, which clears it."""
        if not self._register:
            return
        cleared = self._register.on_completed(signature(), clock.now())
        if cleared is not None:
            metrics.QUARANTINE_CLEARED.inc()
            self._publish((cleared,), "it ran to completion")

    def on_answer(self, record: CrashRecord) -> None:
        """Merge the crash record attached to a reply."""
        self.on_peer_records((record,))

    def on_peer_records(self, records: Sequence[CrashRecord]) -> None:
        """Merge crash records from a peer; without control, forward changes on all links."""
        changed = self._register.merge(records, clock.now())
        self._has_unsent = self._has_unsent or bool(changed)
        self._log_reported(changed, "reported by a peer")
        if changed and not self._client.is_connected:
            self._send_on_links(CrashNews(changed))

    def records_for_link(self) -> CrashNews | None:
        """Return the crash records to send when a link opens, or None."""
        if not self._register:
            return None
        return CrashNews(self._register.records(clock.now()))

    def tick(self) -> None:
        """Remove expired records, and send control those it may not have."""
        metrics.QUARANTINE_HELD.set(len(self._register))
        if not self._register and not self._reported_to_control:
            return
        now = clock.now()
        if now >= self._expire_due:
            self._expire_due = now + EXPIRE_INTERVAL_SECONDS
            self._register.expire(now)
            self._reported_to_control.expire(now)
        has_control = self._client.is_connected
        if self._client.connections_made != self._connection:
            # The new control node may lack records sent to the previous one.
            self._connection = self._client.connections_made
            self._reported_to_control = QuarantineRegister()
            self._has_unsent = True
        if has_control and self._has_unsent:
            self._has_unsent = False
            self._send_to_control(self._register.records(now))
        elif self._had_control and not has_control:
            # The last records sent to control may have been lost.
            self._has_unsent = True
            self._send_on_links(CrashNews(self._register.records(now)))
        self._had_control = has_control

    def _on_control_news(self, news: CrashNews) -> None:
        now = clock.now()
        self._reported_to_control.merge(news.records, now)
        self._log_reported(self._register.merge(news.records, now), "reported by control")

    def _publish(self, changed: Sequence[CrashRecord], cause: str) -> None:
        if not changed:
            return
        self._log(changed, cause)
        if self._client.is_connected:
            self._send_to_control(changed)
        else:
            self._has_unsent = True
            self._send_on_links(CrashNews(tuple(changed)))

    def _send_to_control(self, records: Iterable[CrashRecord]) -> None:
        unknown = self._reported_to_control.merge(records, clock.now())
        if unknown:
            self._client.send_crash_news(CrashNews(unknown))

    def _log_reported(self, changed: Sequence[CrashRecord], cause: str) -> None:
        """Log records received from others: quarantined requests each, the rest as a count.

        The daemon beside the crashed back end logs them in full; doing so at every daemon would
        flood the logs after each crash.
        """
        now = clock.now()
        refused = [
            record
            for record in changed
            if self._register.assess(record.signature, now).suspicion is Suspicion.QUARANTINED
        ]
        self._log(refused, cause)
        if len(refused) < len(changed):
            text = "{} further changed crash records, not quarantined: {}"
            logger.info(text, len(changed) - len(refused), cause)

    def _log(self, changed: Sequence[CrashRecord], cause: str) -> None:
        """Log changed records, quarantined requests first, up to ``MAX_LOGGED_RECORDS`` lines."""
        now = clock.now()
        assessed = [(record, self._register.assess(record.signature, now)) for record in changed]
        assessed.sort(key=lambda item: item[1].suspicion is not Suspicion.QUARANTINED)
        for record, assessment in assessed[:MAX_LOGGED_RECORDS]:
            logger.info(
                "request {} is {}: {}; back ends that crashed while running it: {}, refuted: {}, "
                "last {:.1f} s ago, refused for another {:.0f} s",
                record.signature,
                assessment.suspicion.value,
                cause,
                ", ".join(crash.instance for crash in record.crashes),
                len(record.refuted),
                record.age_seconds,
                assessment.seconds,
            )
        if len(assessed) > MAX_LOGGED_RECORDS:
            logger.info(
                "{} more crash records changed: {}", len(assessed) - MAX_LOGGED_RECORDS, cause
            )
