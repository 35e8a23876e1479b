"""Who may call the operators' service: the holders of declared operators' tokens.

Owns no state. Relies on the declared operators in the replicated state.
"""

import hashlib
from typing import NoReturn

import grpc
from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.store import BOOTSTRAP_OPERATOR
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.tls.names import CertificateRole, has_role, name_of, shown
from finchshed.tls.rpc import caller_names

AUTHORIZATION = "authorization"
BEARER = "Bearer "


class Access:
    """Finds the operator of a call, and ends calls that may not go on.

    Parameters
    ----------
    bootstrap_token_sha256
        Digest of the token that may change a configuration without operators; empty: none.
    """

    def __init__(
        self, machine: ControlStateMachine, log: ReplicatedLog, bootstrap_token_sha256: str
    ) -> None:
        self._machine = machine
        self._log = log
        self._bootstrap_digest = bootstrap_token_sha256

    async def barrier(self, context: grpc.aio.ServicerContext) -> None:
        """Return once this node holds all that was committed before; else end the call."""
        try:
            await self._log.read_barrier()
        except ControlUnavailableError as error:
            await abort(context, grpc.StatusCode.UNAVAILABLE, str(error))

    async def operator(self, context: grpc.aio.ServicerContext) -> str:
        """Return the operator's name; end the call when the token is none of an operator."""
        metadata = dict(context.invocation_metadata() or ())
        value = str(metadata.get(AUTHORIZATION, ""))
        if not value.startswith(BEARER):
            detail = "give an operator's token in the metadata key 'authorization'"
            await abort(context, grpc.StatusCode.UNAUTHENTICATED, detail)
        digest = hashlib.sha256(value.removeprefix(BEARER).encode()).hexdigest()
        name = self._operator_of(digest)
        if name is None:
            # This node may not know the latest operators: nobody is denied on old state.
            await self.barrier(context)
            name = self._operator_of(digest)
        if name is None:
            logger.warning("call with an unknown token from {}", context.peer())
            detail = "the token is none of a declared operator"
            await abort(context, grpc.StatusCode.PERMISSION_DENIED, detail)
        if fault := _unproven_operator(context, name):
            logger.warning("call from {} refused: {}", context.peer(), fault)
            await abort(context, grpc.StatusCode.PERMISSION_DENIED, fault)
        return name

    def _operator_of(self, digest: str) -> str | None:
        operators = self._machine.store.operators()
        if not operators and self._bootstrap_digest and digest == self._bootstrap_digest:
            return BOOTSTRAP_OPERATOR
        operator = operators.get(digest)
        return None if operator is None else operator.name


def _unproven_operator(context: grpc.aio.ServicerContext, name: str) -> str:
    """Return why the caller's certificate isn't that of operator ``name``; empty if it is."""
    names = caller_names(context.auth_context())
    if names is None or name_of(CertificateRole.OPERATOR, name) in names:
        return ""
    if name == BOOTSTRAP_OPERATOR and has_role(names, CertificateRole.OPERATOR):
        return ""
    return f"the certificate of {shown(names)} isn't that of operator {name}"


async def abort(context: grpc.aio.ServicerContext, code: grpc.StatusCode, detail: str) -> NoReturn:
    """End the call with ``code``."""
    await context.abort(code, detail)
    raise AssertionError("abort returns")  # pragma: no cover - abort always raises
