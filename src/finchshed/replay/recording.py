"""Creates traces from campaign plans and from recorded histories."""

import msgspec

from finchshed.campaign.scenarios import Plan
from finchshed.common.errors import SettingsError
from finchshed.emulator import acts
from finchshed.emulator.callers import Arrival, ClientPolicy, generate_arrivals
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.streams import Streams
from finchshed.proof.history import CallBegan, Fault
from finchshed.proof.history_file import History
from finchshed.replay.outcome_checks import request_records
from finchshed.replay.outcomes import (
    OUTCOMES_VERSION,
    ClassName,
    ClassOutcome,
    OutcomesHeader,
    PropertyOutcome,
    encode_line,
)
from finchshed.replay.trace import TRACE_VERSION, Trace, TraceArrival, TraceHeader

_act_decoder: msgspec.json.Decoder[acts.Act] = msgspec.json.Decoder(acts.Act)

FRACTION_MARGIN = 0.1
"""Tolerance by which a replay may fall below a recorded fraction."""


def trace_of_plan(plan: Plan) -> Trace:
    """Return a trace whose replay gives the history of the plan's run, byte for byte."""
    specification = plan.specification()
    header = TraceHeader(
        version=TRACE_VERSION,
        name=plan.scenario,
        deployment=plan.deployment,
        description=f"seed {plan.seed} of scenario {plan.scenario}",
        seed=plan.seed,
        control_nodes=specification.control_nodes,
        settle_seconds=specification.settle_seconds,
        retry_budget=specification.retry_budget,
        client=specification.client,
    )
    arrivals = generate_arrivals(
        plan.deployment,
        Streams(plan.seed),
        specification.seconds,
        specification.surges,
        specification.begin_seconds,
    )
    listed = tuple(_trace_arrival(arrival) for arrival in arrivals)
    return Trace(header, plan.deployment, listed, (), specification.acts)


def trace_of_history(history: History, name: str, deployment: Deployment) -> tuple[Trace, int]:
    """Return a trace of the arrivals and faults in ``history``.

    Clients' retries are omitted, since the replay's clients retry by themselves. Faults whose
    parameters aren't in the history, or that a trace can't express, are left out.

    Returns
    -------
    tuple of Trace and int
        The trace and the number of omitted faults.

    Raises
    ------
    SettingsError
        If the history contains a kind of request that the deployment doesn't define.
    """
    arrivals = _arrivals_of(history, deployment)
    found, left_out = _acts_of(history)
    header = TraceHeader(
        version=TRACE_VERSION,
        name=name,
        deployment=deployment,
        description=f"recorded from a history of {history.header.source}",
        seed=history.header.seed,
        retry_budget=history.header.retry_budget,
        client=ClientPolicy(),
    )
    return Trace(header, deployment, arrivals, (), found), left_out


def _arrivals_of(history: History, deployment: Deployment) -> tuple[TraceArrival, ...]:
    """Return each root request once. Histories don't hold the callers' zones: given in turn."""
    zones = deployment.zones
    arrivals: dict[str, TraceArrival] = {}
    for event in history.events:
        if isinstance(event, CallBegan) and not event.parent and event.root not in arrivals:
            arrivals[event.root] = TraceArrival(
                time=event.time,
                root=event.root,
                kind=event.kind,
                zone=zones[len(arrivals) % len(zones)],
                caller=event.caller,
                key=event.key,
                session=event.session,
            )
    kinds = {kind.name for kind in deployment.kinds}
    unknown = sorted({arrival.kind for arrival in arrivals.values()} - kinds)
    if unknown:
        raise SettingsError([f"kind = {unknown[0]!r}: allowed are {', '.join(sorted(kinds))}"])
    return tuple(arrivals.values())


def _acts_of(history: History) -> tuple[tuple[acts.Act, ...], int]:
    """Return the acts that can be decoded from the history, and the number of other faults."""
    found: list[acts.Act] = []
    left_out = 0
    for event in history.events:
        if isinstance(event, Fault) and not event.ended:
            try:
                found.append(_act_decoder.decode(event.detail))
            except msgspec.DecodeError:
                left_out += 1
    return tuple(found), left_out


def outcomes_of(trace: Trace, history: History) -> list[bytes]:
    """Return outcomes that ``history`` meets: all invariants and each class's answered fraction.

    The fractions are lowered by :data:`FRACTION_MARGIN`.
    """
    lines = [
        encode_line(OutcomesHeader(version=OUTCOMES_VERSION, trace=trace.header.name)),
        encode_line(PropertyOutcome()),
    ]
    records = list(request_records(history).values())
    names: tuple[ClassName, ...] = ("critical", "high", "normal", "sheddable")
    for name in names:
        fractions = [
            record.result == "answered"
            for record in records
            if record.importance.name.lower() == name
        ]
        if fractions:
            least = max(round(sum(fractions) / len(fractions) - FRACTION_MARGIN, 3), 0.0)
            lines.append(encode_line(ClassOutcome(importance=name, answered_at_least=least)))
    return lines


def _trace_arrival(arrival: Arrival) -> TraceArrival:
    return TraceArrival(
        time=arrival.time,
        root=arrival.root,
        kind=arrival.kind,
        zone=arrival.zone,
        caller=arrival.caller,
        key=arrival.key,
        session=arrival.session,
    )
