"""Exponential moving average. The caller stores the mean and handles the first sample."""


def moving_average(mean: float, sample: float, weight: float) -> float:
    """Return ``mean`` moved towards ``sample`` by the fraction ``weight`` of their difference."""
    return mean + weight * (sample - mean)
