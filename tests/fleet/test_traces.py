"""Every trace that ships can be played on real processes."""

import pathlib

import pytest

from finchshed.emulator.world import endpoints_of
from finchshed.fleet.emulated_acts import ActTranslator
from finchshed.fleet.replay import arrivals_by_group, play_of
from finchshed.replay.trace import read_trace

TRACES = sorted((pathlib.Path(__file__).parents[2] / "traces").glob("*/*.trace.jsonl"))


def test_traces_ship() -> None:
    assert len(TRACES) >= 22


@pytest.mark.parametrize("path", TRACES, ids=lambda path: f"{path.parent.name}-{path.name}")
def test_trace_is_translated_whole(path: pathlib.Path) -> None:
    wanted = play_of(read_trace(path))
    emulated = wanted.deployment
    endpoints = [
        name
        for service in emulated.services
        for name, _ in endpoints_of(emulated, service.name, service.back_ends)
    ]
    script = ActTranslator(endpoints).translated(wanted.acts)
    assert bool(script) == bool(wanted.acts)
    groups = arrivals_by_group(emulated, wanted.arrivals, 1.0e9)
    assert sum(len(group) for group in groups.values()) == len(wanted.arrivals)
    assert max(act.at for act in script) <= wanted.seconds
