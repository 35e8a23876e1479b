"""Plays a trace on the emulator."""

import random

import msgspec
import xxhash

from finchshed.emulator import world
from finchshed.emulator.callers import Arrival, generate_arrivals
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.emulator.run import RunSpecification
from finchshed.emulator.streams import Streams
from finchshed.ledger.keys import issued_at, new_key
from finchshed.proof.history_file import History
from finchshed.replay.trace import Load, Trace


def play(trace: Trace) -> History:
    """Return the history of ``trace`` on the emulator."""
    return world.run(specification_of(trace)).history


def specification_of(trace: Trace) -> RunSpecification:
    """Return the specification of the emulator run for ``trace``."""
    header = trace.header
    arrivals = arrivals_of(trace)
    last = max((arrival.time for arrival in arrivals), default=0.0)
    return RunSpecification(
        deployment=trace.deployment,
        seed=header.seed,
        seconds=max(trace.last_time, last),
        settle_seconds=header.settle_seconds,
        acts=trace.acts,
        client=header.client,
        arrivals=arrivals,
        scenario=header.name,
        control_nodes=header.control_nodes,
        retry_budget=header.retry_budget,
    )


def arrivals_of(trace: Trace) -> tuple[Arrival, ...]:
    """Return listed and generated arrivals, in order of time.

    Keys of non-repeatable requests are replaced by keys that contain their time of issue, unless
    they already do. Equal texts give equal keys.
    """
    arrivals = [arrival.arrival() for arrival in trace.arrivals]
    for number, load in enumerate(trace.loads, start=1):
        arrivals.extend(_generate_load_arrivals(trace, load, f"-load{number}-"))
    arrivals.sort(key=lambda arrival: arrival.time)
    keys: dict[str, str] = {}
    return tuple(_with_idempotency_key(trace, arrival, keys) for arrival in arrivals)


def _generate_load_arrivals(trace: Trace, load: Load, name: str) -> list[Arrival]:
    rate = trace.deployment.arrivals_per_second * load.factor
    deployment = msgspec.structs.replace(trace.deployment, arrivals_per_second=rate)
    streams = Streams(trace.header.seed)
    end = load.time + load.seconds
    return list(generate_arrivals(deployment, streams, end, (), load.time, name=name))


def _with_idempotency_key(trace: Trace, arrival: Arrival, keys: dict[str, str]) -> Arrival:
    if trace.deployment.kind(arrival.kind).repeatable or issued_at(arrival.key) is not None:
        return arrival
    text = arrival.key or f"root {arrival.root}"
    if text not in keys:
        rng = random.Random(xxhash.xxh3_64_intdigest(text.encode()))
        keys[text] = new_key(EPOCH_UNIX_SECONDS + arrival.time, rng)
    return msgspec.structs.replace(arrival, key=keys[text])
