"""Linear least squares with what is needed to judge the fit.

Pure: no I/O and no clock.
"""

from collections.abc import Mapping, Sequence

import msgspec
import numpy as np


class Coefficient(msgspec.Struct, frozen=True):
    """One slope or the intercept, and its standard error."""

    name: str
    value: float
    standard_error: float


class Fit(msgspec.Struct, frozen=True, kw_only=True, tag="fit"):
    """A model ``y = sum(coefficient * term)`` fitted to points.

    Attributes
    ----------
    residual_rms, worst_residual
        Root of the mean square, and the largest size, of what the model misses, in units of y.
    explained
        Fraction of the variance of y that the model explains (R squared).
    """

    quantity: str
    points: int
    coefficients: tuple[Coefficient, ...]
    residual_rms: float
    worst_residual: float
    explained: float


def fit(quantity: str, terms: Mapping[str, Sequence[float]], values: Sequence[float]) -> Fit:
    """Fit ``values`` by the ``terms``, each a series as long as ``values``.

    Raises
    ------
    ValueError
        If there are no more points than terms, or the terms depend on each other.
    """
    names = list(terms)
    matrix = np.column_stack([np.asarray(terms[name], dtype=float) for name in names])
    target = np.asarray(values, dtype=float)
    count, unknowns = matrix.shape
    if count <= unknowns:
        raise ValueError(f"{quantity}: {count} points for {unknowns} terms")
    scale = np.abs(matrix).max(axis=0)
    if not scale.all():
        raise ValueError(f"{quantity}: a term is 0 at every point")
    solution, _, rank, _ = np.linalg.lstsq(matrix / scale, target, rcond=None)
    if rank < unknowns:
        raise ValueError(f"{quantity}: terms depend on each other: {', '.join(names)}")
    residuals = target - (matrix / scale) @ solution
    variance = float(residuals @ residuals) / (count - unknowns)
    covariance = variance * np.linalg.inv((matrix / scale).T @ (matrix / scale))
    errors = np.sqrt(np.diag(covariance)) / scale
    spread = float(((target - target.mean()) ** 2).sum())
    return Fit(
        quantity=quantity,
        points=count,
        coefficients=tuple(
            Coefficient(name, float(value), float(error))
            for name, value, error in zip(names, solution / scale, errors, strict=True)
        ),
        residual_rms=float(np.sqrt(np.mean(residuals**2))),
        worst_residual=float(np.abs(residuals).max()),
        explained=1.0 - float(residuals @ residuals) / spread if spread else 0.0,
    )
