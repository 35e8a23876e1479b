"""Checks of the soak: what clients and back ends saw must keep the rules."""

import time

from tests.platform.open_loop import (
    LEARNING_SECONDS,
    TOLD_SECONDS,
    WINDOW_SECONDS,
    allowed_in_window,
)
from tests.platform.promises import REFUSALS, broken_promises, ran_twice
from tests.platform.soak_broken import broken_violations
from tests.platform.soak_changes import memory_violations
from tests.platform.soak_configuration import read_violations
from tests.platform.soak_downloads import download_violations
from tests.platform.soak_state import (
    PURCHASE_PREFIX,
    RETURNABLE_STATUSES,
    NamedPeriod,
    Soak,
    told_seconds,
)

DRAIN_SECONDS = 2.0
KNOWN_STATUSES = frozenset({0, 200, 502, 504}) | REFUSALS


def violations_of(soak: Soak) -> list[str]:
    """Return what broke a rule in a run."""
    return [
        *limit_violations(soak),
        *leave_violations(soak),
        *request_violations(soak),
        *return_violations(soak),
        *read_violations(soak),
        *download_violations(soak),
        *broken_violations(soak),
        *memory_violations(soak),
    ]


def passed_on(soak: Soak, period: NamedPeriod, header: str) -> dict[int, list[float]]:
    """Return when each daemon passed on answers of a period with a header."""
    times: dict[int, list[float]] = {}
    for request in soak.sent:
        is_from = request.headers.get("server-seal") == f"seal-{period.backend.instance}"
        if is_from and header in request.headers and period.began <= request.ended_at:
            times.setdefault(request.daemon, []).append(request.ended_at)
    return times


def limit_violations(soak: Soak) -> list[str]:
    """Return the windows in which a back end got more than the rate it named."""
    found = []
    requests = {request.identity: request for request in soak.sent}
    for period in soak.limits:
        times = passed_on(soak, period, "server-limit")
        counted = []
        for at, identity in period.backend.arrivals:
            request = requests.get(identity)
            if request is None or not period.began <= at <= period.ended:
                continue
            since = soak.last_disturbance(request.daemon, at)
            told = [passed for passed in times.get(request.daemon, []) if passed > since]
            if told and min(told) + TOLD_SECONDS <= at:
                counted.append(at)
        for end in counted:
            most = sum(end - WINDOW_SECONDS <= at <= end for at in counted)
            is_checked = end >= period.began + LEARNING_SECONDS
            if is_checked and most > allowed_in_window(period.rate):
                name = period.backend.instance
                found.append(f"limit {period.rate} of {name}: {most} requests in a window")
                break
    return found


def leave_violations(soak: Soak) -> list[str]:
    """Return requests that reached a back end too long after its daemon was told that it leaves."""
    found = []
    for period in soak.leaves:
        times = passed_on(soak, period, "server-leaving")
        arrived = {
            identity: at
            for at, identity in period.backend.arrivals
            if period.began <= at <= period.ended
        }
        for request in soak.sent:
            since = soak.last_disturbance(request.daemon, time.monotonic())
            told = [passed for passed in times.get(request.daemon, []) if passed > since]
            is_late = bool(told) and request.sent_at > min(told) + DRAIN_SECONDS
            if is_late and arrived.get(request.identity, 0.0) >= request.sent_at:
                found.append(f"{request.identity} reached a back end that leaves")
    return found


def request_violations(soak: Soak) -> list[str]:
    """Return purchases that ran twice or although refused, and unknown statuses."""
    purchases = [one for one in soak.sent if one.identity.startswith(PURCHASE_PREFIX)]
    identities = {one.identity for one in purchases}
    backends = soak.running.backends
    found = [f"{identity} ran more than once" for identity in ran_twice(identities, backends)]
    found += broken_promises(purchases, backends)
    found += [
        f"{one.identity}: status {one.status}"
        for one in soak.sent
        if one.status not in KNOWN_STATUSES
    ]
    return found


def return_violations(soak: Soak) -> list[str]:
    """Return refusals that don't tell when to return."""
    return [
        f"{request.identity}: {request.status} without a time to return at"
        for request in soak.sent
        if request.status in RETURNABLE_STATUSES and told_seconds(request) is None
    ]
