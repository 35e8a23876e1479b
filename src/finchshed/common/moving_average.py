"""One step of an exponential moving average. Each user keeps its mean and its weight.

How a first sample is taken stays with the user too: some means begin with it, others at 0.
"""


def moving_average(mean: float, sample: float, weight: float) -> float:
    """Return ``mean`` moved towards ``sample`` by the part ``weight`` of their difference."""
    return mean + weight * (sample - mean)
