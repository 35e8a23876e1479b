"""Routes daemons' ledger requests to the group that owns their key.

Owns the connections to shards. Relies on :mod:`finchshed.ledger.epochs` to map keys to groups.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from finchshed.common.errors import ControlUnavailableError
from finchshed.control.daemons.ledger_service import (
    NO_QUORUM,
    LedgerService,
)
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.client import ControlClient
from finchshed.distribution.client_handlers import ClientHandlers
from finchshed.distribution.control_dialer import Connect
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import (
    LedgerAnswer,
    LedgerBegin,
    LedgerCancel,
    LedgerNoted,
    LedgerRefused,
    LedgerRequest,
    LedgerUnknown,
)
from finchshed.ledger.epochs import CONFIRMATION_VALIDITY_SECONDS, CONTROL_GROUP, ShardAddresses
from finchshed.ledger.keys import issued_at
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS
from finchshed.ledger.results import LedgerRefusalReason

SHARD_TIMEOUT_SECONDS = 4.0
"""Timeout of a request to a shard; equal to the default quorum timeout of a control node."""

MAX_ROUTING_ATTEMPTS = 3
"""Attempts to route one request while the epochs change."""


class ShardConnection(Protocol):
    """Ledger interface of one shard's group."""

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        """Request permission to execute the request under ``key``."""

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Release the key of an attempt that was not sent; return whether this is committed."""

    async def complete(self, request: LedgerRequest, timeout_seconds: float) -> bool:
        """Record an answer; return whether this is committed."""

    def close(self) -> None:
        """Close the connection."""


ShardFactory = Callable[[ShardAddresses], ShardConnection]


class ShardClient:
    """Client connection to one shard's group.

    Parameters
    ----------
    node
        Name of this control node, under which the shard lists it like a daemon.
    connect
        Opens connections; None for the event loop's default.
    """

    def __init__(
        self, node: str, addresses: ShardAddresses, connect: Connect | None = None
    ) -> None:
        handlers = ClientHandlers(
            on_delta=lambda _: None,
            on_connected=lambda: None,
            on_disconnected=lambda: None,
            revision_held=lambda: 0,
            revision_in_force=lambda: 0,
        )
        self._client = ControlClient(
            ClientIdentity(node=node, incarnation="", service="", zone=""),
            [ControlAddress(address) for address in addresses],
            handlers,
            random.Random(),
            connect,
        )
        self._task = asyncio.get_running_loop().create_task(self._client.run())

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        """Request permission to execute the request under ``key``."""
        return await self._client.ledger.begin(key, attempt, timeout_seconds)

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Release the key of an attempt that was not sent; return whether this is committed."""
        return await self._client.ledger.cancel(key, attempt, timeout_seconds)

    async def complete(self, request: LedgerRequest, timeout_seconds: float) -> bool:
        """Record an answer; return whether this is committed."""
        answer = getattr(request, "answer", None)
        if answer is None:
            return False
        return await self._client.ledger.complete(
            request.key, request.attempt, answer, timeout_seconds
        )

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()


class LedgerRouter:
    """Answers daemons' ledger requests from the local group's log or from shards.

    Parameters
    ----------
    own
        Answers requests whose key belongs to this control group.
    connect_shard
        Opens a connection to a shard.
    now
        Returns monotonic time in seconds.
    unix_now
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        machine: ControlStateMachine,
        log: ReplicatedLog,
        own: LedgerService,
        *,
        connect_shard: ShardFactory,
        now: Callable[[], float],
        unix_now: Callable[[], float],
    ) -> None:
        self._machine = machine
        self._log = log
        self._own = own
        self._connect_shard = connect_shard
        self._now = now
        self._unix_now = unix_now
        self._shards: dict[ShardAddresses, ShardConnection] = {}
        self._confirmed_at = float("-inf")
        self._confirmation: asyncio.Task[None] | None = None

    async def answer(self, request: LedgerRequest) -> LedgerAnswer:
        """Return the answer to ``request``; a missing quorum is answered with a refusal."""
        try:
            return await self._answer(request)
        except ControlUnavailableError:
            return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)

    def close(self) -> None:
        """Close all connections to shards."""
        for shard in self._shards.values():
            shard.close()
        self._shards.clear()

    async def _answer(self, request: LedgerRequest) -> LedgerAnswer:
        answer: LedgerAnswer = LedgerRefused(request.request, expired=False, detail=NO_QUORUM)
        for _ in range(MAX_ROUTING_ATTEMPTS):
            if self._machine.epochs.group_of(request.key) == CONTROL_GROUP:
                answer = await self._own.answer(request)
                if not _is_key_moved(answer):
                    return answer
                # The log has an epoch that isn't applied on this node yet.
                await self._log.read_barrier()
                continue
            await self._ensure_epochs_confirmed()
            group = self._machine.epochs.group_of(request.key)
            if group != CONTROL_GROUP:
                refusal = self._check_key(request)
                return refusal or await self._forward(self._shard(group), request)
        return answer

    def _check_key(self, request: LedgerRequest) -> LedgerAnswer | None:
        """Return the refusal of a key that must not reach a shard, or None if it may.

        The rules are described in :mod:`finchshed.ledger.epochs`.
        """
        issued = issued_at(request.key)
        ledger = self._machine.ledger
        if issued is None or issued < ledger.oldest_issued:
            reason = LedgerRefusalReason.EXPIRED
            return LedgerRefused(request.request, expired=True, detail=reason)
        if issued > self._unix_now() + MAX_CLOCK_LEAD_SECONDS:
            reason = LedgerRefusalReason.MADE_IN_THE_FUTURE
            return LedgerRefused(request.request, expired=False, detail=reason)
        if issued < ledger.unknown_before and isinstance(request, LedgerBegin):
            # A lost log entry may have assigned the key to another shard.
            return LedgerUnknown(request.request)
        return None

    async def _ensure_epochs_confirmed(self) -> None:
        """Return once a quorum has confirmed the local epochs within :data:`CONFIRMED_SECONDS`.

        The confirmation is renewed in the background after half of that time, so that requests
        don't wait for it while there is a quorum.
        """
        if self._confirmation_age() >= CONFIRMATION_VALIDITY_SECONDS / 2:
            self._start_confirmation()
        while self._confirmation_age() >= CONFIRMATION_VALIDITY_SECONDS:
            confirmation = self._start_confirmation()
            await asyncio.shield(confirmation)
            if self._confirmation_age() >= CONFIRMATION_VALIDITY_SECONDS and confirmation.done():
                raise ControlUnavailableError(NO_QUORUM)

    def _confirmation_age(self) -> float:
        return self._now() - self._confirmed_at

    def _start_confirmation(self) -> asyncio.Task[None]:
        if self._confirmation is None or self._confirmation.done():
            self._confirmation = asyncio.get_running_loop().create_task(self._confirm_epochs())
        return self._confirmation

    async def _confirm_epochs(self) -> None:
        """Confirm the epochs with a quorum; on failure keep the previous confirmation time."""
        started_at = self._now()
        try:
            await self._log.read_barrier()
        except ControlUnavailableError:
            return
        self._confirmed_at = started_at
        self._close_unused()

    def _shard(self, group: ShardAddresses) -> ShardConnection:
        shard = self._shards.get(group)
        if shard is None:
            shard = self._shards[group] = self._connect_shard(group)
        return shard

    def _close_unused(self) -> None:
        for group in self._shards.keys() - self._machine.epochs.groups():
            self._shards.pop(group).close()

    @staticmethod
    async def _forward(shard: ShardConnection, request: LedgerRequest) -> LedgerAnswer:
        if isinstance(request, LedgerBegin):
            answer = await shard.begin(request.key, request.attempt, SHARD_TIMEOUT_SECONDS)
            return _with_request_id(answer, request.request)
        if isinstance(request, LedgerCancel):
            is_committed = await shard.cancel(request.key, request.attempt, SHARD_TIMEOUT_SECONDS)
        else:
            is_committed = await shard.complete(request, SHARD_TIMEOUT_SECONDS)
        if is_committed:
            return LedgerNoted(request.request)
        return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)


def _with_request_id(answer: LedgerAnswer, request: int) -> LedgerAnswer:
    answer_type = type(answer)
    fields = {name: getattr(answer, name) for name in answer.__struct_fields__}
    return answer_type(**{**fields, "request": request})


def _is_key_moved(answer: LedgerAnswer) -> bool:
    return isinstance(answer, LedgerRefused) and answer.detail == LedgerRefusalReason.MOVED
