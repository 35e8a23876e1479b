"""Fits what control costs to the points of :mod:`finchshed.scale.slopes`. Pure."""

from collections.abc import Callable, Sequence

from finchshed.scale.fit import Fit, fit
from finchshed.scale.slopes import ControlPoint, SlopePoint

KIB = 1024.0


def fits_of(points: Sequence[SlopePoint]) -> list[Fit]:
    """Return a fit for each quantity.

    Core shares are in microseconds of processor time a second, memory in KiB, traffic in bytes a
    second; rates of changes and restarts are per second, the configuration's size in KiB.
    """
    ran = [point for point in points if point.hollow_core_share > 0.0]
    nodes = [(point, node) for point in ran for node in point.control]
    serving = [(point, node) for point, node in nodes if not node.is_leader]
    leading = [(point, node) for point, node in nodes if node.is_leader]
    return [
        _control_processor("control follower, processor", serving),
        _control_processor("control leader, processor", leading),
        _control_memory(nodes),
        _daemon(
            "daemon (follower and client), processor",
            ran,
            lambda point: 1e6 * point.hollow_core_share,
        ),
        _daemon("daemon, traffic", ran, lambda point: point.bytes_per_second),
        fit(
            "daemon (follower and client), memory",
            {
                "constant": [1.0 for _ in ran],
                "configuration KiB": [point.configuration_bytes / KIB for point in ran],
            },
            [point.hollow_resident_bytes / KIB for point in ran],
        ),
        _daemon(
            "daemon (whole process, no calls), processor",
            ran,
            lambda point: 1e6 * point.real.mean_core_share,
        ),
        fit(
            "daemon (whole process, no calls), memory",
            {
                "constant": [1.0 for _ in ran],
                "configuration KiB": [point.configuration_bytes / KIB for point in ran],
            },
            [point.real.mean_resident_bytes / KIB for point in ran],
        ),
    ]


def _control_processor(quantity: str, nodes: Sequence[tuple[SlopePoint, ControlPoint]]) -> Fit:
    return fit(
        quantity,
        {
            "constant": [1.0 for _ in nodes],
            "subscriber": [float(node.subscribers) for _, node in nodes],
            "change": [point.rate for point, _ in nodes],
            "change x subscriber": [point.rate * node.subscribers for point, node in nodes],
            "change x configuration KiB": [
                point.rate * point.configuration_bytes / KIB for point, _ in nodes
            ],
            "restart": [point.restarts for point, _ in nodes],
        },
        [1e6 * node.core_share for _, node in nodes],
    )


def _control_memory(nodes: Sequence[tuple[SlopePoint, ControlPoint]]) -> Fit:
    return fit(
        "control node, memory",
        {
            "constant": [1.0 for _ in nodes],
            "subscriber": [float(node.subscribers) for _, node in nodes],
            "configuration KiB": [point.configuration_bytes / KIB for point, _ in nodes],
        },
        [node.resident_bytes / KIB for _, node in nodes],
    )


def _daemon(
    quantity: str, points: Sequence[SlopePoint], value: Callable[[SlopePoint], float]
) -> Fit:
    return fit(
        quantity,
        {
            "constant": [1.0 for _ in points],
            "change": [point.rate for point in points],
            "change x configuration KiB": [
                point.rate * point.configuration_bytes / KIB for point in points
            ],
        },
        [value(point) for point in points],
    )


def table_of(fits: Sequence[Fit]) -> str:
    """Return the fits as lines for people."""
    lines = []
    for item in fits:
        lines.append(
            f"{item.quantity}: {item.points} points, residual rms {item.residual_rms:.4g}, "
            f"worst {item.worst_residual:.4g}, explained {item.explained:.3f}"
        )
        lines += [
            f"    {term.name:<28}{term.value:>14.4g} +- {term.standard_error:.2g}"
            for term in item.coefficients
        ]
    return "\n".join(lines)
