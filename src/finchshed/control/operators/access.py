"""Authentication of operators' calls by bearer token and client certificate.

Owns no state. Relies on the operators declared in the replicated state.
"""

import hashlib
from typing import NoReturn

import grpc
from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.store import BOOTSTRAP_OPERATOR
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.tls.names import CertificateRole, format_identities, has_role, identity_uri
from finchshed.tls.rpc import caller_identities

AUTHORIZATION_KEY = "authorization"
BEARER_PREFIX = "Bearer "


class CallAuthenticator:
    """Authenticates calls and aborts those that are not permitted.

    Parameters
    ----------
    bootstrap_token_sha256
        Digest of the token accepted while no operator is declared; empty for none.
    """

    def __init__(
        self, machine: ControlStateMachine, log: ReplicatedLog, bootstrap_token_sha256: str
    ) -> None:
        self._machine = machine
        self._log = log
        self._bootstrap_digest = bootstrap_token_sha256

    async def read_barrier(self, context: grpc.aio.ServicerContext) -> None:
        """Wait until every entry committed so far is applied; abort the call without a quorum."""
        try:
            await self._log.read_barrier()
        except ControlUnavailableError as error:
            await abort(context, grpc.StatusCode.UNAVAILABLE, str(error))

    async def authenticate(self, context: grpc.aio.ServicerContext) -> str:
        """Return the operator's name; abort the call if authentication fails."""
        metadata = dict(context.invocation_metadata() or ())
        value = str(metadata.get(AUTHORIZATION_KEY, ""))
        if not value.startswith(BEARER_PREFIX):
            detail = "give an operator's token in the metadata key 'authorization'"
            await abort(context, grpc.StatusCode.UNAUTHENTICATED, detail)
        digest = hashlib.sha256(value.removeprefix(BEARER_PREFIX).encode()).hexdigest()
        name = self._operator_of(digest)
        if name is None:
            # The operator may have been declared in an entry not applied here yet.
            await self.read_barrier(context)
            name = self._operator_of(digest)
        if name is None:
            logger.warning("call from {} rejected: unknown token", context.peer())
            detail = "the token is none of a declared operator"
            await abort(context, grpc.StatusCode.PERMISSION_DENIED, detail)
        if mismatch := _certificate_mismatch(context, name):
            logger.warning("call from {} rejected: {}", context.peer(), mismatch)
            await abort(context, grpc.StatusCode.PERMISSION_DENIED, mismatch)
        return name

    def _operator_of(self, digest: str) -> str | None:
        operators = self._machine.store.operators()
        if not operators and self._bootstrap_digest and digest == self._bootstrap_digest:
            return BOOTSTRAP_OPERATOR
        operator = operators.get(digest)
        return None if operator is None else operator.name


def _certificate_mismatch(context: grpc.aio.ServicerContext, name: str) -> str:
    """Return why the caller's certificate isn't that of operator ``name``; empty if it is."""
    names = caller_identities(context.auth_context())
    if names is None or identity_uri(CertificateRole.OPERATOR, name) in names:
        return ""
    if name == BOOTSTRAP_OPERATOR and has_role(names, CertificateRole.OPERATOR):
        return ""
    return f"the certificate of {format_identities(names)} isn't that of operator {name}"


async def abort(context: grpc.aio.ServicerContext, code: grpc.StatusCode, detail: str) -> NoReturn:
    """Abort the call with status ``code``."""
    await context.abort(code, detail)
    raise AssertionError("context.abort() returned")  # pragma: no cover - abort always raises
