"""What a control node does with news of requests that crash back ends: keep, pass on, lift.

Owns the register of one control node, as soft state: any control node takes news, no quorum is
asked, and nothing of it is written to the log or a disk. After a loss of all control nodes daemons
report what they hold. Relies on :mod:`finchshed.quarantine.register` for what is held of a request.
"""

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from finchshed.control.daemons.soft_state_updates import SoftStateUpdates
from finchshed.distribution.messages import ControlToDaemon
from finchshed.quarantine.messages import CrashNews, CrashRecord
from finchshed.quarantine.register import FREE, Assessment, QuarantineRegister
from finchshed.runtime import clock

CONFIRM_SECONDS = 2.0
"""Time between reports of all that is held to the other control nodes, in case one was lost.
Chosen, not measured."""


class QuarantineService:
    """The register of one control node.

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
        self._updates: SoftStateUpdates[CrashRecord] = SoftStateUpdates(
            lambda record: record.signature,
            lambda records: broadcast(CrashNews(records)),
            lambda records: send_report(CrashNews(records)),
        )

    def on_daemon_news(self, news: CrashNews) -> None:
        """Merge news of a daemon connected here."""
        self._updates.on_own_news(self._register.merge(news.records, clock.now()))

    def on_report(self, news: CrashNews) -> None:
        """Merge news that another control node passes on."""
        self._updates.on_peer_news(self._register.merge(news.records, clock.now()))

    def greeting(self) -> Sequence[ControlToDaemon]:
        """Return what a daemon is sent when it connects."""
        records = self._register.records(clock.now())
        return (CrashNews(records),) if records else ()

    def judged(self) -> tuple[tuple[CrashRecord, Assessment], ...]:
        """Return what is held, and what may be done with each request."""
        now = clock.now()
        records = self._register.records(now)
        judged = ((record, self._register.assess(record.signature, now)) for record in records)
        return tuple(item for item in judged if item[1] is not FREE)

    def lift(self, signature: str) -> bool:
        """Clear a request everywhere on an operator's word; return whether anything was held."""
        record = self._register.on_completed(signature, clock.now())
        if record is None:
            return False
        logger.info("request {} is free: an operator says so", signature)
        self._updates.on_own_news((record,))
        return True

    async def run(self) -> None:
        """Confirm to the other control nodes and forget, for as long as the node runs."""
        while True:
            await asyncio.sleep(CONFIRM_SECONDS)
            now = clock.now()
            self._register.expire(now)
            if self._register:
                self._send_report(CrashNews(self._register.records(now)))
