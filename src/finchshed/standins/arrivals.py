"""Seeded open-loop arrivals: requests come whether or not earlier ones were answered."""

import heapq
import pathlib
from collections.abc import Iterable, Iterator, Sequence

import msgspec
import numpy

from finchshed.standins.settings import Load, Phase


class Arrival(msgspec.Struct, frozen=True, order=True, omit_defaults=True):
    """One request to send at ``at`` seconds after the start.

    Attributes
    ----------
    load
        Place of its load in the settings.
    caller
        Number of the outside caller within the load.
    request
        Name of the request; empty for one made of the number. Arrivals of one name are resends.
    key
        Idempotency key; empty for one made when the request is sent.
    """

    at: float
    number: int
    load: int
    phase: str
    caller: int = 0
    request: str = ""
    caller_name: str = ""
    key: str = ""
    session: str = ""


def read_arrivals(path: str) -> list[Arrival]:
    """Read arrivals from a file of JSON lines, in order of time."""
    decoder = msgspec.json.Decoder(Arrival)
    with open(path, "rb") as file:
        return sorted(decoder.decode(line) for line in file)


def write_arrivals(path: pathlib.Path, arrivals: Iterable[Arrival]) -> None:
    """Write arrivals as JSON lines."""
    path.write_bytes(b"".join(msgspec.json.encode(item) + b"\n" for item in arrivals))


def schedule(
    loads: Sequence[Load], phases: Sequence[Phase], generator: numpy.random.Generator
) -> list[Arrival]:
    """Return all arrivals of a run in order of time."""
    streams = [
        list(_arrivals_of(index, load, phases, generator)) for index, load in enumerate(loads)
    ]
    merged = heapq.merge(*streams)
    return [msgspec.structs.replace(item, number=number) for number, item in enumerate(merged)]


def _arrivals_of(
    index: int, load: Load, phases: Sequence[Phase], generator: numpy.random.Generator
) -> Iterator[Arrival]:
    start = 0.0
    for phase in phases:
        factor = phase.factor if load.surges else 1.0
        rate = load.rate_per_second * factor
        end = start + phase.duration_seconds
        at = start
        while rate > 0.0:
            at += float(generator.exponential(1.0 / rate))
            if at >= end:
                break
            caller = int(generator.integers(load.identities))
            yield Arrival(at=at, number=0, load=index, phase=phase.name, caller=caller)
        start = end
