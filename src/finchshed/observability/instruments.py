"""Lightweight counters, gauges, histograms and info metrics.

Instruments are declared at import and updated on the hot path, so they hold only plain numbers.
:mod:`finchshed.observability.metrics_page` converts them to prometheus_client metrics on request;
the library is not loaded before. Instruments are not thread-safe and must be used from the event
loop's thread only.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import Generic, TypeVar

_registry: dict[str, "Instrument"] = {}


class Instrument:
    """Base class of metrics; registers the metric under its unique name.

    Parameters
    ----------
    labels
        Label names; a value is kept for each combination of label values.
    """

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        self.name = name
        self.description = description
        self.label_names = tuple(labels)
        if _registry.setdefault(name, self) is not self:
            raise ValueError(f"the metric {name} is declared twice")


class CounterValue:
    """A monotonically increasing number."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount


class GaugeValue:
    """A number that can go up and down."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the value."""
        self.value = float(value)

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtract ``amount``."""
        self.value -= amount


ValueT = TypeVar("ValueT", CounterValue, GaugeValue)


class _Labelled(Instrument, Generic[ValueT]):
    """A metric with one value per combination of label values, or one value without labels."""

    def __init__(
        self, name: str, description: str, labels: Sequence[str], make: type[ValueT]
    ) -> None:
        super().__init__(name, description, labels)
        self._make: type[ValueT] = make
        self._values: dict[tuple[str, ...], ValueT] = {}
        if not labels:
            self._values[()] = make()

    def labels(self, *values: str) -> ValueT:
        """Return the value for the given label values, in the order of the label names."""
        found = self._values.get(values)
        if found is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name}: got {values} for the labels {self.label_names}")
            found = self._values[values] = self._make()
        return found

    def samples(self) -> Iterator[tuple[tuple[str, ...], float]]:
        """Yield the label values and the number of each value."""
        return ((labels, value.value) for labels, value in self._values.items())


class Counter(_Labelled[CounterValue]):
    """Counts events; with labels, use :meth:`labels` first."""

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        super().__init__(name, description, labels, CounterValue)
        unlabelled = self._values.get(())
        self.inc = unlabelled.inc if unlabelled is not None else _reject_unlabelled


class Gauge(_Labelled[GaugeValue]):
    """Reports a current value; with labels, use :meth:`labels` first."""

    def __init__(self, name: str, description: str, labels: Sequence[str] = ()) -> None:
        super().__init__(name, description, labels, GaugeValue)
        unlabelled = self._values.get(())
        self.set = unlabelled.set if unlabelled is not None else _reject_unlabelled
        self.inc = unlabelled.inc if unlabelled is not None else _reject_unlabelled
        self.dec = unlabelled.dec if unlabelled is not None else _reject_unlabelled


class Histogram(Instrument):
    """Counts observations in buckets, given their upper bounds in ascending order."""

    def __init__(self, name: str, description: str, buckets: Sequence[float]) -> None:
        super().__init__(name, description)
        self.bounds = tuple(float(bound) for bound in buckets)
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, amount: float) -> None:
        """Record an observation."""
        self.counts[bisect_left(self.bounds, amount)] += 1
        self.total += amount


class Info(Instrument):
    """Reports constant facts as labels."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__(name, description)
        self.facts: dict[str, str] = {}

    def info(self, facts: dict[str, str]) -> None:
        """Set the facts."""
        self.facts = dict(facts)


def registered_instruments() -> list[Instrument]:
    """Return all metrics of this process in registration order."""
    return list(_registry.values())


def _reject_unlabelled(_amount: float = 1.0) -> None:
    raise ValueError("a metric with labels must be updated through labels()")
