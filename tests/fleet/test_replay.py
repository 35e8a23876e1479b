"""Arrivals and acts of an emulated deployment, played by real processes."""

import pathlib
import random

import msgspec
import pytest

from finchshed.common.errors import SettingsError
from finchshed.common.importance import Importance
from finchshed.emulator import acts as emulated
from finchshed.emulator.callers import Arrival
from finchshed.emulator.deployment import Deployment, Hop, RequestKind, ServiceModel
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.fleet import acts
from finchshed.fleet.emulated_acts import ActTranslator
from finchshed.fleet.replay import Play, arrivals_by_group, moved_key, play_on_fleet
from finchshed.ledger.keys import issued_at, new_key
from finchshed.proof.checks import violations_of
from finchshed.proof.history import CallBegan, CallEnded, CallResult, RunBegan

DEEP = Hop(service="deep", seconds=0.01)
DEPLOYMENT = Deployment(
    name="two",
    zones=("a", "b"),
    zone_delay_seconds=0.0,
    client_delay_seconds=0.001,
    services=(
        ServiceModel(name="front", back_ends=2, slots=8),
        ServiceModel(name="deep", back_ends=2, slots=8),
    ),
    kinds=(
        RequestKind(
            name="check",
            importance=Importance.CRITICAL,
            share=0.5,
            hop=Hop(service="front", seconds=0.01, calls=(DEEP, DEEP)),
        ),
        RequestKind(
            name="buy",
            importance=Importance.HIGH,
            share=0.5,
            repeatable=False,
            hop=Hop(service="front", seconds=0.01),
        ),
    ),
    arrivals_per_second=10.0,
    deep_service="deep",
    deadline_seconds=4.0,
)


KEY = new_key(EPOCH_UNIX_SECONDS + 1.5, random.Random(1))
BEGAN = EPOCH_UNIX_SECONDS + 1e6


def test_keys_keep_their_age_and_zones_their_arrivals() -> None:
    arrivals = [
        Arrival(time=1.0, root="r1", kind="check", zone="b"),
        Arrival(time=2.0, root="r2", kind="buy", zone="a", key=KEY),
    ]
    groups = arrivals_by_group(DEPLOYMENT, arrivals, BEGAN)
    (first,) = groups["callers-b"]
    assert (first.request, first.load, first.key) == ("r1", 0, "")
    (second,) = groups["callers-a"]
    assert (second.request, second.load) == ("r2", 1)
    assert issued_at(second.key) == pytest.approx(BEGAN + 1.5)


def test_moved_keys_stay_apart_and_a_wrong_key_stays_wrong() -> None:
    other = new_key(EPOCH_UNIX_SECONDS + 1.5, random.Random(2))
    assert moved_key(KEY, 10.0) != moved_key(other, 10.0)
    assert moved_key(KEY, 10.0) == moved_key(KEY, 10.0) != KEY
    assert moved_key("not-a-key", 10.0) == "not-a-key"


def test_nodes_of_endpoints_are_their_daemons() -> None:
    translator = ActTranslator(["front-1"])
    script = translator.translated(
        [
            emulated.CrashDaemon(time=1.0, node="front-1", seconds=2.0),
            emulated.FreezeDaemon(time=1.0, node="edge-a", seconds=2.0),
            emulated.CutNode(time=1.0, node="front-1", seconds=2.0, one_way=True),
            emulated.StopPlanned(time=3.0, endpoint="front-1", seconds=0.5),
        ]
    )
    kill, freeze, cut, *restarts = script
    assert isinstance(kill, acts.Kill)
    assert (kill.target, kill.restart_after_seconds) == ("front-1-daemon", 2.0)
    assert isinstance(freeze, acts.Freeze)
    assert freeze.target == "edge-a"
    assert isinstance(cut, acts.Cut)
    assert (cut.source, cut.target, cut.one_way) == ("*", "front-1-daemon", True)
    assert [restart.target for restart in restarts] == ["front-1-backend", "front-1-daemon"]  # type: ignore[union-attr]


def test_acts_only_an_emulator_can_do_are_refused_all_at_once() -> None:
    script = [
        emulated.Reorder(time=1.0, probability=0.1, seconds=1.0),
        emulated.Duplicate(time=2.0, probability=0.1, seconds=1.0),
    ]
    with pytest.raises(SettingsError) as caught:
        ActTranslator([]).translated(script)
    assert len(caught.value.problems) == 2


async def test_played_history_names_the_arrivals_and_keeps_every_property(
    tmp_path: pathlib.Path,
) -> None:
    checks = [
        Arrival(time=0.05 * number, root=f"c{number}", kind="check", zone="ab"[number % 2])
        for number in range(40)
    ]
    resends = [
        Arrival(time=time, root="b", kind="buy", zone=zone, key=KEY, caller="ana")
        for time, zone in [(0.1, "a"), (0.11, "b"), (1.5, "b")]
    ]
    arrivals = tuple(sorted([*checks, *resends], key=lambda arrival: arrival.time))
    wanted = Play(
        name="test",
        deployment=DEPLOYMENT,
        arrivals=arrivals,
        acts=(
            emulated.CrashDaemon(time=0.5, node="deep-1", seconds=0.5),
            emulated.Submit(time=0.5, change_id="one", operators=2, resend=True),
        ),
        seconds=3.0,
    )
    history = await play_on_fleet(wanted, tmp_path)
    # The bound in force is wider than in traces: a busy machine runs this test.
    history.header = msgspec.structs.replace(history.header, in_force_bound_seconds=10.0)
    assert violations_of(history) == []
    began = [event for event in history.events if isinstance(event, CallBegan)]
    outside = {event.root: event.kind for event in began if not event.parent}
    assert outside == {arrival.root: arrival.kind for arrival in arrivals}
    assert sum(bool(event.parent) for event in began) >= 2 * len(checks)
    runs = [e for e in history.events if isinstance(e, RunBegan) and e.key]
    assert len(runs) == 1
    answered = [
        event.call
        for event in history.events
        if isinstance(event, CallEnded) and event.result is CallResult.ANSWERED
    ]
    assert any(call.startswith("b/") for call in answered)
