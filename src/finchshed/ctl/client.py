"""Client of the operators' RPC service, with failover between control nodes.

A call that found no quorum, or whose answer was lost, is sent again to the next node. That is safe:
reads have no side effects, and a change keeps its identity, by which it is applied only once.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

import grpc

from finchshed.common.errors import ControlUnavailableError, FinchshedError
from finchshed.rpc.generated import finchshed_pb2_grpc as pb_grpc
from finchshed.tls.files import TlsFiles
from finchshed.tls.rpc import TARGET_NAME_OPTION, client_credentials

ResponseT = TypeVar("ResponseT")

CALL_TIMEOUT_SECONDS = 6.0
"""Time limit of a call to one node; above the 4 s that a node waits for a quorum by default."""

RETRY_PAUSE_SECONDS = 0.2
"""Pause after calls to all nodes have failed."""

MAX_MESSAGE_BYTES = 64 << 20
"""Maximum size of an answer, which can hold a whole configuration."""

CONNECT_FAILED = "failed to connect to all addresses"
"""Prefix of gRPC's error text for a failed connection; the cause follows the last ': '."""

_RETRYABLE = frozenset(
    {
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED,
        grpc.StatusCode.CANCELLED,
        grpc.StatusCode.UNKNOWN,
    }
)
_DENIED = frozenset({grpc.StatusCode.UNAUTHENTICATED, grpc.StatusCode.PERMISSION_DENIED})


class AccessDeniedError(FinchshedError):
    """The token or the certificate isn't that of a declared operator."""


class NotFoundError(FinchshedError):
    """The requested item doesn't exist."""


@dataclass(frozen=True, slots=True)
class NodeResponses:
    """Responses of all control nodes to one request.

    Attributes
    ----------
    answers
        Address and answer of each node that answered, in the order of the addresses.
    errors
        One line for each failed call, with the address and the cause.
    """

    answers: tuple[tuple[str, object], ...]
    errors: tuple[str, ...]


class OperatorClient:
    """Calls the operators' service on one of several control nodes.

    Parameters
    ----------
    addresses
        RPC addresses of control nodes, ``a.b.c.d:port``, in the order of failover.
    token
        The operator's token.
    timeout_seconds
        Time limit of a request, including its retries.
    tls
        Files of key and certificates; None for plain text.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        token: str,
        timeout_seconds: float,
        tls: TlsFiles | None = None,
    ) -> None:
        options = [
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.enable_http_proxy", 0),
            ("grpc.initial_reconnect_backoff_ms", 100),
            ("grpc.max_reconnect_backoff_ms", 1000),
        ]
        self._metadata = (("authorization", f"Bearer {token}"),)
        self._timeout = timeout_seconds
        self._channels = [_channel(address, options, tls) for address in addresses]
        self._stubs = [pb_grpc.OperatorsStub(channel) for channel in self._channels]
        self._preferred = 0
        self.addresses = addresses

    def close(self) -> None:
        """Close the connections."""
        for channel in self._channels:
            channel.close()

    def call(self, method: str, request: object) -> object:
        """Call ``method`` on one node, trying others until one answers.

        Raises
        ------
        ControlUnavailableError
            No node answered with the confirmation of a quorum in time.
        AccessDeniedError
            The operator was refused.
        FinchshedError
            The request was refused.
        """
        deadline = time.monotonic() + self._timeout
        while True:
            last_error = "no control node given"
            for _ in range(len(self._stubs)):
                try:
                    return self._call_one(self._preferred, method, request, deadline)
                except grpc.RpcError as error:
                    last_error = f"{self.addresses[self._preferred]}: {_describe_error(error)}"
                    if error.code() not in _RETRYABLE:
                        raise _to_exception(error) from error
                    self._preferred = (self._preferred + 1) % len(self._stubs)
            if time.monotonic() + RETRY_PAUSE_SECONDS >= deadline:
                raise ControlUnavailableError(last_error)
            time.sleep(RETRY_PAUSE_SECONDS)

    def call_each(self, method: str, request: object) -> NodeResponses:
        """Call ``method`` once on every node.

        Raises
        ------
        AccessDeniedError
            The operator was refused.
        """
        answers: list[tuple[str, object]] = []
        errors: list[str] = []
        for position, address in enumerate(self.addresses):
            deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
            try:
                answer = self._call_one(position, method, request, deadline)
            except grpc.RpcError as error:
                if error.code() in _DENIED:
                    raise _to_exception(error) from error
                errors.append(f"{address}: {_describe_error(error)}")
            else:
                answers.append((address, answer))
        return NodeResponses(tuple(answers), tuple(errors))

    def stream(self, method: str, request: object) -> Iterator[object]:
        """Yield the answers of the streaming ``method`` of the first node that answers.

        Raises
        ------
        ControlUnavailableError
            No node started to answer in time, or the stream ended early. Resume after the last
            answer received.
        """
        deadline = time.monotonic() + self._timeout
        while True:
            call: Callable[..., Iterator[object]] = getattr(self._stubs[self._preferred], method)
            has_begun = False
            try:
                for answer in call(request, metadata=self._metadata):
                    has_begun = True
                    yield answer
            except grpc.RpcError as error:
                self._preferred = (self._preferred + 1) % len(self._stubs)
                is_final = has_begun or error.code() not in _RETRYABLE
                if is_final or time.monotonic() + RETRY_PAUSE_SECONDS >= deadline:
                    raise _to_exception(error) from error
                time.sleep(RETRY_PAUSE_SECONDS)
            else:
                return

    def _call_one(self, position: int, method: str, request: object, deadline: float) -> object:
        remaining = deadline - time.monotonic()
        timeout = max(0.1, min(CALL_TIMEOUT_SECONDS, remaining))
        call: Callable[..., object] = getattr(self._stubs[position], method)
        return call(request, metadata=self._metadata, timeout=timeout)


def _channel(address: str, options: list[tuple[str, int]], tls: TlsFiles | None) -> grpc.Channel:
    if tls is None:
        return grpc.insecure_channel(address, options)
    return grpc.secure_channel(address, client_credentials(tls), [*options, TARGET_NAME_OPTION])


def _describe_error(error: grpc.RpcError) -> str:
    details = str(error.details())
    if details.startswith(CONNECT_FAILED):
        details = f"can't be reached: {details.rpartition(': ')[2]}"
    return f"{error.code().name}: {details}"


def _to_exception(error: grpc.RpcError) -> FinchshedError:
    text = _describe_error(error)
    if error.code() in _DENIED:
        return AccessDeniedError(text)
    if error.code() is grpc.StatusCode.NOT_FOUND:
        return NotFoundError(text)
    if error.code() in _RETRYABLE:
        return ControlUnavailableError(text)
    return FinchshedError(text)
