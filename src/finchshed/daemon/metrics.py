"""Metrics of the data path, documented in docs/OPERATIONS.md."""

from finchshed.admission.caller_thresholds import is_beyond_share
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, Outcome, Refused
from finchshed.observability.instruments import Counter, CounterValue, Gauge, Histogram
from finchshed.retry.reservation_counts import ReservationCounts

CALLS = Counter(
    "finchshed_calls_total",
    "Calls ended at the caller's daemon",
    ["service", "importance", "outcome", "reason"],
)
SERVED = Counter(
    "finchshed_served_total",
    "Calls ended at the daemon beside the back end",
    ["service", "importance", "outcome", "reason"],
)
QUEUE_DELAY = Histogram(
    "finchshed_queue_delay_seconds",
    "Time from arrival beside the back end to the start",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
LEDGER_DELAY = Histogram(
    "finchshed_ledger_begin_seconds",
    "Time the ledger took to grant or refuse a begin",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)
RETRIES = Counter("finchshed_retries_total", "Attempts past the first of a call", ["service"])
RETRIES_GRANTED = Counter(
    "finchshed_retries_granted_total", "Retries that took a token", ["importance"]
)
RETRIES_DENIED = Counter(
    "finchshed_retries_denied_total", "Retries refused a token by the retry limit", ["importance"]
)
LIMIT = Gauge(
    "finchshed_concurrency_limit", "Requests the back end is sent at a time, as learnt and bounded"
)
HEARTBEATS_REJECTED = Counter(
    "finchshed_heartbeats_rejected_total", "Heartbeats and leave notices that name no back end"
)
RATE_LIMIT = Gauge(
    "finchshed_rate_limit", "Requests per second that the back end accepts; negative: no limit"
)
RATE_LIMIT_UNREADABLE = Counter(
    "finchshed_rate_limit_unreadable_total", "Answers that name a rate limit that can't be read"
)
LOAD_UNREADABLE = Counter(
    "finchshed_load_unreadable_total", "Load headers of the back end that can't be read"
)
SLOWDOWN = Gauge(
    "finchshed_slowdown", "Duration of the back end's work relative to the usual one, as reported"
)
SLOW_AVOIDED = Counter(
    "finchshed_slow_backend_avoided_total",
    "Calls sent elsewhere because a back end reports that it is slow",
    ["service"],
)
LEFT_ZONE = Counter(
    "finchshed_left_zone_total",
    "Calls sent to another zone because the near back end is slow or would queue them",
    ["service"],
)
RATE_LIMITED_SENT = Counter(
    "finchshed_rate_limited_sent_total", "Requests sent to the back end while it names a rate limit"
)
THRESHOLD = Gauge(
    "finchshed_admission_threshold", "Requests of a lower admission rank are refused at present"
)
IN_PROGRESS = Gauge("finchshed_calls_in_progress", "Calls in progress", ["side"])
REVISION = Gauge("finchshed_configuration_revision", "Revision of the configuration in force")
SERVING = Gauge("finchshed_serving", "1 once the daemon may take calls")
DRAINING = Gauge("finchshed_draining", "1 while the daemon takes no new work")
KEY_LEASE_AGE = Gauge(
    "finchshed_key_lease_age_seconds",
    "Time since the question to control that the trust in API keys counts from; negative: none",
)
QUOTA_REFUSED = Counter(
    "finchshed_quota_refused_total", "Requests of limited tenants without a token", ["reason"]
)
BROKEN_ANSWERS = Counter(
    "finchshed_backend_broken_answers_total",
    "Requests that the back end was sent and gave no whole and valid answer to",
    ["cause"],
)
EXTRA_ANSWERS = Counter(
    "finchshed_backend_extra_answers_total",
    "Answers of the back end that no request was waiting for, or another one than theirs",
)
BODY_BYTES = Gauge("finchshed_body_bytes", "Bytes of bodies held in memory")
BODIES_GIVEN_UP = Gauge(
    "finchshed_bodies_given_up", "Bodies given up since the start, for want of memory"
)
BACKEND_ENDED = Counter(
    "finchshed_backend_ended_total", "Times the back end ended while it ran requests"
)
QUARANTINE_SUSPECTED = Counter(
    "finchshed_quarantine_suspected_total", "Requests that the own back end ended under"
)
QUARANTINE_CLEARED = Counter(
    "finchshed_quarantine_cleared_total", "Suspects that ran to an end at the own back end"
)
QUARANTINE_HELD = Gauge(
    "finchshed_quarantine_held", "Requests that back ends ended under, as known"
)
SHARE_REFUSED = Counter(
    "finchshed_share_refused_total",
    "Requests refused because their caller exceeds its share",
    ["side"],
)
CALLERS_ABOVE_SHARE = Gauge(
    "finchshed_callers_above_share", "Callers that demand more than their share at the back end"
)
RESERVATIONS = Counter(
    "finchshed_reservations_total", "Events of clients that were told when to return", ["event"]
)
RESERVATIONS_HELD = Gauge(
    "finchshed_reservations_held", "Reservations that were neither used nor have expired"
)
DEFERRED = Counter(
    "finchshed_deferred_total",
    "First tries of requests that may run only once, refused while most calls they need fail",
    ["service"],
)
JOINED = Counter("finchshed_joined_total", "Repeats that joined a request in progress")

_served: dict[tuple[str, int, str, str], CounterValue] = {}
_calls: dict[tuple[str, int, str, str], CounterValue] = {}


def count_served(service: str, importance: Importance, outcome: Outcome) -> None:
    """Count a finished call at the daemon that served it."""
    _count(SERVED, _served, service, importance, outcome)
    if is_beyond_share(outcome):
        SHARE_REFUSED.labels("callee").inc()


def count_call(service: str, importance: Importance, outcome: Outcome) -> None:
    """Count a finished call at the calling daemon."""
    _count(CALLS, _calls, service, importance, outcome)
    if is_beyond_share(outcome):
        SHARE_REFUSED.labels("caller").inc()


def count_retries(importance: Importance, granted: int, denied: int) -> None:
    """Count the retries of a finished call that the retry limit granted and denied."""
    name = importance.name.lower()
    if granted:
        RETRIES_GRANTED.labels(name).inc(granted)
    if denied:
        RETRIES_DENIED.labels(name).inc(denied)


def count_reservations(before: ReservationCounts, now: ReservationCounts) -> None:
    """Count the events of reservations between two readings."""
    for event in now.__struct_fields__:
        added = getattr(now, event) - getattr(before, event)
        if added:
            RESERVATIONS.labels(event).inc(added)


def _count(
    counter: Counter,
    children: dict[tuple[str, int, str, str], CounterValue],
    service: str,
    importance: Importance,
    outcome: Outcome,
) -> None:
    name, reason = _labels_of(outcome)
    key = (service, importance, name, reason)
    child = children.get(key)
    if child is None:
        child = counter.labels(service, importance.name.lower(), name, reason)
        children[key] = child
    child.inc()


def _labels_of(outcome: Outcome) -> tuple[str, str]:
    if isinstance(outcome, Answered):
        return "answered", ""
    if isinstance(outcome, Refused):
        return "refused", outcome.reason
    return "failed", outcome.reason
