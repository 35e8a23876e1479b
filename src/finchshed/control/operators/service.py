"""gRPC service for operators: authenticates calls, executes them and builds the responses.

Owns no state. Relies on the replicated log for all changes and on
:mod:`finchshed.control.operators.responses` to build responses.
"""

from collections.abc import AsyncIterator
from typing import Protocol

import grpc
from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.control.daemons.distribution_service import DistributionService
from finchshed.control.operators.access import CallAuthenticator, abort
from finchshed.control.operators.replacement import MemberReplacement
from finchshed.control.operators.responses import (
    explain_response,
    history_response,
    members_response,
    quarantine_response,
    status_response,
)
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
"""Longest accepted change identifier; the store retains these."""

MAX_EXPLAINED_DECISIONS = 1_000
"""Maximum number of a daemon's decisions in one response."""

MAX_HISTORY_ENTRIES = 1_000
"""Maximum number of audit entries in one response."""

MAX_NAME_CHARACTERS = 63
"""Longest member name or request signature accepted; equal to the limit of resource names."""

BACKUP_CHUNK_BYTES = 1 << 20
"""Size of one backup message; a quarter of gRPC's default message limit."""


class MemberReplacer(Protocol):
    """Interface for replacing members of the control group."""

    async def replace_member(self, replacement: MemberReplacement) -> tuple[bool, str]:
        """Execute the next step of a replacement; return whether it is done and a description."""
        ...


class OperatorService(pb_grpc.OperatorsServicer):  # type: ignore[misc] # generated, untyped
    """Implements the operators' gRPC service.

    Parameters
    ----------
    bootstrap_token_sha256
        Digest of the token accepted while no operator is declared; empty for none.
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
        self._authenticator = CallAuthenticator(machine, log, bootstrap_token_sha256)
        self._membership = membership

    async def Apply(  # noqa: N802 - name from the schema
        self, request: pb.ApplyRequest, context: grpc.aio.ServicerContext
    ) -> pb.ApplyResponse:
        """Apply a configuration change."""
        await self._authenticator.read_barrier(context)
        operator = await self._authenticator.authenticate(context)
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
            await abort(
                context,
                grpc.StatusCode.INTERNAL,
                "unexpected result of a change",
            )
        logger.info("change {} by operator {}: {}", change.change_id, operator, result)
        return result_to_message(result)

    async def GetResult(  # noqa: N802
        self, request: pb.GetResultRequest, context: grpc.aio.ServicerContext
    ) -> pb.ApplyResponse:
        """Return the first result of an earlier change."""
        await self._authenticator.read_barrier(context)
        await self._authenticator.authenticate(context)
        result = self._machine.store.result_of(request.change_id)
        if result is None:
            detail = f"no result of change {request.change_id!r} is retained"
            await abort(context, grpc.StatusCode.NOT_FOUND, detail)
        return result_to_message(result)

    async def Get(  # noqa: N802
        self, request: pb.GetRequest, context: grpc.aio.ServicerContext
    ) -> pb.GetResponse:
        """Return the configuration, or the requested resources of it."""
        await self._authenticator.read_barrier(context)
        await self._authenticator.authenticate(context)
        store = self._machine.store
        keys = [key_from_message(key) for key in request.keys] or list(store.resources)
        found = [store.resources[key] for key in keys if key in store.resources]
        return pb.GetResponse(
            revision=store.revision,
            resources=[resource_to_message(resource) for resource in found],
        )

    async def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.WatchEvent]:
        """Stream accepted changes."""
        await self._authenticator.read_barrier(context)
        await self._authenticator.authenticate(context)
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
        """Return the revision in force at each daemon."""
        await self._authenticator.authenticate(context)
        confirmed = await self._is_confirmed()
        return status_response(
            self._log.status(),
            self._distribution.status(),
            revision=self._machine.store.revision,
            is_confirmed=confirmed,
            ledger=self._machine.ledger,
        )

    async def Members(  # noqa: N802
        self, request: pb.MembersRequest, context: grpc.aio.ServicerContext
    ) -> pb.MembersResponse:
        """Return the members of the control group."""
        await self._authenticator.authenticate(context)
        return members_response(self._log.status())

    async def ReplaceMember(  # noqa: N802
        self, request: pb.ReplaceMemberRequest, context: grpc.aio.ServicerContext
    ) -> pb.ReplaceMemberResponse:
        """Replace a member of the control group."""
        await self._authenticator.read_barrier(context)
        operator = await self._authenticator.authenticate(context)
        replacement = MemberReplacement(request.remove, request.add, request.standby)
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
        """Return recent decisions of a daemon."""
        await self._authenticator.authenticate(context)
        limit = min(request.limit or MAX_EXPLAINED_DECISIONS, MAX_EXPLAINED_DECISIONS)
        decisions = await self._distribution.explain(request.node, request.root, limit)
        if decisions is None:
            detail = f"daemon {request.node} isn't connected here or didn't answer"
            await abort(context, grpc.StatusCode.NOT_FOUND, detail)
        return explain_response(decisions)

    async def Quarantine(  # noqa: N802
        self, request: pb.QuarantineRequest, context: grpc.aio.ServicerContext
    ) -> pb.QuarantineResponse:
        """Return the requests suspected of crashing back ends."""
        await self._authenticator.authenticate(context)
        return quarantine_response(self._distribution.quarantine.assessments())

    async def LiftQuarantine(  # noqa: N802
        self, request: pb.LiftQuarantineRequest, context: grpc.aio.ServicerContext
    ) -> pb.LiftQuarantineResponse:
        """Lift the quarantine of a request."""
        operator = await self._authenticator.authenticate(context)
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
        """Dump the ring buffer of log records."""
        operator = await self._authenticator.authenticate(context)
        path = ring.dump(f"asked for by operator {operator}")
        return pb.DumpResponse(destination=str(path) if path is not None else "stderr")

    async def History(  # noqa: N802
        self, request: pb.HistoryRequest, context: grpc.aio.ServicerContext
    ) -> pb.HistoryResponse:
        """Return the latest entries of the audit trail."""
        await self._authenticator.read_barrier(context)
        await self._authenticator.authenticate(context)
        limit = min(request.limit or MAX_HISTORY_ENTRIES, MAX_HISTORY_ENTRIES)
        return history_response(self._machine.audit.latest(limit))

    async def Backup(  # noqa: N802
        self, request: pb.BackupRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.BackupPiece]:
        """Stream a snapshot of the replicated state."""
        await self._authenticator.read_barrier(context)
        operator = await self._authenticator.authenticate(context)
        await self._record_action(context, operator, "backup", "whole state")
        data = self._machine.snapshot()
        for start in range(0, len(data), BACKUP_CHUNK_BYTES):
            yield pb.BackupPiece(data=data[start : start + BACKUP_CHUNK_BYTES])

    async def _record_action(
        self, context: grpc.aio.ServicerContext, operator: str, action: str, subject: str
    ) -> None:
        """Record an action in the audit trail; if that fails, abort the call before the action."""
        logger.info("operator {}: {} {}", operator, action, subject)
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
