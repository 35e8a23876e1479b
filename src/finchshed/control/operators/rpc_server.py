"""gRPC server of a control node: operators' service, health checks and reflection.

Owns the listener. Relies on :mod:`finchshed.control.operators.service` to handle calls.
"""

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from finchshed.control.operators.service import OperatorService
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.rpc.generated import finchshed_pb2_grpc as pb_grpc
from finchshed.tls.credentials import Credentials
from finchshed.tls.rpc import server_credentials

MAX_MESSAGE_BYTES = 16 << 20
"""Largest request accepted from an operator."""

SERVICE_NAME = pb.DESCRIPTOR.services_by_name["Operators"].full_name


class RpcServer:
    """Serves operators on the running event loop.

    Parameters
    ----------
    credentials
        TLS credentials; None for plain text.
    """

    def __init__(self, service: OperatorService, credentials: Credentials | None = None) -> None:
        self._credentials = credentials
        options = [
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.max_send_message_length", -1),
            ("grpc.so_reuseport", 0),
        ]
        self._server = grpc.aio.server(options=options)
        self._health = health.aio.HealthServicer()
        pb_grpc.add_OperatorsServicer_to_server(service, self._server)
        health_pb2_grpc.add_HealthServicer_to_server(self._health, self._server)
        names = (SERVICE_NAME, health.SERVICE_NAME, reflection.SERVICE_NAME)
        reflection.enable_server_reflection(names, self._server)

    async def start(self, address: str) -> int:
        """Listen at ``address`` and return the port."""
        port: int
        if self._credentials is None:
            port = self._server.add_insecure_port(address)
        else:
            port = self._server.add_secure_port(address, server_credentials(self._credentials))
        await self._server.start()
        await self._health.set(SERVICE_NAME, health_pb2.HealthCheckResponse.SERVING)
        return port

    async def stop(self, timeout_seconds: float) -> None:
        """Reject new calls and finish those in progress."""
        await self._health.enter_graceful_shutdown()
        await self._server.stop(timeout_seconds)
