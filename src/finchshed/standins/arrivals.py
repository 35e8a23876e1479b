"""Generates open-loop arrivals, which do not wait for earlier requests to complete.

The order of the random draws is fixed, so a seed always gives the same arrivals.
"""

import heapq
from collections.abc import Iterator, Sequence

import msgspec
import numpy

from finchshed.standins.settings import Phase, StandinLoad


class StandinArrival(msgspec.Struct, frozen=True, order=True):
    """One request to send at ``at`` seconds after the start.

    Attributes
    ----------
    load
        Index of its load in the settings.
    caller
        Index of the external caller within the load.
    """

    at: float
    number: int
    load: int
    phase: str
    caller: int = 0


def schedule(
    loads: Sequence[StandinLoad], phases: Sequence[Phase], generator: numpy.random.Generator
) -> list[StandinArrival]:
    """Return all arrivals of a run ordered by time."""
    streams = [
        list(_arrivals_of(index, load, phases, generator)) for index, load in enumerate(loads)
    ]
    merged = heapq.merge(*streams)
    return [msgspec.structs.replace(item, number=number) for number, item in enumerate(merged)]


def _arrivals_of(
    index: int, load: StandinLoad, phases: Sequence[Phase], generator: numpy.random.Generator
) -> Iterator[StandinArrival]:
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
            yield StandinArrival(at=at, number=0, load=index, phase=phase.name, caller=caller)
        start = end
