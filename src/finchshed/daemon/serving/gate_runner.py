"""Runs the gate of the back end: calls into it, its effects out of it, its clock.

Owns the gate and the timer that looks after its queue. Relies on the thresholds that requests meet
further down their path.
"""

import asyncio
import random
from collections.abc import Callable

from finchshed.admission.effects import GateEffect
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.admission.rank import with_admitted_fraction
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.results import CallResult
from finchshed.daemon.serving.work import Work
from finchshed.daemon.settings import DaemonSettings
from finchshed.runtime import clock

TICK_SECONDS = 0.02
"""Seconds between looks at deadlines in the queue and at the threshold, while there is a queue;
chosen, not measured."""

UNDECLARED_SLOTS = 1
"""Slots until the endpoint's declaration or the back end's registration names them; chosen, not
measured."""


def threshold_rule_of(settings: DaemonSettings) -> ThresholdRule:
    """Return which admission rule is in force at the gate.

    It follows from how the back end is known. The threshold by demand was compared and is measured
    where back ends register, and estimates demand from admitted fractions, which calls further
    down inherit only from requests by host (docs/design/compared-policies.md). Declared endpoints
    keep the queue's threshold that they were measured with (docs/design/admission.md).
    """
    return ThresholdRule.BY_DEMAND if settings.registers_backend else ThresholdRule.BY_QUEUE


class GateRunner:
    """The gate, with the time and the event loop.

    Parameters
    ----------
    on_effect
        Called with each effect, in order: which call starts, which is refused.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        paths: PathThresholds,
        rng: random.Random,
        on_effect: Callable[[GateEffect], None],
    ) -> None:
        rule = threshold_rule_of(settings)
        self._gate = Gate(UNDECLARED_SLOTS, rng, clock.now(), threshold_rule=rule)
        self._paths = paths
        self._on_effect = on_effect
        self._ticker: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Requests at the back end."""
        return self._gate.running

    def set_slots(self, slots: int) -> None:
        """Take over a changed declaration or registration."""
        self._gate.set_slots(slots)

    def load_report(self) -> LoadReport:
        """Return the load, without whether the endpoint drains."""
        now = clock.now()
        return self._gate.load_report(now, self._paths.report(now))

    def enter(self, work: Work, now: float) -> None:
        """Have a call started, queued or refused."""
        path_threshold = self._paths.threshold(work.route, now)
        work.context = with_admitted_fraction(work.context, path_threshold)
        self._apply(self._gate.arrive(work.token, work.context, now, path_threshold))
        if self._gate.queued:
            self._arm_tick()

    def cancel(self, token: int) -> None:
        """Take a call out of the queue."""
        self._apply(self._gate.cancel(token, clock.now()))

    def finish(self, token: int, result: CallResult) -> None:
        """Free the slot of a call that was started; no effect where it is free already."""
        self._apply(self._gate.finish(token, result, clock.now()))

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            self._on_effect(effect)

    def _arm_tick(self) -> None:
        """Look after the queue and the threshold for as long as there is either."""
        if self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_SECONDS, self._on_tick)

    def _on_tick(self) -> None:
        self._ticker = None
        now = clock.now()
        self._apply(self._gate.tick(now))
        if self._gate.queued or self._gate.load_report(now).threshold:
            self._arm_tick()
