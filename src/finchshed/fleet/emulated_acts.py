"""The emulator's faults and operators' acts as acts on a fleet of real processes."""

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any

from finchshed.common.errors import SettingsError
from finchshed.emulator import acts as emulated
from finchshed.fleet import acts
from finchshed.fleet.plan import backend_name, daemon_name
from finchshed.standins.settings import LoadReporting, Submission

EVERYONE = "*"
LEAST_SECONDS = 0.001


class ActTranslator:
    """Translates acts; names of endpoints tell a daemon's node from an edge's.

    Parameters
    ----------
    endpoints
        Names of the endpoints; each has a back end and a daemon.
    """

    def __init__(self, endpoints: Collection[str]) -> None:
        self._endpoints = endpoints
        self._translate: dict[type[Any], Callable[[Any], list[acts.FaultAct]]] = {
            emulated.SlowService: self._slow_service,
            emulated.SlowEndpoint: self._slow_endpoint,
            emulated.CrashBackEnd: self._crash_back_end,
            emulated.FreezeBackEnd: self._freeze_back_end,
            emulated.CrashDaemon: self._crash_daemon,
            emulated.FreezeDaemon: self._freeze_daemon,
            emulated.CrashControl: self._crash_control,
            emulated.FreezeControl: self._freeze_control,
            emulated.StopControl: self._stop_control,
            emulated.CutNode: self._cut_node,
            emulated.CutZones: self._cut_zones,
            emulated.SlowLink: self._slow_link,
            emulated.Drain: self._drain,
            emulated.StopPlanned: self._stop_planned,
            emulated.Misreport: self._misreport,
        }

    def translated(self, script: Iterable[emulated.Act]) -> tuple[acts.FaultAct, ...]:
        """Return the acts of ``script``.

        Raises
        ------
        SettingsError
            If one can't be done to real processes; all such are named.
        """
        script = list(script)
        known = (*self._translate, emulated.Submit)
        unknown = [act for act in script if type(act) not in known]
        if unknown:
            raise SettingsError(
                [
                    f"act {act.__struct_config__.tag} at {act.time:g}: "
                    f"can't be done to real processes, only in the emulator"
                    for act in unknown
                ]
            )
        faults = [act for act in script if not isinstance(act, emulated.Submit)]
        submits = [act for act in script if isinstance(act, emulated.Submit)]
        done = [made for act in faults for made in self._translate[type(act)](act)]
        return (*done, *_submitted(submits))

    def process_of(self, node: str) -> str:
        """Return the name of the daemon, edge or control process of a node."""
        return daemon_name(node) if node in self._endpoints else node

    def _slow_service(self, act: emulated.SlowService) -> list[acts.FaultAct]:
        return [_slow(act.time, act.service, act.factor, act.seconds)]

    def _slow_endpoint(self, act: emulated.SlowEndpoint) -> list[acts.FaultAct]:
        return [_slow(act.time, act.endpoint, act.factor, act.seconds)]

    def _crash_back_end(self, act: emulated.CrashBackEnd) -> list[acts.FaultAct]:
        target = backend_name(act.endpoint)
        return [acts.Kill(at=act.time, target=target, restart_after_seconds=act.seconds)]

    def _freeze_back_end(self, act: emulated.FreezeBackEnd) -> list[acts.FaultAct]:
        return [_freeze(act.time, backend_name(act.endpoint), act.seconds)]

    def _crash_daemon(self, act: emulated.CrashDaemon) -> list[acts.FaultAct]:
        target = self.process_of(act.node)
        return [acts.Kill(at=act.time, target=target, restart_after_seconds=act.seconds)]

    def _freeze_daemon(self, act: emulated.FreezeDaemon) -> list[acts.FaultAct]:
        return [_freeze(act.time, self.process_of(act.node), act.seconds)]

    def _crash_control(self, act: emulated.CrashControl) -> list[acts.FaultAct]:
        return [
            acts.Kill(
                at=act.time,
                target=act.node,
                restart_after_seconds=act.seconds,
                wipe=act.wipe_disk,
            )
        ]

    def _freeze_control(self, act: emulated.FreezeControl) -> list[acts.FaultAct]:
        return [_freeze(act.time, act.node, act.seconds)]

    def _stop_control(self, act: emulated.StopControl) -> list[acts.FaultAct]:
        return [acts.Restart(at=act.time, target=act.node, down_seconds=act.seconds)]

    def _cut_node(self, act: emulated.CutNode) -> list[acts.FaultAct]:
        """Cut a node off; one way means that it only can't be reached."""
        return [_cut(act.time, EVERYONE, self.process_of(act.node), act.seconds, act.one_way)]

    def _cut_zones(self, act: emulated.CutZones) -> list[acts.FaultAct]:
        return [_cut(act.time, act.source, act.target, act.seconds, act.one_way)]

    def _slow_link(self, act: emulated.SlowLink) -> list[acts.FaultAct]:
        return [
            acts.Delay(
                at=act.time,
                source=self.process_of(act.source),
                target=self.process_of(act.target),
                delay_seconds=max(act.extra_seconds, LEAST_SECONDS),
                duration_seconds=max(act.seconds, LEAST_SECONDS),
            )
        ]

    def _drain(self, act: emulated.Drain) -> list[acts.FaultAct]:
        return [acts.Leave(at=act.time, target=act.endpoint, sign=acts.Sign(act.sign))]

    def _stop_planned(self, act: emulated.StopPlanned) -> list[acts.FaultAct]:
        """Stop the back end and its daemon; both start again ``seconds`` after they have ended."""
        targets = (backend_name(act.endpoint), daemon_name(act.endpoint))
        return [
            acts.Restart(at=act.time, target=target, down_seconds=act.seconds) for target in targets
        ]

    def _misreport(self, act: emulated.Misreport) -> list[acts.FaultAct]:
        return [
            acts.Misreport(
                at=act.time,
                target=act.endpoint,
                duration_seconds=max(act.seconds, LEAST_SECONDS),
                report=LoadReporting.ZERO,
                failing=act.fails_fast,
            )
        ]


def _submitted(submits: list[emulated.Submit]) -> list[acts.FaultAct]:
    """Return one act in which one process submits all changes."""
    if not submits:
        return []
    submissions = tuple(one for act in submits for one in _submissions_of(act))
    return [acts.Submit(at=0.0, submissions=submissions)]


def _submissions_of(act: emulated.Submit) -> Iterator[Submission]:
    for number in range(act.times):
        yield Submission(
            at=act.time + number * act.every_seconds,
            change_id=act.change_id if act.times == 1 else f"{act.change_id}.{number}",
            operators=act.operators,
            resend=act.resend,
            series=act.change_id if act.times > 1 else "",
        )


def _slow(time: float, target: str, factor: float, seconds: float) -> acts.Slow:
    duration = max(seconds, LEAST_SECONDS)
    return acts.Slow(at=time, target=target, factor=factor, duration_seconds=duration)


def _freeze(time: float, target: str, seconds: float) -> acts.Freeze:
    return acts.Freeze(at=time, target=target, duration_seconds=max(seconds, LEAST_SECONDS))


def _cut(time: float, source: str, target: str, seconds: float, one_way: bool) -> acts.Cut:
    return acts.Cut(
        at=time,
        source=source,
        target=target,
        one_way=one_way,
        duration_seconds=max(seconds, LEAST_SECONDS),
    )
