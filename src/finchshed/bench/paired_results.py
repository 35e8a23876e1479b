"""Results of the paired measurement of latency, and their table.

Owns the form of the result's JSON lines.
"""

from collections.abc import Sequence

import msgspec

from finchshed.bench.process_usage import MachineLoad


class Percentiles(msgspec.Struct, frozen=True):
    """Milliseconds at three percentiles."""

    p50: float
    p99: float
    p999: float

    def minus(self, other: "Percentiles") -> "Percentiles":
        """Return the differences, rounded to microseconds."""
        return Percentiles(
            round(self.p50 - other.p50, 3),
            round(self.p99 - other.p99, 3),
            round(self.p999 - other.p999, 3),
        )


class PairedResult(msgspec.Struct, frozen=True):
    """Result of one rate.

    Attributes
    ----------
    rate
        Pairs sent each second.
    pairs
        Pairs of which both calls were answered whole.
    failed
        Pairs of which a call was not.
    added
        Difference of the percentiles: what a caller sees.
    added_by_relays
        The same for two processes that only pass bytes.
    paired
        Percentiles of the difference within each pair; a negative difference counts as 0.
    edge_microseconds, daemon_microseconds
        Processor time of each daemon for one call, idle cost included.
    """

    rate: float
    seconds: float
    seed: int
    pairs: int
    failed: int
    direct: Percentiles
    through: Percentiles
    relayed: Percentiles
    added: Percentiles
    added_by_relays: Percentiles
    paired: Percentiles
    edge_microseconds: float
    daemon_microseconds: float
    machine: MachineLoad


def table(results: Sequence[PairedResult]) -> list[str]:
    """Return the results as lines of a table; latencies in milliseconds at p50/p99/p99.9."""
    lines = [
        "pairs/s  pairs failed          direct         through           added"
        "    added, relay          paired  edge us  daemon us  busy cores"
    ]
    for result in results:
        columns = [
            f"{_text(percentiles):>15}"
            for percentiles in (
                result.direct,
                result.through,
                result.added,
                result.added_by_relays,
                result.paired,
            )
        ]
        lines.append(
            f"{result.rate:7.0f} {result.pairs:6d} {result.failed:6d} {' '.join(columns)}"
            f" {result.edge_microseconds:8.0f} {result.daemon_microseconds:10.0f}"
            f" {result.machine.busy_cores:8.1f}/{result.machine.cores}"
        )
    return lines


def _text(percentiles: Percentiles) -> str:
    return f"{percentiles.p50:.2f}/{percentiles.p99:.2f}/{percentiles.p999:.2f}"
