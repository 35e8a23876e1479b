"""Checks incoming calls against the configuration, the drain state and the session limits.

Keeps the sessions pinned to the back end and the back-end instance that is served.
"""

import random

import msgspec

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Service
from finchshed.daemon.catalogue import Catalogue, RouteMatch
from finchshed.daemon.draining import DrainState
from finchshed.daemon.request import MAX_ANSWER_BYTES_BY_HOST
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.daemon.serving.ledger_port import scoped_key
from finchshed.daemon.settings import DaemonSettings
from finchshed.directory.instance_run import InstanceRun
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call
from finchshed.retry.policy import retry_after
from finchshed.session.table import NotOpened, SessionTable


class CallAdmission:
    """Accepts calls as :class:`InboundCall`, or refuses them.

    Attributes
    ----------
    may_serve
        Whether a usable configuration is active.
    service
        Service of the back end.
    run
        Registered run of the back end, or one without a name; calls routed by host may only run on
        its instance.
    catalogue
        The active configuration.
    sessions
        Sessions pinned to this back end.
    """

    def __init__(self, settings: DaemonSettings, drain: DrainState, rng: random.Random) -> None:
        self.may_serve = False
        self.service = settings.service
        self.run = InstanceRun()
        self.catalogue = Catalogue()
        self.sessions = SessionTable()
        self._settings = settings
        self._drain = drain
        self._rng = rng
        self._next_token = 1

    def admit(self, link: AcceptedLink, call: Call, now: float) -> InboundCall | Refused:
        """Return the accepted call, or its refusal. ``now`` is in monotonic seconds."""
        if call.route:
            # The calling daemon matched the route by a confirmed configuration.
            return self._admit_by_host(link, call, now)
        if not self.may_serve:
            return self.refusal(RefusalReason.NO_CONFIGURATION)
        matched = self.catalogue.match(call.service, call.path)
        if matched is None or call.service != self.service:
            return self.refusal(RefusalReason.UNKNOWN_ROUTE)
        return self._admit_by_service(link, call, matched, now)

    def _admit_by_service(
        self, link: AcceptedLink, call: Call, matched: RouteMatch, now: float
    ) -> InboundCall | Refused:
        """Check a call under a route of its service: size, key, drain, session."""
        route, service = matched.route, matched.service
        if len(call.body) > service.max_body_bytes:
            return self.refusal(RefusalReason.REQUEST_TOO_LARGE)
        ledger_key = "" if route.repeatable else scoped_key(call.context.key, service.name)
        if ledger_key is None:
            return self.refusal(RefusalReason.KEY_INVALID, "a UUID of version 7 is needed")
        session = call.context.session if route.session else ""
        if self._drain.is_announced and not (session and self.sessions.get(session)):
            return self.refusal(RefusalReason.DRAINING)
        opens_session = self._open_session(session, service, now) if session else False
        if isinstance(opens_session, Refused):
            return opens_session
        context = call.context
        if opens_session:
            # The call is ranked as a new one, since its session isn't running yet.
            context = msgspec.structs.replace(context, session="")
        return InboundCall(
            token=self._new_token(),
            link=link,
            call=call,
            context=context,
            arrived=now,
            deadline=now + context.remaining_seconds,
            route=route.prefix,
            repeatable=route.repeatable,
            in_session=bool(session),
            opens_session=opens_session,
            max_body_bytes=service.max_body_bytes,
            ledger_key=ledger_key,
        )

    def _open_session(self, session: str, service: Service, now: float) -> bool | Refused:
        """Record a request of a session; return whether it opens the session, or a refusal."""
        if self.sessions.get(session) is None:
            self.sessions.expire(now)
        opened = self.sessions.open(
            session,
            service.name,
            self._settings.endpoint,
            max_sessions=service.max_sessions,
            idle_seconds=service.session_idle_seconds,
            now=now,
        )
        if isinstance(opened, NotOpened):
            return self.refusal(opened.reason)
        self.sessions.on_request(session, now)
        return opened.is_new

    def _admit_by_host(self, link: AcceptedLink, call: Call, now: float) -> InboundCall | Refused:
        """Check a call whose route was matched by the calling daemon."""
        if self._drain.is_announced or not self.run.instance or call.service != self.service:
            # The instance that the caller selected is no longer here.
            return self.refusal(RefusalReason.DRAINING)
        return InboundCall(
            token=self._new_token(),
            link=link,
            call=call,
            context=call.context,
            arrived=now,
            deadline=now + call.context.remaining_seconds,
            route=call.route,
            repeatable=call.repeatable,
            in_session=False,
            opens_session=False,
            max_body_bytes=MAX_ANSWER_BYTES_BY_HOST,
        )

    def _new_token(self) -> int:
        token = self._next_token
        self._next_token += 1
        return token

    def refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return a refusal for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)
