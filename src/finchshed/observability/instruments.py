"""Counters, gauges and histograms of this process, as plain numbers.

They are declared at import and changed on the way of every call, so they hold numbers and nothing
else. :mod:`finchshed.observability.metrics_page` turns them into prometheus_client's metrics when
the page is asked for; a process whose page nobody reads never loads that library.

All are used from the event loop's thread only.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import Generic, TypeVar

_declared: dict[str, "Instrument"] = {}


class Instrument:
    """A metric by its name, with what it tells.

    Parameters
    ----------
    labels
        Names of its labels; values are kept for each combination of them.
    """

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        self.name = name
        self.description = description
        self.label_names = tuple(labels)
        if _declared.setdefault(name, self) is not self:
            raise ValueError(f"the metric {name} is declared twice")


class CounterValue:
    """A number that only grows."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount


class GaugeValue:
    """A number that is set."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the number."""
        self.value = float(value)

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Take ``amount`` away."""
        self.value -= amount


ValueT = TypeVar("ValueT", CounterValue, GaugeValue)


class _Labelled(Instrument, Generic[ValueT]):
    """Values by the values of labels; one value where there are no labels."""

    def __init__(
        self, name: str, description: str, labels: Sequence[str], make: type[ValueT]
    ) -> None:
        super().__init__(name, description, labels)
        self._make: type[ValueT] = make
        self._values: dict[tuple[str, ...], ValueT] = {}
        if not labels:
            self._values[()] = make()

    def labels(self, *values: str) -> ValueT:
        """Return the value of these label values, in the order of the names."""
        found = self._values.get(values)
        if found is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name} has the labels {self.label_names}")
            found = self._values[values] = self._make()
        return found

    def samples(self) -> Iterator[tuple[tuple[str, ...], float]]:
        """Return label values and number of each value."""
        return ((labels, value.value) for labels, value in self._values.items())


class Counter(_Labelled[CounterValue]):
    """Counts events."""

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        super().__init__(name, description, labels, CounterValue)
        whole = self._values.get(())
        self.inc = whole.inc if whole is not None else _needs_labels


class Gauge(_Labelled[GaugeValue]):
    """Tells a present value."""

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        super().__init__(name, description, labels, GaugeValue)
        whole = self._values.get(())
        self.set = whole.set if whole is not None else _needs_labels
        self.inc = whole.inc if whole is not None else _needs_labels
        self.dec = whole.dec if whole is not None else _needs_labels


class Histogram(Instrument):
    """Counts observations by upper bounds of their size, in ascending order."""

    def __init__(self, name: str, description: str, buckets: Sequence[float]) -> None:
        super().__init__(name, description)
        self.bounds = tuple(float(bound) for bound in buckets)
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, amount: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(self.bounds, amount)] += 1
        self.total += amount


class Info(Instrument):
    """Tells fixed facts as labels."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__(name, description)
        self.facts: dict[str, str] = {}

    def info(self, facts: dict[str, str]) -> None:
        """Set the facts."""
        self.facts = dict(facts)


def registered_instruments() -> list[Instrument]:
    """Return every metric of this process, in the order of declaration."""
    return list(_declared.values())


def _needs_labels(_amount: float = 1.0) -> None:
    raise ValueError("a metric with labels is changed through them")
