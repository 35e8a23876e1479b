"""Load report that a daemon sends to its callers with each answer and each heartbeat.

Callers use it to choose an endpoint and to refuse requests early.
"""

from collections.abc import Mapping

import msgspec

from finchshed.admission.path_thresholds import PathThreshold


class RateReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rate limit that a back end names in its answers.

    Attributes
    ----------
    limit
        Requests per second that it accepts from all callers together.
    wait
        Time for which requests below ``threshold`` are refused, seconds.
    threshold
        Rank from which requests are accepted meanwhile.
    """

    limit: float
    wait: float = 0.0
    threshold: int = 0


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of one back end, as reported to callers.

    Attributes
    ----------
    threshold
        Admission threshold: requests of a lower rank are currently refused. See
        :mod:`finchshed.admission.gate`.
    queue_delay
        Recent queueing delay, seconds.
    in_flight
        Number of requests running or queued.
    limit
        Current concurrency limit.
    draining
        Whether the back end accepts no new work.
    paths
        Thresholds of downstream calls, by route prefix. See
        :mod:`finchshed.admission.path_thresholds`.
    rate
        Rate limit of the back end; None if it names none.
    is_rate_known
        False if the back end has answered nothing since the daemon beside it started.
    leaving
        Whether this run of the back end leaves for good.
    callers
        Thresholds of callers that exceed their share of capacity.
    path_callers
        The same for downstream calls, by route prefix.
    slowdown
        Present duration of the back end's work relative to the usual one; 0 if it reports none.
    accepted
        Fraction of its calls that the back end accepts.
    completions
        Fraction of the requests whose downstream calls are all accepted, by route prefix.
    """

    threshold: int = 0
    queue_delay: float = 0.0
    in_flight: int = 0
    limit: int = 0
    draining: bool = False
    paths: Mapping[str, PathThreshold] = {}
    rate: RateReport | None = None
    is_rate_known: bool = True
    leaving: bool = False
    callers: Mapping[str, int] = {}
    path_callers: Mapping[str, Mapping[str, int]] = {}
    slowdown: float = 0.0
    accepted: float = 1.0
    completions: Mapping[str, float] = {}
