"""Sends, logs and counts the outcome of each call; replies carry the current load."""

from collections.abc import Callable

import msgspec

from finchshed.admission.load_report import LoadReport
from finchshed.common.outcomes import Answered, Outcome, Refused
from finchshed.daemon import metrics
from finchshed.daemon.backend.rate_limit_monitor import RateLimitMonitor
from finchshed.daemon.decision_log import includes_signature, log_call
from finchshed.daemon.draining import DrainState
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.gate_runner import GateRunner
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.link.digests import digest_of
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call, Reply
from finchshed.quarantine.messages import CrashRecord


class ReplySender:
    """Sends replies. The caller must ensure that each call is answered once.

    Parameters
    ----------
    admission
        Holds the back-end instance that serves calls.
    gate
        Supplies the load report.
    rate_limit
        Rate limit that the back end names.
    revision
        Returns the active configuration revision.
    """

    def __init__(
        self,
        admission: CallAdmission,
        gate: GateRunner,
        *,
        drain: DrainState,
        quarantine: Quarantine,
        rate_limit: RateLimitMonitor,
        revision: Callable[[], int],
    ) -> None:
        self._admission = admission
        self._gate = gate
        self._drain = drain
        self._quarantine = quarantine
        self._rate_limit = rate_limit
        self._revision = revision

    def load_report(self) -> LoadReport:
        """Return the load report for callers."""
        report = self._gate.load_report()
        is_rate_known = self._rate_limit.is_known
        if is_rate_known and not self._drain.is_announced:
            return report
        return msgspec.structs.replace(
            report,
            draining=self._drain.is_announced,
            leaving=self._drain.is_run_leaving,
            is_rate_known=is_rate_known,
        )

    def refuse(self, link: AcceptedLink, call: Call, refused: Refused) -> None:
        """Answer a call that was not admitted."""
        self._send(link, call, refused, call.context.spare_attempts, self.load_report())

    def reply(self, inbound: InboundCall, outcome: Outcome, spare: int, calls: int = 0) -> None:
        """Answer an admitted call.

        Parameters
        ----------
        spare
            Number of its unused retries.
        calls
            Number of calls made for it, 0 if that is not reported.
        """
        load = self.load_report()
        signature = inbound.signature() if includes_signature(outcome) else ""
        log_call(
            inbound,
            outcome,
            self._admission.run.instance,
            load,
            self._gate.running,
            signature=signature,
        )
        record = self._quarantine.crash_record(inbound.signature)
        self._send(
            inbound.link, inbound.call, outcome, spare, load, crash_record=record, calls=calls
        )

    def _send(
        self,
        link: AcceptedLink,
        call: Call,
        outcome: Outcome,
        spare: int,
        load: LoadReport,
        *,
        crash_record: CrashRecord | None = None,
        calls: int = 0,
    ) -> None:
        digest = digest_of(outcome.body) if isinstance(outcome, Answered) else ""
        link.reply(
            Reply(
                epoch=call.epoch,
                call=call.call,
                outcome=outcome,
                spare_attempts=spare,
                load=load,
                digest=digest,
                revision=self._revision(),
                crash_record=crash_record,
                calls=calls,
            )
        )
        metrics.count_served(call.service, call.context.importance, outcome)
