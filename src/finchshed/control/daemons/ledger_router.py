"""Takes daemons' ledger requests to the log that their key belongs to.

Owns the connections to shards. Relies on :mod:`finchshed.ledger.epochs` for where a key belongs.
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
from finchshed.ledger.epochs import CONFIRMED_SECONDS, OWN, ShardAddresses
from finchshed.ledger.keys import issued_at
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS
from finchshed.ledger.results import LedgerRefusalReason

SHARD_SECONDS = 4.0
"""Longest wait for a shard's answer: as long as a node waits for its own quorum by default."""

MOVED_TRIES = 3
"""Looks for the log that a key belongs to, while epochs change. Chosen, not measured."""


class ShardPort(Protocol):
    """One shard's group, as a daemon sees its control group."""

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        """Ask leave to run the request under ``key``."""

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Free the key of an attempt that was not sent; True once committed."""

    async def complete(self, request: LedgerRequest, timeout_seconds: float) -> bool:
        """Record an answer; True once committed."""

    def close(self) -> None:
        """End the connection."""


MakeShard = Callable[[ShardAddresses], ShardPort]


class ShardClient:
    """Connection to one shard's group.

    Parameters
    ----------
    node
        Name of this control node, which the shard lists like a daemon.
    connect
        Opens connections; None: the event loop does.
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
        """Ask leave to run the request under ``key``."""
        return await self._client.ledger.begin(key, attempt, timeout_seconds)

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Free the key of an attempt that was not sent; True once committed."""
        return await self._client.ledger.cancel(key, attempt, timeout_seconds)

    async def complete(self, request: LedgerRequest, timeout_seconds: float) -> bool:
        """Record an answer; True once committed."""
        answer = getattr(request, "answer", None)
        if answer is None:
            return False
        return await self._client.ledger.complete(
            request.key, request.attempt, answer, timeout_seconds
        )

    def close(self) -> None:
        """End the connection."""
        self._task.cancel()


class LedgerRouter:
    """Answers daemons' ledger requests from the own log or from shards.

    Parameters
    ----------
    own
        Answers requests whose key belongs to the control group's own log.
    make_shard
        Opens a connection to a shard's group.
    now
        Monotonic seconds.
    unix_now
        Unix seconds.
    """

    def __init__(
        self,
        machine: ControlStateMachine,
        log: ReplicatedLog,
        own: LedgerService,
        *,
        make_shard: MakeShard,
        now: Callable[[], float],
        unix_now: Callable[[], float],
    ) -> None:
        self._machine = machine
        self._log = log
        self._own = own
        self._make_shard = make_shard
        self._now = now
        self._unix_now = unix_now
        self._shards: dict[ShardAddresses, ShardPort] = {}
        self._confirmed_at = float("-inf")
        self._confirming: asyncio.Task[None] | None = None

    async def answer(self, request: LedgerRequest) -> LedgerAnswer:
        """Return the answer to ``request``; never raises for a missing quorum."""
        try:
            return await self._answer(request)
        except ControlUnavailableError:
            return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)

    def close(self) -> None:
        """End all connections to shards."""
        for shard in self._shards.values():
            shard.close()
        self._shards.clear()

    async def _answer(self, request: LedgerRequest) -> LedgerAnswer:
        reply: LedgerAnswer = LedgerRefused(request.request, expired=False, detail=NO_QUORUM)
        for _ in range(MOVED_TRIES):
            if self._machine.epochs.group_of(request.key) == OWN:
                reply = await self._own.answer(request)
                if not _is_moved(reply):
                    return reply
                # The log knows of an epoch that isn't applied here yet.
                await self._log.read_barrier()
                continue
            await self._confirm()
            group = self._machine.epochs.group_of(request.key)
            if group != OWN:
                refusal = self._refusal(request)
                return refusal or await self._ask(self._shard(group), request)
        return reply

    def _refusal(self, request: LedgerRequest) -> LedgerAnswer | None:
        """Return why a key isn't taken to its shard, if so; see :mod:`finchshed.ledger.epochs`."""
        issued = issued_at(request.key)
        ledger = self._machine.ledger
        if issued is None or issued < ledger.oldest_issued:
            reason = LedgerRefusalReason.EXPIRED
            return LedgerRefused(request.request, expired=True, detail=reason)
        if issued > self._unix_now() + MAX_CLOCK_LEAD_SECONDS:
            reason = LedgerRefusalReason.MADE_IN_THE_FUTURE
            return LedgerRefused(request.request, expired=False, detail=reason)
        if issued < ledger.unknown_before and isinstance(request, LedgerBegin):
            # A lost part of the log may have named other shards for it.
            return LedgerUnknown(request.request)
        return None

    async def _confirm(self) -> None:
        """Return once a majority confirmed the epochs known here lately enough.

        Half-way it is asked for again in the background, so that no request waits for it as long
        as there is a majority.
        """
        if self._age() >= CONFIRMED_SECONDS / 2:
            self._start_confirming()
        while self._age() >= CONFIRMED_SECONDS:
            confirming = self._start_confirming()
            await asyncio.shield(confirming)
            if self._age() >= CONFIRMED_SECONDS and confirming.done():
                raise ControlUnavailableError(NO_QUORUM)

    def _age(self) -> float:
        return self._now() - self._confirmed_at

    def _start_confirming(self) -> asyncio.Task[None]:
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.get_running_loop().create_task(self._read_barrier())
        return self._confirming

    async def _read_barrier(self) -> None:
        """Ask a majority; without one the time of the last confirmation stays."""
        asked_at = self._now()
        try:
            await self._log.read_barrier()
        except ControlUnavailableError:
            return
        self._confirmed_at = asked_at
        self._close_unused()

    def _shard(self, group: ShardAddresses) -> ShardPort:
        shard = self._shards.get(group)
        if shard is None:
            shard = self._shards[group] = self._make_shard(group)
        return shard

    def _close_unused(self) -> None:
        for group in self._shards.keys() - self._machine.epochs.groups():
            self._shards.pop(group).close()

    @staticmethod
    async def _ask(shard: ShardPort, request: LedgerRequest) -> LedgerAnswer:
        if isinstance(request, LedgerBegin):
            answer = await shard.begin(request.key, request.attempt, SHARD_SECONDS)
            return _renumbered(answer, request.request)
        if isinstance(request, LedgerCancel):
            is_noted = await shard.cancel(request.key, request.attempt, SHARD_SECONDS)
        else:
            is_noted = await shard.complete(request, SHARD_SECONDS)
        if is_noted:
            return LedgerNoted(request.request)
        return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)


def _renumbered(answer: LedgerAnswer, request: int) -> LedgerAnswer:
    answer_type = type(answer)
    fields = {name: getattr(answer, name) for name in answer.__struct_fields__}
    return answer_type(**{**fields, "request": request})


def _is_moved(reply: LedgerAnswer) -> bool:
    return isinstance(reply, LedgerRefused) and reply.detail == LedgerRefusalReason.MOVED
