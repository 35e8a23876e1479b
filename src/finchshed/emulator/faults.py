"""Applies acts to a running world, and records their start and end."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from finchshed.common.errors import FinchshedError
from finchshed.emulator import acts
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import EndpointReturned, Fault


class UnknownTargetError(FinchshedError):
    """An act refers to a target that the deployment doesn't have."""


class Processes(Protocol):
    """Operations on daemons, control nodes and operators that acts need."""

    def crash_daemon(self, node: str, seconds: float) -> None:
        """Crash a daemon and restart it after ``seconds``."""

    def freeze_daemon(self, node: str, seconds: float) -> None:
        """Freeze a daemon for ``seconds``."""

    def crash_control(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Crash a control node and restart it after ``seconds``."""

    def freeze_control(self, node: str, seconds: float) -> None:
        """Freeze a control node for ``seconds``."""

    def stop_control(self, node: str, seconds: float) -> None:
        """Gracefully stop a control node and restart it after ``seconds``."""

    def node_name(self, node: str) -> str:
        """Resolve ``leader`` and ``follower`` to a node's name; return other names unchanged."""
        ...

    def drain(self, endpoint: str, sign: str) -> None:
        """Drain ``endpoint``, announced by ``sign``."""

    def stop_planned(self, endpoint: str, seconds: float) -> None:
        """Gracefully stop a back end and its daemon, and restart them after ``seconds``."""

    def back_end_started(self, endpoint: str) -> None:
        """Handle the restart of a back end after a crash."""

    def submit(self, act: acts.Submit) -> None:
        """Submit configuration changes by operators."""

    def network_changed(self) -> None:
        """Handle a change of the network's cuts."""


class FaultInjector:
    """Applies acts to back ends, the network and processes, and records them."""

    def __init__(
        self, simulation: Simulation, back_ends: dict[str, BackEnd], processes: Processes
    ) -> None:
        self._clock = simulation.clock
        self._network = simulation.network
        self._recorder = simulation.recorder
        self._back_ends = back_ends
        self._processes = processes

    def schedule(self, act: acts.Act) -> None:
        """Schedule ``act`` at its time."""
        self._clock.call_at(act.time, self.apply, act)

    def apply(self, act: acts.Act) -> None:
        """Apply ``act`` now and schedule its end."""
        match act:
            case acts.SlowService():
                self._slow(act, self._back_ends_of(act.service), act.factor, act.service)
            case acts.SlowEndpoint():
                self._slow(act, [self._back_end(act.endpoint)], act.factor, act.endpoint)
            case acts.CrashBackEnd():
                self._crash_back_end(act)
            case acts.FreezeBackEnd():
                back_end = self._back_end(act.endpoint)
                self._apply_for(act, act.seconds, back_end.freeze, back_end.thaw, act.endpoint)
            case acts.Misreport():
                self._misreport(act)
            case acts.Drain():
                self._record_start(act, act.endpoint)
                self._processes.drain(act.endpoint, act.sign)
            case acts.StopPlanned():
                self._record_start(act, act.endpoint)
                self._processes.stop_planned(act.endpoint, act.seconds)
            case acts.Submit():
                self._record_start(act, act.change_id)
                self._submit(act)
            case acts.CrashDaemon() | acts.FreezeDaemon():
                self._apply_to_daemon(act)
            case acts.CrashControl() | acts.FreezeControl() | acts.StopControl():
                self._apply_to_control(act)
            case _:
                self._apply_to_network(act)

    def _submit(self, act: acts.Submit) -> None:
        if act.times == 1:
            self._processes.submit(act)
            return
        for number in range(act.times):
            submission = msgspec.structs.replace(
                act, change_id=f"{act.change_id}.{number}", times=1
            )
            self._clock.call_later(number * act.every_seconds, self._processes.submit, submission)

    def _apply_to_daemon(self, act: acts.CrashDaemon | acts.FreezeDaemon) -> None:
        self._record_start(act, act.node)
        if isinstance(act, acts.CrashDaemon):
            self._processes.crash_daemon(act.node, act.seconds)
        else:
            self._processes.freeze_daemon(act.node, act.seconds)

    def _apply_to_control(
        self, act: acts.CrashControl | acts.FreezeControl | acts.StopControl
    ) -> None:
        node = self._processes.node_name(act.node)
        self._record_start(act, node)
        if isinstance(act, acts.CrashControl):
            self._processes.crash_control(node, act.seconds, act.wipe_disk)
        elif isinstance(act, acts.FreezeControl):
            self._processes.freeze_control(node, act.seconds)
        else:
            self._processes.stop_control(node, act.seconds)

    def _apply_to_network(self, act: acts.Act) -> None:
        network = self._network
        match act:
            case acts.CutNode():
                node = self._processes.node_name(act.node)
                pairs = [("*", node)] if act.one_way else [("*", node), (node, "*")]
                self._cut(act, act.seconds, pairs, node)
            case acts.CutZones():
                pairs = [(act.source, act.target)]
                if not act.one_way:
                    pairs.append((act.target, act.source))
                self._cut(act, act.seconds, pairs, act.source, act.target)
            case acts.SlowLink():
                self._apply_for(
                    act,
                    act.seconds,
                    lambda: self._slow_link(act, act.extra_seconds),
                    lambda: self._slow_link(act, 0.0),
                    act.source,
                    act.target,
                )
            case acts.Duplicate():
                self._apply_for(
                    act,
                    act.seconds,
                    lambda: setattr(network, "duplicate_probability", act.probability),
                    lambda: setattr(network, "duplicate_probability", 0.0),
                )
            case acts.Reorder():
                self._apply_for(
                    act,
                    act.seconds,
                    lambda: setattr(network, "reorder_probability", act.probability),
                    lambda: setattr(network, "reorder_probability", 0.0),
                )
            case _:
                raise UnknownTargetError(f"act {act} can't be carried out")

    def _back_end(self, endpoint: str) -> BackEnd:
        try:
            return self._back_ends[endpoint]
        except KeyError:
            raise UnknownTargetError(f"no back end {endpoint!r}") from None

    def _back_ends_of(self, service: str) -> list[BackEnd]:
        back_ends = [
            back_end for back_end in self._back_ends.values() if back_end.service == service
        ]
        if not back_ends:
            raise UnknownTargetError(f"no service {service!r}")
        return back_ends

    def _slow(self, act: acts.Act, back_ends: list[BackEnd], factor: float, target: str) -> None:
        def scale(by: float) -> None:
            for back_end in back_ends:
                back_end.slow_factor *= by

        seconds = getattr(act, "seconds", 0.0)
        self._apply_for(act, seconds, lambda: scale(factor), lambda: scale(1.0 / factor), target)

    def _crash_back_end(self, act: acts.CrashBackEnd) -> None:
        back_end = self._back_end(act.endpoint)

        def restart() -> None:
            if not back_end.up:
                back_end.start()
                self._recorder.record(EndpointReturned(self._clock.now, act.endpoint))
                self._processes.back_end_started(act.endpoint)

        self._apply_for(act, act.seconds, back_end.crash, restart, act.endpoint)

    def _misreport(self, act: acts.Misreport) -> None:
        back_end = self._back_end(act.endpoint)

        def misreport(begins: bool) -> None:
            back_end.misreports_idle = begins
            back_end.fails_fast = begins and act.fails_fast

        self._apply_for(
            act, act.seconds, lambda: misreport(True), lambda: misreport(False), act.endpoint
        )

    def _cut(
        self, act: acts.Act, seconds: float, pairs: list[tuple[str, str]], *targets: str
    ) -> None:
        def begin() -> None:
            for source, target in pairs:
                self._network.cut(source, target)
            self._processes.network_changed()

        def end() -> None:
            for source, target in pairs:
                self._network.heal(source, target)
            self._processes.network_changed()

        self._apply_for(act, seconds, begin, end, *targets)

    def _slow_link(self, act: acts.SlowLink, extra: float) -> None:
        self._network.slow(act.source, act.target, extra)
        self._network.slow(act.target, act.source, extra)

    def _apply_for(
        self,
        act: acts.Act,
        seconds: float,
        begin: Callable[[], None],
        end: Callable[[], None],
        *targets: str,
    ) -> None:
        self._record_start(act, *targets)
        begin()

        def finish() -> None:
            self._recorder.record(Fault(self._clock.now, _fault_name(act), targets, ended=True))
            end()

        self._clock.call_later(seconds, finish)

    def _record_start(self, act: acts.Act, *targets: str) -> None:
        detail = msgspec.json.encode(act).decode()
        self._recorder.record(Fault(self._clock.now, _fault_name(act), targets, detail=detail))


def _fault_name(act: acts.Act) -> str:
    return str(type(act).__struct_config__.tag)
