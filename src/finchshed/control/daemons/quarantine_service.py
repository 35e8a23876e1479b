"""Distributes crash records of requests that crash back ends, and lifts quarantines.

Owns the quarantine register of one control node. It is soft state: any control node accepts
reports without a quorum, and nothing is written to the log or disk. After a restart of all control
nodes, daemons report their records again. Relies on :mod:`finchshed.quarantine.register` to merge
and judge records.
"""

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from finchshed.control.daemons.soft_state_broadcaster import SoftStateBroadcaster
from finchshed.distribution.messages import ControlToDaemon
from finchshed.quarantine.messages import CrashNews, CrashRecord
from finchshed.quarantine.register import FREE, Assessment, QuarantineRegister
from finchshed.runtime import clock

REPORT_INTERVAL_SECONDS = 2.0
"""Interval between full reports to the other control nodes, which repair lost messages."""


class QuarantineService:
    """Quarantine register of one control node.

    Parameters
    ----------
    broadcast
        Sends to every daemon connected here.
    send_report
        Sends to every other member of the control group.
    """

    def __init__(
        self,
        broadcast: Callable[[ControlToDaemon], None],
        send_report: Callable[[CrashNews], None],
    ) -> None:
        self._send_report = send_report
        self._register = QuarantineRegister()
        self._updates: SoftStateBroadcaster[CrashRecord] = SoftStateBroadcaster(
            lambda record: record.signature,
            lambda records: broadcast(CrashNews(records)),
            lambda records: send_report(CrashNews(records)),
        )

    def on_daemon_report(self, news: CrashNews) -> None:
        """Merge records reported by a daemon connected here."""
        self._updates.on_local_changes(self._register.merge(news.records, clock.now()))

    def on_report(self, news: CrashNews) -> None:
        """Merge records reported by another control node."""
        self._updates.on_peer_changes(self._register.merge(news.records, clock.now()))

    def initial_messages(self) -> Sequence[ControlToDaemon]:
        """Return the messages sent to a newly connected daemon."""
        records = self._register.records(clock.now())
        return (CrashNews(records),) if records else ()

    def assessments(self) -> tuple[tuple[CrashRecord, Assessment], ...]:
        """Return the records of all suspected requests, each with its assessment."""
        now = clock.now()
        records = self._register.records(now)
        judged = ((record, self._register.assess(record.signature, now)) for record in records)
        return tuple(item for item in judged if item[1] is not FREE)

    def lift(self, signature: str) -> bool:
        """Lift the quarantine of a request on all nodes; return whether it had a crash record."""
        record = self._register.on_completed(signature, clock.now())
        if record is None:
            return False
        logger.info("quarantine of request {} lifted by an operator", signature)
        self._updates.on_local_changes((record,))
        return True

    async def run(self) -> None:
        """Expire records and report the rest to the other control nodes, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            now = clock.now()
            self._register.expire(now)
            if self._register:
                self._send_report(CrashNews(self._register.records(now)))
