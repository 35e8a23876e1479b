"""Defers clients of this daemon whose requests would probably run in vain.

Connects :mod:`finchshed.admission.deferral` to the root requests by host. Owns the clients that
were told to return; they are forgotten when the daemon ends, and are then deferred anew.
"""

import random
from collections.abc import Callable

from finchshed.admission.deferral import EARLY_FRACTION, Deferrals
from finchshed.admission.path_completion import CompletionLookup
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.daemon import metrics
from finchshed.daemon.ingress.host_requests import AdmittedHostRequest
from finchshed.daemon.request import Request
from finchshed.runtime import clock


class DeferredClients:
    """Decides on first tries and returns, where the policy says so.

    Parameters
    ----------
    completion_of
        Looks up the completion of a service and route in the local routing table.
    latency_of
        Returns the mean latency of a service, seconds.
    rng
        Source of the jitter.
    """

    def __init__(
        self,
        completion_of: CompletionLookup,
        latency_of: Callable[[str], float],
        rng: random.Random,
    ) -> None:
        self.is_enabled = False
        self._completion_of = completion_of
        self._latency_of = latency_of
        self._rng = rng
        self._deferrals = Deferrals()

    def check(self, request: Request, admitted: AdmittedHostRequest) -> Refused | None:
        """Return the refusal of a request that has to wait, or None."""
        deadline = admitted.client_deadline
        if not self.is_enabled or request.repeatable or deadline is None:
            return None
        now = clock.now()
        completion = self._completion_of(request.service, request.route, now)
        seconds = self._deferrals.retry_after(
            deadline,
            completion,
            target_seconds=request.target_seconds,
            latency=self._latency_of(request.service),
            now=now,
        )
        if seconds is None:
            return None
        metrics.DEFERRED.labels(request.service).inc()
        early = EARLY_FRACTION * self._rng.random()
        detail = f"{completion:.2f} of its requests complete at present"
        return Refused(RefusalReason.PATH_FAILING, seconds * (1.0 - early), detail)
