"""Plays arrivals and acts of the emulator's deployments on a fleet of real processes."""

import pathlib
import time
import uuid
from collections.abc import Mapping, Sequence

import msgspec

from finchshed.common.units import MILLISECONDS
from finchshed.emulator import acts as emulated_acts
from finchshed.emulator.callers import Arrival as EmulatedArrival
from finchshed.emulator.callers import ClientPolicy
from finchshed.emulator.control.group import PLATFORM_LAG_SECONDS
from finchshed.emulator.deployment import Deployment as EmulatedDeployment
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.emulator.world import endpoints_of
from finchshed.fleet.deployment import CallerGroup, Deployment
from finchshed.fleet.emulated_acts import ActTranslator
from finchshed.fleet.emulated_source import group_of, write_source
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.interruption import run_interruptible
from finchshed.fleet.scenario import Scenario
from finchshed.ledger.keys import TIMESTAMP_SHIFT, issued_at
from finchshed.proof.history_file import History
from finchshed.replay.emulated import arrivals_of
from finchshed.replay.trace import Trace
from finchshed.standins.arrivals import Arrival
from finchshed.standins.settings import Phase, RetryHabit

SOURCE_FOLDER = "source"
RUN_FOLDER = "run"
PHASE = "all"
LEAST_SECONDS = 0.1


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """What is to be played.

    Attributes
    ----------
    seconds
        Time from the first arrival to the end.
    """

    name: str
    deployment: EmulatedDeployment
    arrivals: tuple[EmulatedArrival, ...]
    acts: tuple[emulated_acts.Act, ...] = ()
    client: ClientPolicy = ClientPolicy()
    seconds: float
    seed: int = 1
    control_nodes: int = 3
    retry_budget: int = 3


def play(trace: Trace, folder: pathlib.Path) -> History:
    """Play a trace on real processes; times of the history count from its first moment.

    Parameters
    ----------
    folder
        New or empty; keeps settings, logs and records.

    Raises
    ------
    SettingsError
        If the trace holds what real processes can't play.
    """
    return run_interruptible(play_on_fleet(play_of(trace), folder))


def play_of(trace: Trace) -> Play:
    """Return what a trace wants played."""
    header = trace.header
    arrivals = arrivals_of(trace)
    last = max((arrival.time for arrival in arrivals), default=0.0)
    return Play(
        name=header.name,
        deployment=trace.deployment,
        arrivals=arrivals,
        acts=trace.acts,
        client=header.client,
        seconds=max(trace.last_time, last),
        seed=header.seed,
        control_nodes=header.control_nodes,
        retry_budget=header.retry_budget,
    )


async def play_on_fleet(wanted: Play, folder: pathlib.Path) -> History:
    """Play ``wanted`` on real processes; times of the history count from the first moment.

    Parameters
    ----------
    folder
        Keeps the deployment's folder, settings, logs and records.

    Raises
    ------
    SettingsError
        If an act or the deployment can't be played by real processes.
    """
    emulated = wanted.deployment
    endpoints = [
        name
        for service in emulated.services
        for name, _ in endpoints_of(emulated, service.name, service.back_ends)
    ]
    script = ActTranslator(endpoints).translated(wanted.acts)
    source = folder / SOURCE_FOLDER
    write_source(
        source,
        emulated,
        control_nodes=wanted.control_nodes,
        retry_budget=wanted.retry_budget,
    )
    scenario = Scenario(
        name=wanted.name,
        description="a replay",
        phase=(Phase(name=PHASE, duration_seconds=max(wanted.seconds, LEAST_SECONDS)),),
        act=script,
        platform_lag_seconds=PLATFORM_LAG_SECONDS,
    )

    def with_client_policy(deployment: Deployment) -> Deployment:
        return _with_client_policy(deployment, wanted.client)

    run = FaultRun(
        source,
        folder / RUN_FOLDER,
        scenario,
        wanted.seed,
        adapt=with_client_policy,
        arrivals=arrivals_by_group(emulated, wanted.arrivals, time.time()),
    )
    await run.run()
    return run.history_from_start()


def arrivals_by_group(
    emulated: EmulatedDeployment, arrivals: Sequence[EmulatedArrival], began: float
) -> Mapping[str, tuple[Arrival, ...]]:
    """Return the arrivals that each zone's callers send.

    Keys of the emulator carry its own time, so they are moved by what lies between it and
    ``began``, the wall-clock time at which the arrivals begin, Unix seconds.
    """
    places = {kind.name: place for place, kind in enumerate(emulated.kinds)}
    groups: dict[str, list[Arrival]] = {group_of(zone): [] for zone in emulated.zones}
    for number, arrival in enumerate(arrivals):
        groups[group_of(arrival.zone)].append(
            Arrival(
                at=arrival.time,
                number=number,
                load=places[arrival.kind],
                phase=PHASE,
                request=arrival.root,
                caller_name=arrival.caller,
                key=moved_key(arrival.key, began - EPOCH_UNIX_SECONDS),
                session=arrival.session,
            )
        )
    return {group: tuple(played) for group, played in groups.items()}


def moved_key(key: str, seconds: float) -> str:
    """Return ``key`` as if it had been made ``seconds`` later; one without a time as it is."""
    issued = issued_at(key)
    if issued is None:
        return key
    entropy = uuid.UUID(key).int & ((1 << TIMESTAMP_SHIFT) - 1)
    milliseconds = round((issued + seconds) * MILLISECONDS)
    return str(uuid.UUID(int=(milliseconds << TIMESTAMP_SHIFT) | entropy))


def _with_client_policy(deployment: Deployment, policy: ClientPolicy) -> Deployment:
    groups = []
    for group in deployment.caller:
        loads = tuple(
            msgspec.structs.replace(
                load,
                retry=RetryHabit.RETRY_AFTER if policy.heed_retry_after else RetryHabit.HARD,
                max_attempts=policy.attempts,
                backoff_seconds=policy.backoff_seconds,
            )
            for load in group.loads
        )
        groups.append(CallerGroup(name=group.name, zone=group.zone, loads=loads))
    return msgspec.structs.replace(deployment, caller=tuple(groups))
