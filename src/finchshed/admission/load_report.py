"""What the daemon beside a back end tells its callers of its load: what they choose and refuse by.

Owned by the gate, which makes it; sent on links with each answer and each heartbeat.
"""

from collections.abc import Mapping

import msgspec

from finchshed.admission.path_thresholds import PathThreshold


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the daemon beside a back end tells its callers on each answer.

    Attributes
    ----------
    threshold
        Admission threshold: requests of a lower admission rank are refused at present. See
        :mod:`finchshed.admission`.
    queue_delay
        Recent queueing delay, seconds.
    in_flight
        Requests running or queued.
    limit
        Concurrency limit in force.
    paths
        Thresholds that requests meet further down, by the route's prefix. See
        :mod:`finchshed.admission.path_thresholds`.
    """

    threshold: int = 0
    queue_delay: float = 0.0
    in_flight: int = 0
    limit: int = 0
    draining: bool = False
    paths: Mapping[str, PathThreshold] = {}
