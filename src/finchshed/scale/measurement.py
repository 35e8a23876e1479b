"""Measures one phase of a scale run, from its beginning until the last change is in force."""

import asyncio
import os
import time
from collections.abc import Collection, Mapping

import numpy as np

from finchshed.fleet.processes import Role
from finchshed.scale.calls import Calls
from finchshed.scale.changes import ChangeRun
from finchshed.scale.cluster import Cluster
from finchshed.scale.in_force import (
    DaemonHistory,
    InForceTimes,
    in_force_times,
    quantiles,
)
from finchshed.scale.layout import CONTROL_ZONES
from finchshed.scale.messages import DaemonReport
from finchshed.scale.plan import control_name
from finchshed.scale.results import ControlTraffic, PhaseResult
from finchshed.scale.usage import (
    ProcessSample,
    Usage,
    busy_share,
    sample_machine,
    usage_between,
)

POLL_SECONDS = 0.25
SETTLE_SECONDS = 20.0
"""Longest wait at the end of a phase for the last change to come into force."""

LEADER_ROLE = "control-leader"
FOLLOWER_ROLE = "control-follower"
STANDBY_ROLE = "control-standby"


class Histories:
    """What hollow daemons reported over a whole run."""

    def __init__(self) -> None:
        self.by_name: dict[str, DaemonHistory] = {}
        self.latest: dict[str, DaemonReport] = {}
        self.reverted = 0

    def add(self, reports: Collection[DaemonReport]) -> None:
        """Take the reports of all workers; who isn't among them is gone."""
        self.latest = {report.name: report for report in reports}
        for report in reports:
            history = self.by_name.setdefault(report.name, DaemonHistory())
            self.reverted += history.add(report)

    def behind(self, revision: int, among: Collection[str]) -> list[str]:
        """Return which of ``among`` act on less than ``revision`` or don't report."""
        return [
            name
            for name in among
            if name not in self.latest or self.latest[name].revision < revision
        ]


class Measurement:
    """One phase. Call :meth:`begin`, do what the phase is about, then :meth:`end`."""

    def __init__(self, name: str, cluster: Cluster, histories: Histories, calls: Calls) -> None:
        self._name = name
        self._cluster = cluster
        self._histories = histories
        self._calls = calls
        self.faults: list[str] = []
        self.recovered_seconds: float | None = None
        self.cut_off: frozenset[str] = frozenset()
        self.served_unconfirmed = 0

    async def begin(self) -> None:
        """Take the samples that the phase is compared with."""
        self._histories.add(await self._cluster.workers.collect())
        self._reverted_before = self._histories.reverted
        self._reports_before = self._histories.latest
        self._calls.take()
        self._leader = await asyncio.to_thread(self._cluster.leader)
        self._processes_before = self._cluster.sample()
        self._machine_before = sample_machine()
        self.began_at = time.monotonic()

    def note(self, fault: str) -> None:
        """Note a fault brought about, with its time."""
        self.faults.append(f"{time.monotonic() - self.began_at:.1f} s: {fault}")

    async def count_serving(self, names: Collection[str]) -> int:
        """Return how many of these daemons could take calls now."""
        self._histories.add(await self._cluster.workers.collect())
        return sum(1 for name in names if self._histories.latest[name].serving_at > 0.0)

    async def wait_in_force(self, revision: int, among: Collection[str]) -> float | None:
        """Wait until ``revision`` is in force among these; return when, or None if not in time."""
        deadline = time.monotonic() + SETTLE_SECONDS
        while True:
            self._histories.add(await self._cluster.workers.collect())
            if not self._histories.behind(revision, among):
                found = (self._histories.by_name[name].in_force_at(revision) for name in among)
                return max((at for at in found if at is not None), default=time.monotonic())
            if time.monotonic() >= deadline:
                return None
            await asyncio.sleep(POLL_SECONDS)

    async def end(self, changes: ChangeRun, unreachable: Collection[str] = ()) -> PhaseResult:
        """Wait until the last change is in force, and return what was measured."""
        lost = set(unreachable)
        reachable = [name for name in self._histories.latest if name not in lost]
        if changes.accepted:
            await self.wait_in_force(changes.accepted[-1].revision, reachable)
        seconds = time.monotonic() - self.began_at
        after = self._cluster.sample()
        usage = self._usage(after, seconds)
        hollow = usage[Role.HOLLOW.value]
        per_process = len(self._histories.latest) / max(1, hollow.processes)
        left_out = lost | self.cut_off
        return PhaseResult(
            name=self._name,
            seconds=seconds,
            daemons_in_reach=len(reachable) - len(self.cut_off),
            accepted=len(changes.accepted),
            unavailable=changes.unavailable,
            submitted_to_accepted=quantiles(
                change.accepted_at - change.submitted_at for change in changes.accepted
            ),
            in_force=in_force_times(changes.accepted, self._histories.by_name, left_out),
            cut_off=self._cut_off_times(changes),
            start_to_serving=quantiles(self._starts()),
            recovered_seconds=self.recovered_seconds,
            reverted=self._histories.reverted - self._reverted_before,
            served_unconfirmed=self.served_unconfirmed,
            usage=usage,
            hollow_core_share=hollow.mean_core_share / per_process if per_process else 0.0,
            hollow_resident_bytes=hollow.mean_resident_bytes / per_process if per_process else 0.0,
            traffic=self._traffic(seconds),
            peer_fetches=self._peer_fetches(),
            calls=self._calls.take(),
            busy_share=busy_share(self._machine_before, sample_machine()),
            load_average=os.getloadavg()[0],
            faults=tuple(self.faults),
        )

    def _cut_off_times(self, changes: ChangeRun) -> InForceTimes | None:
        if not self.cut_off:
            return None
        chosen = {name: self._histories.by_name[name] for name in self.cut_off}
        return in_force_times(changes.accepted, chosen)

    def _starts(self) -> list[float]:
        return [
            report.serving_at - report.started_at
            for report in self._histories.latest.values()
            if report.started_at >= self.began_at and report.serving_at > 0.0
        ]

    def _usage(
        self, after: Mapping[Role, Mapping[int, ProcessSample]], seconds: float
    ) -> dict[str, Usage]:
        before = self._processes_before
        found = {
            role.value: usage_between(before[role], after[role], seconds)
            for role in (Role.CONTROL, Role.DAEMON, Role.EDGE, Role.HOLLOW)
        }
        standby = control_name(CONTROL_ZONES[-1])
        chosen: dict[str, dict[int, ProcessSample]] = {}
        for process in self._cluster.of_role(Role.CONTROL):
            name = process.spec.name
            role = FOLLOWER_ROLE
            if name in (self._leader, standby):
                role = LEADER_ROLE if name == self._leader else STANDBY_ROLE
            if process.pid in before[Role.CONTROL]:
                sample = before[Role.CONTROL][process.pid]
                chosen.setdefault(role, {})[process.pid] = sample
        for role, samples in chosen.items():
            found[role] = usage_between(samples, after[Role.CONTROL], seconds)
        return found

    def _traffic(self, seconds: float) -> ControlTraffic:
        """Return bytes a second of daemons that weren't started in the phase."""
        rates = []
        for name, report in self._histories.latest.items():
            before = self._reports_before.get(name)
            if before is None or before.started_at != report.started_at:
                continue
            moved = report.bytes_received + report.bytes_sent
            rates.append((moved - before.bytes_received - before.bytes_sent) / seconds)
        if not rates:
            return ControlTraffic(
                mean_bytes_per_second=0.0, p99_bytes_per_second=0.0, most_bytes_per_second=0.0
            )
        values = np.array(rates)
        return ControlTraffic(
            mean_bytes_per_second=float(values.mean()),
            p99_bytes_per_second=float(np.quantile(values, 0.99)),
            most_bytes_per_second=float(values.max()),
        )

    def _peer_fetches(self) -> int:
        return sum(
            report.peer_fetches - _fetches(self._reports_before.get(name))
            for name, report in self._histories.latest.items()
        )


def _fetches(report: DaemonReport | None) -> int:
    return 0 if report is None else report.peer_fetches
