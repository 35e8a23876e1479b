"""Builds gRPC responses for operators from the state of a control node.

All fields of the schema's responses are set here.
"""

import time
from collections.abc import Iterable

from finchshed.control.raft.replicated_log import LogStatus
from finchshed.control.state.audit import AuditEntry
from finchshed.distribution.messages import Decision
from finchshed.distribution.status import DaemonState, DistributionStatus
from finchshed.ledger.ledger import Ledger
from finchshed.quarantine.messages import CrashRecord
from finchshed.quarantine.register import Assessment
from finchshed.rpc.generated import finchshed_pb2 as pb


def status_response(
    log: LogStatus,
    distribution: DistributionStatus,
    *,
    revision: int,
    is_confirmed: bool,
    ledger: Ledger,
) -> pb.StatusResponse:
    """Return the revision in force at each daemon."""
    return pb.StatusResponse(
        node=log.node,
        leader=log.leader,
        revision=revision,
        confirmed=is_confirmed,
        known=distribution.known,
        in_force=distribution.in_force,
        behind=[_daemon_status(daemon) for daemon in distribution.behind],
        silent=[_daemon_status(daemon) for daemon in distribution.silent],
        ledger=_ledger_status(ledger),
    )


def members_response(log: LogStatus) -> pb.MembersResponse:
    """Return the members of the control group."""
    members = [
        pb.Member(
            name=member.name,
            address=member.address,
            role=member.role.value,
            incarnation=member.incarnation,
            match_index=member.match_index,
            silent_seconds=member.silent_seconds,
        )
        for member in log.members
    ]
    return pb.MembersResponse(
        node=log.node,
        leader=log.leader,
        term=log.term,
        commit_index=log.commit_index,
        applied_index=log.applied_index,
        members=members,
    )


def explain_response(decisions: Iterable[Decision]) -> pb.ExplainResponse:
    """Return a daemon's decisions."""
    return pb.ExplainResponse(
        decisions=[
            pb.Decision(
                age_seconds=decision.age_seconds,
                root=decision.root,
                action=decision.action,
                reason=decision.reason,
                endpoint=decision.endpoint,
                detail=decision.detail,
            )
            for decision in decisions
        ]
    )


def quarantine_response(
    assessments: Iterable[tuple[CrashRecord, Assessment]],
) -> pb.QuarantineResponse:
    """Return the requests suspected of crashing back ends."""
    return pb.QuarantineResponse(
        requests=[
            pb.QuarantinedRequest(
                signature=record.signature,
                standing=assessment.suspicion.value,
                instances=[crash.instance for crash in record.crashes],
                age_seconds=record.age_seconds,
                refused_seconds=assessment.seconds,
            )
            for record, assessment in assessments
        ]
    )


def history_response(entries: Iterable[AuditEntry]) -> pb.HistoryResponse:
    """Return entries of the audit trail."""
    return pb.HistoryResponse(
        entries=[
            pb.HistoryEntry(
                time=entry.time,
                operator=entry.operator,
                action=entry.action,
                subject=entry.subject,
                outcome=entry.outcome,
            )
            for entry in entries
        ]
    )


def _ledger_status(ledger: Ledger) -> pb.LedgerStatus:
    counts = ledger.counts()
    return pb.LedgerStatus(
        free=counts["free"],
        begun=counts["begun"],
        completed=counts["completed"],
        answer_bytes=ledger.total_answer_bytes,
        log_time=ledger.time or time.time(),
    )


def _daemon_status(daemon: DaemonState) -> pb.DaemonStatus:
    return pb.DaemonStatus(
        node=daemon.node,
        endpoint=daemon.endpoint,
        service=daemon.service,
        zone=daemon.zone,
        revision=daemon.revision,
        seconds=daemon.seconds,
    )
