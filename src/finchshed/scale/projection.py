"""What control costs at a given size, worked out from measured slopes. Pure."""

from collections.abc import Mapping, Sequence

import msgspec

from finchshed.scale.fit import Fit
from finchshed.scale.models import (
    CONTROL_MEMORY,
    CONTROL_PROCESSOR,
    DAEMON_MEMORY,
    DAEMON_PROCESSOR,
    DAEMON_TRAFFIC,
)

SECONDS_PER_DAY = 86_400.0
CONTROL_NODES = 6
MICROSECONDS = 1e6
KIBIBYTES_PER_MEBIBYTE = 1024.0

DAEMON_CORE_LIMIT = 0.042
DAEMON_MEMORY_LIMIT_MEBIBYTES = 256.0
DAEMON_TRAFFIC_LIMIT = 10_000.0


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """The size to work out.

    Attributes
    ----------
    burst_changes_per_second
        Highest rate of changes, for a while.
    """

    daemons: int = 1_100
    changes_per_day: float = 1_400.0
    burst_changes_per_second: float = 4.0
    restarts_per_day: float = 110.0
    configuration_kibibytes: float = 160.0


class Row(msgspec.Struct, frozen=True):
    """One quantity at that size; ``limit`` is empty where none is set."""

    quantity: str
    unit: str
    mean_day: float
    burst: float
    limit: str = ""


def project(fits: Sequence[Fit], size: Size) -> list[Row]:
    """Return what each role uses on a mean day and in a burst of changes."""
    by_name = {item.quantity: item for item in fits}
    share = size.daemons / CONTROL_NODES
    control = by_name[CONTROL_PROCESSOR]
    return [
        _processor(control, "control leader, a sixth of daemons", size, _leader(share)),
        _processor(control, "control leader, all daemons", size, _leader(size.daemons)),
        _processor(control, "control follower, a sixth", size, _follower(share)),
        _processor(control, "control follower, all daemons", size, _follower(size.daemons)),
        _memory(by_name[CONTROL_MEMORY], "control node, all daemons", size),
        _processor(
            by_name[DAEMON_PROCESSOR], "daemon, no calls", size, {}, f"{DAEMON_CORE_LIMIT:.1%}"
        ),
        _memory(by_name[DAEMON_MEMORY], "daemon", size, f"{DAEMON_MEMORY_LIMIT_MEBIBYTES:g} MiB"),
        _traffic(by_name[DAEMON_TRAFFIC], size),
    ]


def table_of(rows: Sequence[Row]) -> str:
    """Return rows as lines for people."""
    head = f"{'role':<34}{'quantity':<18}{'mean day':>12}{'burst':>12}{'limit':>10}"
    lines = [
        f"{row.quantity:<34}{row.unit:<18}{row.mean_day:>12.4g}{row.burst:>12.4g}{row.limit:>10}"
        for row in rows
    ]
    return "\n".join([head, *lines])


def _leader(subscribers: float) -> Mapping[str, float]:
    return {"leader": 1.0, "subscriber": subscribers}


def _follower(subscribers: float) -> Mapping[str, float]:
    return {"leader": 0.0, "subscriber": subscribers}


def _processor(
    item: Fit, quantity: str, size: Size, node: Mapping[str, float], limit: str = ""
) -> Row:
    mean, burst = (
        100.0 * item.predict(_terms(item, node, rate, size)) / MICROSECONDS for rate in _rates(size)
    )
    return Row(quantity, "% of a core", mean, burst, limit)


def _memory(item: Fit, quantity: str, size: Size, limit: str = "") -> Row:
    kibibytes = item.predict(_terms(item, _follower(size.daemons), 0.0, size))
    mebibytes = kibibytes / KIBIBYTES_PER_MEBIBYTE
    return Row(quantity, "MiB", mebibytes, mebibytes, limit)


def _traffic(item: Fit, size: Size) -> Row:
    mean, burst = (item.predict(_terms(item, {}, rate, size)) for rate in _rates(size))
    return Row("daemon", "bytes a second", mean, burst, f"{DAEMON_TRAFFIC_LIMIT:g}")


def _rates(size: Size) -> tuple[float, float]:
    return size.changes_per_day / SECONDS_PER_DAY, size.burst_changes_per_second


def _terms(item: Fit, node: Mapping[str, float], rate: float, size: Size) -> Mapping[str, float]:
    known = {
        "constant": 1.0,
        "change": rate,
        "leader x change": rate * node.get("leader", 0.0),
        "change x subscriber": rate * node.get("subscriber", 0.0),
        "change x configuration KiB": rate * size.configuration_kibibytes,
        "configuration KiB": size.configuration_kibibytes,
        "restart": size.restarts_per_day / SECONDS_PER_DAY,
        **node,
    }
    return {term.name: known[term.name] for term in item.coefficients}
