"""Fits what control costs to the points of :mod:`finchshed.scale.slopes`. Pure.

Processor time is in microseconds a second, memory in KiB, traffic in bytes a second; rates of
changes and restarts are per second, the configuration's size in KiB.
"""

from collections.abc import Mapping, Sequence
from typing import TypeAlias

from finchshed.scale.fit import Fit, fit
from finchshed.scale.slope_points import ControlPoint, SlopePoint

KIB = 1024.0
MICROSECONDS = 1e6

CONTROL_PROCESSOR = "control node, processor"
CONTROL_MEMORY = "control node, memory"
HOLLOW_PROCESSOR = "process of hollow daemons, processor"
HOLLOW_MEMORY = "process of hollow daemons, memory"
DAEMON_PROCESSOR = "daemon without calls, processor"
DAEMON_MEMORY = "daemon without calls, memory"
DAEMON_TRAFFIC = "daemon, traffic with control"
LEDGER_PROCESSOR = "control node under ledger requests, processor"

Terms: TypeAlias = Mapping[str, Sequence[float]]


def fits_of(points: Sequence[SlopePoint]) -> list[Fit]:
    """Return a fit for each quantity."""
    nodes = [(point, node) for point in points if not point.ledger for node in point.control]
    asked = [(point, node) for point in points if point.ledger for node in point.control]
    grown = _without_shrunk(points)
    grown_nodes = [(point, node) for point in grown for node in point.control]
    return [
        fit(
            CONTROL_PROCESSOR,
            _control_terms(nodes),
            [MICROSECONDS * node.core_share for _, node in nodes],
        ),
        fit(
            CONTROL_MEMORY,
            {
                "constant": [1.0 for _ in grown_nodes],
                "subscriber": [float(node.subscribers) for _, node in grown_nodes],
                "configuration KiB": [_kibibytes(point) for point, _ in grown_nodes],
            },
            [node.resident_bytes / KIB for _, node in grown_nodes],
        ),
        fit(
            HOLLOW_PROCESSOR,
            {
                "constant": [1.0 for _ in points],
                "daemon": [_per_process(point) for point in points],
                "daemon x change": [_per_process(point) * point.rate for point in points],
                "daemon x change x configuration KiB": [
                    _per_process(point) * point.rate * _kibibytes(point) for point in points
                ],
                "restart": [point.restarts / point.hollow.processes for point in points],
            },
            [MICROSECONDS * point.hollow.mean_core_share for point in points],
        ),
        fit(
            HOLLOW_MEMORY,
            {
                "constant": [1.0 for _ in grown],
                "daemon": [_per_process(point) for point in grown],
                "daemon x configuration KiB": [
                    _per_process(point) * _kibibytes(point) for point in grown
                ],
            },
            [point.hollow.mean_resident_bytes / KIB for point in grown],
        ),
        fit(
            DAEMON_PROCESSOR,
            _change_terms(points),
            [MICROSECONDS * point.real.mean_core_share for point in points],
        ),
        fit(
            DAEMON_MEMORY,
            {
                "constant": [1.0 for _ in grown],
                "configuration KiB": [_kibibytes(point) for point in grown],
            },
            [point.real.mean_resident_bytes / KIB for point in grown],
        ),
        fit(DAEMON_TRAFFIC, _change_terms(points), [point.bytes_per_second for point in points]),
        fit(
            LEDGER_PROCESSOR,
            _ledger_terms(asked),
            [MICROSECONDS * node.core_share for _, node in asked],
        ),
    ]


def _control_terms(nodes: Sequence[tuple[SlopePoint, ControlPoint]]) -> Terms:
    """Return terms that leaders and followers share, and those that only a leader has."""
    leads = [float(node.is_leader) for _, node in nodes]
    rates = [point.rate for point, _ in nodes]
    sizes = [_kibibytes(point) for point, _ in nodes]
    return {
        "constant": [1.0 for _ in nodes],
        "leader": leads,
        "subscriber": [float(node.subscribers) for _, node in nodes],
        "change": rates,
        "leader x change": [lead * rate for lead, rate in zip(leads, rates, strict=True)],
        "change x subscriber": [point.rate * node.subscribers for point, node in nodes],
        "change x configuration KiB": [
            rate * size for rate, size in zip(rates, sizes, strict=True)
        ],
        "restart": [point.restarts for point, _ in nodes],
    }


def _ledger_terms(nodes: Sequence[tuple[SlopePoint, ControlPoint]]) -> Terms:
    leads = [float(node.is_leader) for _, node in nodes]
    rates = [point.ledger for point, _ in nodes]
    return {
        "constant": [1.0 for _ in nodes],
        "leader": leads,
        "request": rates,
        "leader x request": [lead * rate for lead, rate in zip(leads, rates, strict=True)],
    }


def _change_terms(points: Sequence[SlopePoint]) -> Terms:
    return {
        "constant": [1.0 for _ in points],
        "change": [point.rate for point in points],
        "change x configuration KiB": [point.rate * _kibibytes(point) for point in points],
    }


def _without_shrunk(points: Sequence[SlopePoint]) -> list[SlopePoint]:
    """Leave out points after the configuration shrank: processes keep memory they once needed."""
    largest = 0
    grown = []
    for point in points:
        if point.configuration_bytes >= largest:
            grown.append(point)
            largest = point.configuration_bytes
    return grown


def _kibibytes(point: SlopePoint) -> float:
    return point.configuration_bytes / KIB


def _per_process(point: SlopePoint) -> float:
    return point.daemons / point.hollow.processes


def table_of(fits: Sequence[Fit]) -> str:
    """Return the fits as lines for people."""
    lines = []
    for item in fits:
        lines.append(
            f"{item.quantity}: {item.points} points, residual rms {item.residual_rms:.4g}, "
            f"worst {item.worst_residual:.4g}, explained {item.explained:.3f}"
        )
        lines += [
            f"    {term.name:<38}{term.value:>12.4g} +- {term.standard_error:.2g}"
            for term in item.coefficients
        ]
    return "\n".join(lines)
