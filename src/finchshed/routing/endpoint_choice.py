"""Choice of the endpoint for each attempt of one call: pinned, designated or selected."""

from collections.abc import Callable

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Failed, Outcome, RefusalReason, Refused
from finchshed.configuration.resources import Endpoint
from finchshed.quarantine.register import Assessment, Suspicion
from finchshed.retry.policy import is_redirect
from finchshed.routing.table import RoutingTable


class EndpointChoice:
    """Chooses endpoints for the attempts of one call.

    Parameters
    ----------
    table
        Endpoints to choose from.
    pinned, route, target_seconds, signature, assess
        As for :class:`~finchshed.routing.caller.CallStateMachine`.
    """

    __slots__ = (
        "_assess",
        "_context",
        "_is_pinned",
        "_pinned",
        "_route",
        "_service",
        "_signature",
        "_table",
        "_target_seconds",
        "_tried",
    )

    def __init__(
        self,
        table: RoutingTable,
        service: str,
        context: CallContext,
        *,
        pinned: str,
        route: str,
        target_seconds: float,
        signature: Callable[[], str],
        assess: Callable[[], Assessment],
    ) -> None:
        self._table = table
        self._service = service
        self._context = context
        self._pinned = pinned
        self._is_pinned = bool(pinned)
        self._route = route
        self._target_seconds = target_seconds
        self._signature = signature
        self._assess = assess
        self._tried: set[str] = set()

    @property
    def has_only_one(self) -> bool:
        """Whether no other endpoint may serve the call: it is pinned or designated."""
        return self._is_pinned or self._assess().suspicion is Suspicion.SUSPECT

    def choose(self, now: float, *, may_reuse: bool = False) -> Endpoint | Refused:
        """Choose the endpoint of the next attempt, or refuse it.

        If none is left, one that was tried is chosen again if ``may_reuse`` is set.
        """
        assessment = self._assess()
        if assessment.suspicion is Suspicion.QUARANTINED:
            detail = f"{assessment.crashes} back ends ended under it"
            return Refused(RefusalReason.QUARANTINED, assessment.seconds, detail)
        if assessment.suspicion is Suspicion.SUSPECT:
            return self._table.choose_designated(self._service, self._signature(), now)
        if self._is_pinned:
            chosen = self._table.choose_pinned(self._pinned, (), now)
            if not isinstance(chosen, Refused):
                return chosen
            self._is_pinned = False
        chosen = self._select(now)
        if isinstance(chosen, Refused) and may_reuse:
            self._tried.clear()
            return self._select(now)
        return chosen

    def on_sent(self, endpoint: str) -> None:
        """Record that an attempt is sent to ``endpoint``."""
        self._tried.add(endpoint)

    def on_outcome(self, outcome: Outcome) -> None:
        """Give up the pin if the pinned endpoint failed or no longer has the session."""
        if self._is_pinned and (isinstance(outcome, Failed) or _lacks_session(outcome)):
            self._is_pinned = False

    def _select(self, now: float) -> Endpoint | Refused:
        return self._table.choose(
            self._service,
            self._context,
            self._tried,
            now,
            self._route,
            target_seconds=self._target_seconds,
        )


def _lacks_session(outcome: Outcome) -> bool:
    """Return whether the pinned endpoint no longer has the session.

    An endpoint applies its session limit only to sessions that it doesn't have.
    """
    if is_redirect(outcome):
        return True
    return isinstance(outcome, Refused) and outcome.reason is RefusalReason.SESSION_LIMIT
