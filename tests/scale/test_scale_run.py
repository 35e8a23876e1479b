"""A small scale run of real processes: changes, the leader killed, a zone cut off from control."""

from pathlib import Path

import msgspec

from finchshed.scale.command import run
from finchshed.scale.results import Line, PhaseResult, RunInfo


def test_a_small_run_brings_every_change_into_force(tmp_path: Path) -> None:
    out = tmp_path / "results.jsonl"
    run(
        daemons=21,
        services=4,
        real=1,
        rate=2.0,
        fault_seconds=6.0,
        steady_seconds=3.0,
        only="steady,leader_killed,control_cut_off",
        folder=str(tmp_path / "run"),
        out=str(out),
    )
    decoder = msgspec.json.Decoder(Line)
    info, *phases = [decoder.decode(line) for line in out.read_bytes().splitlines()]
    assert isinstance(info, RunInfo)
    assert info.size.daemons == 21
    names = []
    for phase in phases:
        assert isinstance(phase, PhaseResult)
        names.append(phase.name)
        cut_off = phase.cut_off.each.count if phase.cut_off else 0
        assert phase.in_force.missing == 0
        assert phase.reverted == 0
        assert phase.in_force.each.count + cut_off == phase.accepted * 21
        assert phase.served_unconfirmed == 0
    assert names == ["start-up", "steady", "leader killed", "peers only"]
    steady = phases[1]
    assert isinstance(steady, PhaseResult)
    assert steady.accepted == 6
    assert steady.calls.answered > 0
