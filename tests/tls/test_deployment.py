"""Control nodes and daemons of a deployment with TLS on."""

import asyncio
import dataclasses
import json
import socket
import ssl
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path
from uuid import uuid4

import aiohttp
import pytest
from yarl import URL

from finchshed.common.context import HEADER_SERVICE
from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted
from finchshed.configuration.resources import Service
from finchshed.ctl.changes import read_configuration
from finchshed.ctl.client import AccessDeniedError, OperatorClient
from finchshed.distribution.messages import Subscribe
from finchshed.link.encoding import encode_line
from finchshed.link.messages import Hello
from finchshed.tls.credentials import Credentials
from finchshed.tls.files import TlsFiles, load_into_context
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import CertificateRole
from tests.control.group import OPERATOR_TOKEN, Group, Node, apply_one
from tests.daemon.deployment import SERVICE, resources_for
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_backend import ScriptedBackend, echo, healthy
from tests.tls.keys import Deployment, flags, settings_text

ANSWER_SECONDS = 20.0
POLL_SECONDS = 0.05


class SecuredGroup(Group):
    """A control group whose nodes and operators have certificates."""

    def __init__(self, folder: Path, keys: Deployment) -> None:
        super().__init__(folder)
        self.files = {
            node.name: keys.issue(CertificateRole.CONTROL, node.name) for node in self.nodes
        }
        self.operator = keys.issue(CertificateRole.OPERATOR, "ana")

    def settings_of(self, node: Node) -> Path:
        path = super().settings_of(node)
        path.write_text(path.read_text() + settings_text(self.files[node.name]))
        return path

    def client(
        self,
        nodes: list[Node] | None = None,
        token: str = OPERATOR_TOKEN,
        timeout: float = 20.0,
        tls: TlsFiles | None = None,
    ) -> OperatorClient:
        addresses = tuple(node.rpc for node in nodes or self.nodes)
        return OperatorClient(addresses, token, timeout, tls or self.operator)


@pytest.fixture
def keys(tmp_path: Path) -> Deployment:
    return Deployment(tmp_path / "keys")


@pytest.fixture
async def group(tmp_path: Path, keys: Deployment) -> AsyncIterator[SecuredGroup]:
    made = SecuredGroup(tmp_path, keys)
    made.start_all()
    yield made
    made.close()


async def dialled(address: str, files: TlsFiles | None, line: bytes) -> bytes:
    """Return the first line a listener answers to ``line``; empty if it closes."""
    reader = asyncio.StreamReader()
    connector = Connector(None if files is None else Credentials(files))
    host, port = address.split(":")
    transport, _ = await connector(lambda: asyncio.StreamReaderProtocol(reader), host, int(port))
    transport.write(line)
    try:
        return await asyncio.wait_for(reader.readline(), ANSWER_SECONDS)
    except OSError:
        return b""
    finally:
        transport.abort()


def control_addresses(group: Group) -> str:
    return ",".join(node.distribution for node in group.voters)


async def test_a_group_and_two_daemons_serve_a_call_and_an_apply(
    group: SecuredGroup, keys: Deployment
) -> None:
    async with AsyncExitStack() as stack:
        backend = await stack.enter_async_context(ScriptedBackend(echo, healthy))
        beside = DaemonProcess(
            node="licence-1",
            control_address=control_addresses(group),
            service=SERVICE,
            backend_address=backend.address,
        )
        beside.flags = flags(
            keys.issue(CertificateRole.DAEMON, beside.node, zone=beside.zone, endpoint=beside.node)
        )
        edge = DaemonProcess(node="edge", control_address=control_addresses(group))
        edge.flags = flags(keys.issue(CertificateRole.DAEMON, edge.node, zone=edge.zone))
        await asyncio.to_thread(group.bootstrap, *resources_for([beside]))
        await stack.enter_async_context(beside)
        await stack.enter_async_context(edge)
        session = await stack.enter_async_context(aiohttp.ClientSession())

        url = URL(f"http://{edge.http_address}/look")
        async with session.get(url, headers={HEADER_SERVICE: SERVICE}) as response:
            assert response.status == 200
        assert backend.paths().count("/look") == 1

        client = group.client()
        result = await asyncio.to_thread(apply_one, client, "change-1", Service(name="permits"))
        client.close()
        assert isinstance(result, Accepted)
        for _ in range(round(ANSWER_SECONDS / POLL_SECONDS)):
            if await revision_of(session, edge) >= result.revision:
                break
            await asyncio.sleep(POLL_SECONDS)
        assert await revision_of(session, edge) == result.revision

        hello = Hello("edge", "1", "epoch", "", edge.zone, 0)
        files = keys.issue(CertificateRole.DAEMON, "edge", zone=edge.zone)
        answer = json.loads(await dialled(beside.link_address, files, encode_line(hello)))
        assert answer["node"] == "licence-1"
        assert await dialled(beside.link_address, None, encode_line(hello)) == b""
        for wrong in (
            Hello("edge-2", "1", "epoch", "", edge.zone, 0),
            Hello("edge", "1", "epoch", "", "north-2", 0),
            Hello("edge", "1", "epoch", SERVICE, edge.zone, 0),
        ):
            assert await dialled(beside.link_address, files, encode_line(wrong)) == b"", wrong


async def revision_of(session: aiohttp.ClientSession, daemon: DaemonProcess) -> float:
    async with session.get(f"http://{daemon.admin_address}/metrics") as response:
        text = await response.text()
    lines = [
        line for line in text.splitlines() if line.startswith("finchshed_configuration_revision")
    ]
    return float(lines[0].split()[-1]) if lines else 0.0


async def test_control_nodes_refuse_subscribers_and_operators_they_don_t_know(
    group: SecuredGroup, keys: Deployment, tmp_path: Path
) -> None:
    await asyncio.to_thread(group.bootstrap)
    address = group.voters[0].distribution
    own = keys.issue(CertificateRole.DAEMON, "d1", zone="a", endpoint="e1")
    subscribe = Subscribe("d1", "1", SERVICE, "a", 0, "e1")
    assert await dialled(address, own, encode_line(subscribe)) != b""
    for wrong in (
        Subscribe("d2", "1", SERVICE, "a", 0, "e1"),
        Subscribe("d1", "1", SERVICE, "b", 0, "e1"),
        Subscribe("d1", "1", SERVICE, "a", 0, "e2"),
    ):
        assert await dialled(address, own, encode_line(wrong)) == b"", wrong
    assert await dialled(address, None, encode_line(subscribe)) == b""

    def read(files: TlsFiles) -> None:
        client = group.client(tls=files, timeout=3.0)
        try:
            read_configuration(client)
        finally:
            client.close()

    await asyncio.to_thread(read, group.operator)
    for other in (keys.issue(CertificateRole.OPERATOR, "ben"), own):
        with pytest.raises(AccessDeniedError, match="isn't that of operator ana"):
            await asyncio.to_thread(read, other)
    stranger = Deployment(tmp_path / "other").issue(CertificateRole.OPERATOR, "ana")
    stranger = dataclasses.replace(stranger, authority=str(keys.authority_file))
    with pytest.raises(ControlUnavailableError):
        await asyncio.to_thread(read, stranger)
    plain = OperatorClient((group.voters[0].rpc,), OPERATOR_TOKEN, 2.0)
    with pytest.raises(ControlUnavailableError):
        await asyncio.to_thread(read_configuration, plain)
    plain.close()


async def test_each_listener_of_a_running_node_shows_new_files_to_new_connections(
    group: SecuredGroup, keys: Deployment
) -> None:
    await asyncio.to_thread(group.bootstrap)
    node = group.voters[0]
    client = group.client([node])
    listeners = (node.raft, node.distribution, node.rpc)
    for _ in range(2):
        own = certificate_of(group.files[node.name])
        for address in listeners:
            shown = await asyncio.to_thread(shown_certificate, address, group.operator)
            assert shown == own, address
        keys.issue(CertificateRole.CONTROL, node.name)
        result = await asyncio.to_thread(apply_one, client, str(uuid4()), Service(name="permits"))
        assert isinstance(result, Accepted)
    client.close()


def certificate_of(files: TlsFiles) -> bytes:
    """Return the certificate (DER) of a file."""
    return ssl.PEM_cert_to_DER_cert(Path(files.certificate).read_text())


def shown_certificate(address: str, files: TlsFiles) -> bytes:
    """Return the certificate (DER) that a listener shows."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    load_into_context(context, files)
    host, port = address.split(":")
    with (
        socket.create_connection((host, int(port)), ANSWER_SECONDS) as plain,
        context.wrap_socket(plain) as secured,
    ):
        return secured.getpeercert(binary_form=True) or b""
