"""A whole deployment with TLS: identities at every listener, and replaced certificates."""

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
from tests.tls.keys import CertificateAuthority, flags, settings_text

ANSWER_SECONDS = 20.0
POLL_SECONDS = 0.05


class SecuredGroup(Group):
    """A control group whose nodes and operator have certificates."""

    def __init__(self, folder: Path, authority: CertificateAuthority) -> None:
        super().__init__(folder)
        self.files = {
            node.name: authority.issue(CertificateRole.CONTROL, node.name) for node in self.nodes
        }
        self.operator = authority.issue(CertificateRole.OPERATOR, "ana")

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
def authority(tmp_path: Path) -> CertificateAuthority:
    return CertificateAuthority(tmp_path / "keys")


@pytest.fixture
async def group(tmp_path: Path, authority: CertificateAuthority) -> AsyncIterator[SecuredGroup]:
    made = SecuredGroup(tmp_path, authority)
    made.start_all()
    yield made
    made.close()


async def exchange_line(address: str, files: TlsFiles | None, line: bytes) -> bytes:
    """Send ``line`` and return the first line of the answer; empty if the listener closes."""
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


async def test_calls_and_changes_pass_and_false_link_identities_are_refused(
    group: SecuredGroup, authority: CertificateAuthority
) -> None:
    async with AsyncExitStack() as stack:
        backend = await stack.enter_async_context(ScriptedBackend(echo, healthy))
        callee = DaemonProcess(
            node="licence-1",
            control_address=control_addresses(group),
            service=SERVICE,
            backend_address=backend.address,
        )
        callee.flags = flags(
            authority.issue(
                CertificateRole.DAEMON, callee.node, zone=callee.zone, endpoint=callee.node
            )
        )
        edge = DaemonProcess(node="edge", control_address=control_addresses(group))
        edge.flags = flags(authority.issue(CertificateRole.DAEMON, edge.node, zone=edge.zone))
        await asyncio.to_thread(group.bootstrap, *resources_for([callee]))
        await stack.enter_async_context(callee)
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
            if await read_revision(session, edge) >= result.revision:
                break
            await asyncio.sleep(POLL_SECONDS)
        assert await read_revision(session, edge) == result.revision

        hello = Hello("edge", "1", "epoch", "", edge.zone, 0)
        files = authority.issue(CertificateRole.DAEMON, "edge", zone=edge.zone)
        answer = json.loads(await exchange_line(callee.link_address, files, encode_line(hello)))
        assert answer["node"] == "licence-1"
        assert await exchange_line(callee.link_address, None, encode_line(hello)) == b""
        for wrong in (
            Hello("edge-2", "1", "epoch", "", edge.zone, 0),
            Hello("edge", "1", "epoch", "", "north-2", 0),
            Hello("edge", "1", "epoch", SERVICE, edge.zone, 0),
        ):
            assert await exchange_line(callee.link_address, files, encode_line(wrong)) == b"", wrong


async def read_revision(session: aiohttp.ClientSession, daemon: DaemonProcess) -> float:
    async with session.get(f"http://{daemon.admin_address}/metrics") as response:
        text = await response.text()
    lines = [
        line for line in text.splitlines() if line.startswith("finchshed_configuration_revision")
    ]
    return float(lines[0].split()[-1]) if lines else 0.0


async def test_control_nodes_refuse_false_identities_of_subscribers_and_operators(
    group: SecuredGroup, authority: CertificateAuthority, tmp_path: Path
) -> None:
    await asyncio.to_thread(group.bootstrap)
    address = group.voters[0].distribution
    own_files = authority.issue(CertificateRole.DAEMON, "d1", zone="a", endpoint="e1")
    subscribe = Subscribe("d1", "1", SERVICE, "a", 0, "e1")
    assert await exchange_line(address, own_files, encode_line(subscribe)) != b""
    for wrong in (
        Subscribe("d2", "1", SERVICE, "a", 0, "e1"),
        Subscribe("d1", "1", SERVICE, "b", 0, "e1"),
        Subscribe("d1", "1", SERVICE, "a", 0, "e2"),
    ):
        assert await exchange_line(address, own_files, encode_line(wrong)) == b"", wrong
    assert await exchange_line(address, None, encode_line(subscribe)) == b""

    def read(files: TlsFiles) -> None:
        client = group.client(tls=files, timeout=3.0)
        try:
            read_configuration(client)
        finally:
            client.close()

    await asyncio.to_thread(read, group.operator)
    for other in (authority.issue(CertificateRole.OPERATOR, "ben"), own_files):
        with pytest.raises(AccessDeniedError, match="isn't that of operator ana"):
            await asyncio.to_thread(read, other)
    foreign_client = CertificateAuthority(tmp_path / "other").issue(CertificateRole.OPERATOR, "ana")
    foreign_client = dataclasses.replace(foreign_client, authority=str(authority.authority_file))
    with pytest.raises(ControlUnavailableError):
        await asyncio.to_thread(read, foreign_client)
    plain = OperatorClient((group.voters[0].rpc,), OPERATOR_TOKEN, 2.0)
    with pytest.raises(ControlUnavailableError):
        await asyncio.to_thread(read_configuration, plain)
    plain.close()


async def test_every_listener_presents_a_replaced_certificate_to_new_connections(
    group: SecuredGroup, authority: CertificateAuthority
) -> None:
    await asyncio.to_thread(group.bootstrap)
    node = group.voters[0]
    client = group.client([node])
    listeners = (node.raft, node.distribution, node.rpc)
    for _ in range(2):
        expected = read_certificate(group.files[node.name])
        for address in listeners:
            presented = await asyncio.to_thread(presented_certificate, address, group.operator)
            assert presented == expected, address
        authority.issue(CertificateRole.CONTROL, node.name)
        result = await asyncio.to_thread(apply_one, client, str(uuid4()), Service(name="permits"))
        assert isinstance(result, Accepted)
    client.close()


def read_certificate(files: TlsFiles) -> bytes:
    """Return the certificate in ``files`` as DER."""
    return ssl.PEM_cert_to_DER_cert(Path(files.certificate).read_text())


def presented_certificate(address: str, files: TlsFiles) -> bytes:
    """Return the certificate that a listener presents, as DER."""
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
