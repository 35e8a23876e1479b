"""How long accepted changes took to come into force. Pure.

Times are seconds of the machine's monotonic clock, which all processes of a run share.
"""

from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec
import numpy as np

from finchshed.scale.messages import DaemonReport


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change as its operator saw it.

    Attributes
    ----------
    submitted_at
        When the operator first sent it.
    accepted_at
        When the operator had the answer.
    """

    revision: int
    submitted_at: float
    accepted_at: float


class Quantiles(msgspec.Struct, frozen=True):
    """Median, 99th percentile and worst of ``count`` times, seconds; 0.0 if there is none."""

    count: int
    median: float
    p99: float
    worst: float


class InForceTimes(msgspec.Struct, frozen=True):
    """Times from accepted to in force, over changes and the daemons in reach.

    Attributes
    ----------
    each
        Over all pairs of a change and a daemon.
    slowest
        Over changes, the time until the last daemon had it in force.
    missing
        Pairs in which the change hadn't come into force by the end.
    missing_daemons
        Some of the daemons of those pairs.
    """

    each: Quantiles
    slowest: Quantiles
    missing: int
    missing_daemons: tuple[str, ...] = ()


MISSING_NAMED = 10


@dataclass(slots=True)
class DaemonHistory:
    """Revisions one daemon had in force, rising, and when each began."""

    revisions: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    started_at: float = 0.0
    serving_at: float = 0.0

    def add(self, report: DaemonReport) -> int:
        """Take a report; return how often the revision in force went back within one life.

        A restarted daemon begins from nothing; what it held before is not counted against it.
        """
        reverted = 0
        for revision, time in report.in_force:
            if self.revisions and revision < self.revisions[-1]:
                reverted += 1 if self.times[-1] >= report.started_at else 0
                continue
            self.revisions.append(revision)
            self.times.append(time)
        self.started_at = report.started_at
        self.serving_at = report.serving_at
        return reverted

    def in_force_at(self, revision: int) -> float | None:
        """Return when ``revision`` or a later one came into force."""
        position = bisect_left(self.revisions, revision)
        return self.times[position] if position < len(self.times) else None


def quantiles(times: Iterable[float]) -> Quantiles:
    """Return the quantiles of ``times``."""
    values = np.fromiter(times, dtype=float)
    if not values.size:
        return Quantiles(0, 0.0, 0.0, 0.0)
    median, p99 = np.quantile(values, (0.5, 0.99))
    return Quantiles(int(values.size), float(median), float(p99), float(values.max()))


def in_force_times(
    changes: Sequence[AcceptedChange],
    histories: Mapping[str, DaemonHistory],
    unreachable: Collection[str] = (),
) -> InForceTimes:
    """Return how long ``changes`` took to every daemon that isn't ``unreachable``.

    A daemon that was started after a change was accepted counts from its start.
    """
    each: list[float] = []
    slowest: list[float] = []
    missing = 0
    missing_daemons: dict[str, None] = {}
    reachable = [(name, item) for name, item in histories.items() if name not in unreachable]
    for change in changes:
        last = 0.0
        for name, history in reachable:
            at = history.in_force_at(change.revision)
            if at is None:
                missing += 1
                missing_daemons[name] = None
                continue
            elapsed = max(0.0, at - max(change.accepted_at, history.started_at))
            each.append(elapsed)
            last = max(last, elapsed)
        slowest.append(last)
    named = tuple(list(missing_daemons)[:MISSING_NAMED])
    return InForceTimes(quantiles(each), quantiles(slowest), missing, named)
