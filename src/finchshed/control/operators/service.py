"""The operators' RPC service on a control node: who may ask, what is done, and in which order.

Owns no state. Relies on the replicated log for everything that is changed, and on
:mod:`finchshed.control.operators.answers` for the form of the answers.
"""

from collections.abc import AsyncIterator
from typing import Protocol

import grpc
from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.control.daemons.distribution_service import DistributionService
from finchshed.control.operators.access import Access, abort
from finchshed.control.operators.answers import (
    explain_answer,
    history_answer,
    members_answer,
    quarantine_answer,
    status_answer,
)
from finchshed.control.operators.replacement import Replacement
from finchshed.control.operators.revisions import RevisionFeed
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.commands import ApplyChange, RecordAction
from finchshed.control.state.machine import ControlStateMachine
from finchshed.observability import ring
from finchshed.rpc.change_results import result_to_message
from finchshed.rpc.conversion import (
    key_from_message,
    key_to_message,
    resource_to_message,
    resources_from_messages,
)
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.rpc.generated import finchshed_pb2_grpc as pb_grpc

MAX_CHANGE_ID_CHARACTERS = 200
"""Longest identity of a change; the store keeps it. Chosen, not measured."""

MAX_EXPLAINED_DECISIONS = 1_000
"""Most decisions of a daemon in one answer. Chosen, not measured."""

MAX_HISTORY_ENTRIES = 1_000
"""Most entries of the audit trail in one answer. Chosen, not measured."""

MAX_NAME_CHARACTERS = 63
"""Longest name of a member or signature that is kept in the audit trail: that of any resource."""

BACKUP_PIECE_BYTES = 1 << 20
"""Size of one message of a backup, a quarter of gRPC's default bound. Chosen, not measured."""


class MemberReplacer(Protocol):
    """Changes the members of the control group."""

    async def replace_member(self, replacement: Replacement) -> tuple[bool, str]:
        """Go on with a replacement; return whether it is finished, and the step."""
        ...


class OperatorService(pb_grpc.OperatorsServicer):  # type: ignore[misc] # generated, untyped
    """Answers operators' calls from the replicated state.

    Parameters
    ----------
    bootstrap_token_sha256
        Digest of the token that may change a configuration without operators; empty: none.
    """

    def __init__(
        self,
        machine: ControlStateMachine,
        log: ReplicatedLog,
        *,
        distribution: DistributionService,
        feed: RevisionFeed,
        bootstrap_token_sha256: str,
        membership: MemberReplacer,
    ) -> None:
        self._machine = machine
        self._log = log
        self._distribution = distribution
        self._feed = feed
        self._access = Access(machine, log, bootstrap_token_sha256)
        self._membership = membership

    async def Apply(  # noqa: N802 - named by the schema
        self, request: pb.ApplyRequest, context: grpc.aio.ServicerContext
    ) -> pb.ApplyResponse:
        """Apply a change."""
        await self._access.barrier(context)
        operator = await self._access.operator(context)
        if not 0 < len(request.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            problem = f"change_id: allowed are 1 to {MAX_CHANGE_ID_CHARACTERS} characters"
            await abort(context, grpc.StatusCode.INVALID_ARGUMENT, problem)
        problems: list[str] = []
        puts = resources_from_messages(request.puts, problems)
        if problems:
            return result_to_message(Invalid(tuple(problems)))
        change = Change(
            change_id=request.change_id,
            operator=operator,
            expected_revision=request.expected_revision,
            puts=puts,
            deletes=tuple(key_from_message(key) for key in request.deletes),
        )
        try:
            result = await self._log.propose(ApplyChange(change))
        except ControlUnavailableError as error:
            await abort(context, grpc.StatusCode.UNAVAILABLE, str(error))
        if not isinstance(result, Accepted | Conflict | Invalid):
            await abort(context, grpc.StatusCode.INTERNAL, "unexpected result of a change")
        logger.info("change {} of {}: {}", change.change_id, operator, result)
        return result_to_message(result)

    async def GetResult(  # noqa: N802
        self, request: pb.GetResultRequest, context: grpc.aio.ServicerContext
    ) -> pb.ApplyResponse:
        """Read the first result of an earlier change."""
        await self._access.barrier(context)
        await self._access.operator(context)
        result = self._machine.store.result_of(request.change_id)
        if result is None:
            detail = f"no result of change {request.change_id!r} is retained"
            await abort(context, grpc.StatusCode.NOT_FOUND, detail)
        return result_to_message(result)

    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: grpc.aio.ServicerContext
    ) -> pb.GetResponse:
        """Read the configuration."""
        await self._access.barrier(context)
        await self._access.operator(context)
        store = self._machine.store
        wanted = [key_from_message(key) for key in request.keys] or list(store.resources)
        found = [store.resources[key] for key in wanted if key in store.resources]
        return pb.GetResponse(
            revision=store.revision,
            resources=[resource_to_message(resource) for resource in found],
        )

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.WatchEvent]:
        """Follow accepted changes."""
        await self._access.barrier(context)
        await self._access.operator(context)
        async for delta in self._feed.follow(request.after_revision):
            yield pb.WatchEvent(
                base=delta.base,
                revision=delta.revision,
                puts=[resource_to_message(resource) for resource in delta.puts],
                deletes=[key_to_message(key) for key in delta.deletes],
            )

    async def Status(  # noqa: N802
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusResponse:
        """Read which daemons act on which revision."""
        await self._access.operator(context)
        confirmed = await self._is_confirmed()
        return status_answer(
            self._log.status(),
            self._distribution.status(),
            revision=self._machine.store.revision,
            is_confirmed=confirmed,
            ledger=self._machine.ledger,
        )

    async def Members(  # noqa: N802
        self, request: pb.MembersRequest, context: grpc.aio.ServicerContext
    ) -> pb.MembersResponse:
        """Read the members of the control group."""
        await self._access.operator(context)
        return members_answer(self._log.status())

    async def ReplaceMember(  # noqa: N802
        self, request: pb.ReplaceMemberRequest, context: grpc.aio.ServicerContext
    ) -> pb.ReplaceMemberResponse:
        """Change the members of the control group."""
        await self._access.barrier(context)
        operator = await self._access.operator(context)
        replacement = Replacement(request.remove, request.add, request.standby)
        if max(len(request.remove), len(request.add)) > MAX_NAME_CHARACTERS:
            detail = f"remove, add: allowed are up to {MAX_NAME_CHARACTERS} characters"
            await abort(context, grpc.StatusCode.INVALID_ARGUMENT, detail)
        await self._record_action(context, operator, "replace-member", replacement.describe())
        try:
            done, step = await self._membership.replace_member(replacement)
        except ControlUnavailableError as error:
            await abort(context, grpc.StatusCode.UNAVAILABLE, str(error))
        return pb.ReplaceMemberResponse(done=done, step=step)

    async def Explain(  # noqa: N802
        self, request: pb.ExplainRequest, context: grpc.aio.ServicerContext
    ) -> pb.ExplainResponse:
        """Read recent decisions of a daemon."""
        await self._access.operator(context)
        limit = min(request.limit or MAX_EXPLAINED_DECISIONS, MAX_EXPLAINED_DECISIONS)
        decisions = await self._distribution.explain(request.node, request.root, limit)
        if decisions is None:
            detail = f"daemon {request.node} isn't connected here or didn't answer"
            await abort(context, grpc.StatusCode.NOT_FOUND, detail)
        return explain_answer(decisions)

    async def Quarantine(  # noqa: N802
        self, request: pb.QuarantineRequest, context: grpc.aio.ServicerContext
    ) -> pb.QuarantineResponse:
        """Read which requests are held to crash back ends."""
        await self._access.operator(context)
        return quarantine_answer(self._distribution.quarantine.judgements())

    async def LiftQuarantine(  # noqa: N802
        self, request: pb.LiftQuarantineRequest, context: grpc.aio.ServicerContext
    ) -> pb.LiftQuarantineResponse:
        """Clear a request of the crashes known so far."""
        operator = await self._access.operator(context)
        if len(request.signature) > MAX_NAME_CHARACTERS:
            problem = f"signature: allowed are {MAX_NAME_CHARACTERS} characters"
            await abort(context, grpc.StatusCode.INVALID_ARGUMENT, problem)
        await self._record_action(context, operator, "lift quarantine", request.signature)
        if not self._distribution.quarantine.lift(request.signature):
            detail = f"nothing is held against a request {request.signature!r} here"
            await abort(context, grpc.StatusCode.NOT_FOUND, detail)
        return pb.LiftQuarantineResponse()

    async def Dump(  # noqa: N802
        self, request: pb.DumpRequest, context: grpc.aio.ServicerContext
    ) -> pb.DumpResponse:
        """Write out the ring of log records."""
        operator = await self._access.operator(context)
        path = ring.dump(f"asked for by operator {operator}")
        return pb.DumpResponse(destination=str(path) if path is not None else "stderr")

    async def History(  # noqa: N802
        self, request: pb.HistoryRequest, context: grpc.aio.ServicerContext
    ) -> pb.HistoryResponse:
        """Read who changed what."""
        await self._access.barrier(context)
        await self._access.operator(context)
        limit = min(request.limit or MAX_HISTORY_ENTRIES, MAX_HISTORY_ENTRIES)
        return history_answer(self._machine.audit.latest(limit))

    async def Backup(  # noqa: N802
        self, request: pb.BackupRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.BackupPiece]:
        """Read a snapshot of the whole state."""
        await self._access.barrier(context)
        operator = await self._access.operator(context)
        await self._record_action(context, operator, "backup", "whole state")
        data = self._machine.snapshot()
        for start in range(0, len(data), BACKUP_PIECE_BYTES):
            yield pb.BackupPiece(data=data[start : start + BACKUP_PIECE_BYTES])

    async def _record_action(
        self, context: grpc.aio.ServicerContext, operator: str, action: str, subject: str
    ) -> None:
        """Keep an action in the audit trail before it is done; without that it isn't done."""
        logger.info("{}: {} {}", operator, action, subject)
        try:
            await self._log.propose(RecordAction(operator, action, subject))
        except ControlUnavailableError as error:
            await abort(context, grpc.StatusCode.UNAVAILABLE, str(error))

    async def _is_confirmed(self) -> bool:
        try:
            await self._log.read_barrier()
        except ControlUnavailableError:
            return False
        return True
