"""Aggregates, over all control nodes, which revision is in force at each daemon.

Each control node reports changes of the daemons connected to it, and the node that answers an
operator merges all reports. The merged state is kept in memory only and rebuilt from repeated
reports.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

REPORT_TIMEOUT_SECONDS = 5.0
"""Time without a report from a control node after which its daemons count as silent."""

RETENTION_SECONDS = 86_400.0
"""Time after which a silent daemon without a declared endpoint is removed."""

REVISION_TIMES_KEPT = 1024
"""Number of revisions whose arrival times are kept to tell how long a daemon has been behind."""


class SubscriberStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one daemon as known to its control node."""

    node: str
    endpoint: str
    service: str
    zone: str
    revision: int
    connected: bool = True


class InForceReport(msgspec.Struct, frozen=True, omit_defaults=True, tag="in_force_report"):
    """Changes at one control node, sent at least every second even if empty.

    Attributes
    ----------
    revision
        Revision committed and applied at the control node.
    everything
        Whether the report lists all connected daemons, so that any others are disconnected.
    """

    control_node: str
    revision: int
    daemons: tuple[SubscriberStatus, ...] = ()
    everything: bool = False


class DaemonState(msgspec.Struct, frozen=True):
    """A daemon that is behind or silent, and since how many seconds."""

    node: str
    endpoint: str
    service: str
    zone: str
    revision: int
    seconds: float


class DistributionStatus(msgspec.Struct, frozen=True):
    """Summary: ``revision`` is in force at ``in_force`` of ``known`` daemons.

    The others are behind or silent. A declared endpoint whose daemon never connected is listed as
    silent with revision 0.
    """

    revision: int
    known: int
    in_force: int
    behind: tuple[DaemonState, ...]
    silent: tuple[DaemonState, ...]


@dataclass(slots=True)
class _Entry:
    status: SubscriberStatus
    changed_at: float


class StatusTable:
    """Merges the reports of all control nodes. ``now`` is the local monotonic time in seconds."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._reported_at: dict[str, float] = {}
        self._entries: dict[str, dict[str, _Entry]] = {}
        self._revisions: list[int] = []
        self._advanced_at: list[float] = []

    def merge(self, report: InForceReport, now: float) -> None:
        """Merge a report of one control node."""
        self._reported_at[report.control_node] = now
        self._note_revision(report.revision, now)
        if report.everything:
            self._disconnect_unlisted(report, now)
        for status in report.daemons:
            by_control = self._entries.setdefault(status.node, {})
            by_control[report.control_node] = _Entry(status, now)

    def summary(self, now: float, declared: Iterable[str] = ()) -> DistributionStatus:
        """Summarize all daemons, including those missing for ``declared`` endpoints."""
        revision = self._revisions[-1] if self._revisions else 0
        missing = dict.fromkeys(declared)
        behind: list[DaemonState] = []
        silent: list[DaemonState] = []
        in_force = 0
        for node in list(self._entries):
            status, silent_since = self._latest(node, now)
            is_declared = status.endpoint in missing
            missing.pop(status.endpoint, None)
            if silent_since is not None:
                if not is_declared and now - silent_since > RETENTION_SECONDS:
                    del self._entries[node]
                    continue
                silent.append(_state(status, now - silent_since))
            elif status.revision < revision:
                behind.append(_state(status, now - self._superseded_at(status.revision)))
            else:
                in_force += 1
        for endpoint in missing:
            never_connected = SubscriberStatus("", endpoint, "", "", 0, connected=False)
            silent.append(_state(never_connected, now - self._started_at))
        return DistributionStatus(
            revision=revision,
            known=in_force + len(behind) + len(silent),
            in_force=in_force,
            behind=tuple(behind),
            silent=tuple(silent),
        )

    def _latest(self, node: str, now: float) -> tuple[SubscriberStatus, float | None]:
        """Return a daemon's most reliable status, and since when it is silent or None."""
        best: _Entry | None = None
        best_silent: float | None = None
        for control_node, entry in self._entries[node].items():
            silent_since = self._silent_since(control_node, entry, now)
            if best is not None and not _is_better(entry, silent_since, best, best_silent):
                continue
            best, best_silent = entry, silent_since
        assert best is not None
        return best.status, best_silent

    def _silent_since(self, control_node: str, entry: _Entry, now: float) -> float | None:
        if not entry.status.connected:
            return entry.changed_at
        reported_at = self._reported_at[control_node]
        return reported_at if now - reported_at > REPORT_TIMEOUT_SECONDS else None

    def _disconnect_unlisted(self, report: InForceReport, now: float) -> None:
        listed = {status.node for status in report.daemons}
        for node, by_control in self._entries.items():
            entry = by_control.get(report.control_node)
            if entry is None or node in listed or not entry.status.connected:
                continue
            disconnected = msgspec.structs.replace(entry.status, connected=False)
            by_control[report.control_node] = _Entry(disconnected, now)

    def _note_revision(self, revision: int, now: float) -> None:
        if self._revisions and revision <= self._revisions[-1]:
            return
        self._revisions.append(revision)
        self._advanced_at.append(now)
        del self._revisions[:-REVISION_TIMES_KEPT]
        del self._advanced_at[:-REVISION_TIMES_KEPT]

    def _superseded_at(self, revision: int) -> float:
        """Return when a revision higher than ``revision`` was first reported."""
        position = bisect_right(self._revisions, revision)
        return self._advanced_at[min(position, len(self._advanced_at) - 1)]


def _is_better(
    entry: _Entry, silent_since: float | None, best: _Entry, best_silent: float | None
) -> bool:
    if (silent_since is None) != (best_silent is None):
        return silent_since is None
    return entry.changed_at > best.changed_at


def _state(status: SubscriberStatus, seconds: float) -> DaemonState:
    return DaemonState(
        node=status.node,
        endpoint=status.endpoint,
        service=status.service,
        zone=status.zone,
        revision=status.revision,
        seconds=seconds,
    )
