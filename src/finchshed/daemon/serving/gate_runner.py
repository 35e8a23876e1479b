"""Drives the admission gate of the back end: clock, timer and effects."""

import asyncio
import random
from collections.abc import Callable, Mapping

import msgspec

from finchshed.admission.caller_shares import CallerShares
from finchshed.admission.effects import GateEffect
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_callers import PathCallers
from finchshed.admission.path_completion import ALL_COMPLETE, PathCompletion
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.admission.rank import with_admitted_fraction
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.results import CallResult
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.daemon.settings import DaemonSettings
from finchshed.limit.backend_load import BackendLoadRecord
from finchshed.observability.load_page import GateSection
from finchshed.runtime import clock

TICK_SECONDS = 0.02
"""Interval at which queued deadlines and the admission threshold are re-evaluated."""

INITIAL_SLOTS = 1
"""Concurrency limit until the endpoint's declaration or the back end's registration sets it."""


def threshold_rule_for(settings: DaemonSettings) -> ThresholdRule:
    """Return the rule that sets the admission threshold.

    The demand-based rule needs admitted fractions, which calls inherit only from requests routed by
    host, and so applies to registered back ends (docs/design/compared-policies.md). Declared
    endpoints use the queue-based rule (docs/design/admission.md).
    """
    return ThresholdRule.BY_DEMAND if settings.registers_backend else ThresholdRule.BY_QUEUE


class GateRunner:
    """Connects the gate to the clock and the event loop.

    Parameters
    ----------
    paths
        Admission thresholds of the services that requests call downstream.
    path_callers
        Thresholds of callers there.
    completion
        Fraction of the requests whose calls are all accepted.
    on_effect
        Called with each effect in order: a call starts or is refused.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        paths: PathThresholds,
        path_callers: PathCallers,
        *,
        completion: PathCompletion,
        rng: random.Random,
        on_effect: Callable[[GateEffect], None],
    ) -> None:
        rule = threshold_rule_for(settings)
        self._gate = Gate(INITIAL_SLOTS, rng, clock.now(), threshold_rule=rule)
        self._paths = paths
        self._path_callers = path_callers
        self._completion = completion
        self._on_effect = on_effect
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def load(self) -> BackendLoadRecord:
        """Load that the back end reports."""
        return self._gate.load

    @property
    def running(self) -> int:
        """Number of requests running at the back end."""
        return self._gate.running

    def set_slots(self, slots: int) -> None:
        """Set the concurrency limit of the back end."""
        self._gate.set_slots(slots)

    def start_run(self) -> None:
        """Forget what was learned of an earlier run of the back end."""
        self._gate.start_run()
        self._completion.start_run()

    def set_rate_limit(self, requests_per_second: float | None) -> None:
        """Set the rate limit that the back end names; None if it names none."""
        self._apply(self._gate.set_rate_limit(requests_per_second, clock.now()))

    def load_report(self) -> LoadReport:
        """Return the load report, without the drain flag."""
        now = clock.now()
        load = self._gate.load_report(now, self._paths.report(now), self._path_callers.report(now))
        completion = self._completion.report(now)
        if completion is ALL_COMPLETE:
            return load
        return msgspec.structs.replace(
            load, accepted=completion.accepted, completions=completion.routes
        )

    @property
    def shares(self) -> CallerShares | None:
        """Shares of the callers; None unless the policy enables them."""
        return self._gate.shares

    def set_fair_shares(self, weights: Mapping[str, float] | None) -> None:
        """Let callers share the capacity by their weights, or end that (None)."""
        self._gate.set_fair_shares(weights, clock.now())

    def gate_load(self) -> GateSection:
        """Return the figures of the gate for operators."""
        report = self._gate.load_report(clock.now())
        return GateSection(
            slots=self._gate.slots,
            limit=report.limit,
            running=self._gate.running,
            queued=self._gate.queued,
            threshold=report.threshold,
            rate_limit=None if report.rate is None else report.rate.limit,
        )

    def enter(self, inbound: InboundCall, now: float) -> None:
        """Start, queue or refuse a call."""
        path_threshold = max(
            self._paths.threshold(inbound.route, now),
            self._path_callers.threshold(inbound.route, inbound.context.caller, now),
        )
        inbound.context = with_admitted_fraction(inbound.context, path_threshold)
        self._apply(self._gate.arrive(inbound.token, inbound.context, now, path_threshold))
        if self._gate.queued:
            self._schedule_tick()

    def cancel(self, token: int) -> None:
        """Remove a call from the queue."""
        self._apply(self._gate.cancel(token, clock.now()))

    def finish(self, token: int, result: CallResult) -> None:
        """Release the slot of a started call, unless it was released before."""
        self._apply(self._gate.finish(token, result, clock.now()))

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            self._on_effect(effect)

    def _schedule_tick(self) -> None:
        """Schedule the next tick, unless one is scheduled."""
        if self._tick_timer is None:
            loop = asyncio.get_running_loop()
            self._tick_timer = loop.call_later(TICK_SECONDS, self._on_tick)

    def _on_tick(self) -> None:
        self._tick_timer = None
        now = clock.now()
        self._apply(self._gate.tick(now))
        report = self._gate.load_report(now)
        if self._gate.queued or report.threshold or report.callers:
            self._schedule_tick()
