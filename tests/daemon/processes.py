"""Daemon processes for tests, on reserved ports."""

import asyncio
import os
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

SOURCE = Path(__file__).parents[2] / "src"
START_SECONDS = 20.0
STOP_SECONDS = 20.0
PORT_RANGE = (12_000, 32_000)

_ports = random.SystemRandom()
_holders: list[socket.socket] = []


def free_address() -> str:
    """Reserve an address that only a daemon, which sets SO_REUSEPORT as well, can bind."""
    while True:
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        address = ("127.0.0.1", _ports.randrange(*PORT_RANGE))
        try:
            with socket.socket() as probe:
                probe.bind(address)
            holder.bind(address)
        except OSError:
            holder.close()
            continue
        _holders.append(holder)
        return f"{address[0]}:{address[1]}"


@dataclass
class DaemonProcess:
    """One ``finchshed daemon`` process."""

    node: str
    control_address: str
    service: str = ""
    backend_address: str = ""
    region: str = "north"
    zone: str = "north-1"
    http_address: str = field(default_factory=free_address)
    link_address: str = field(default_factory=free_address)
    admin_address: str = field(default_factory=free_address)
    flags: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> "DaemonProcess":
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.launch_arguments = self._arguments()
        self.process = await asyncio.create_subprocess_exec(
            *self.launch_arguments, env={**os.environ, "PYTHONPATH": str(SOURCE)}
        )
        await self.serving()

    async def serving(self) -> None:
        """Wait until the process accepts calls."""
        async with aiohttp.ClientSession() as session, asyncio.timeout(START_SECONDS):
            while True:
                try:
                    async with session.get(f"http://{self.admin_address}/healthz") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.02)

    async def draining(self) -> None:
        """Wait until the process reports that it is draining, and peers have been notified."""
        async with aiohttp.ClientSession() as session, asyncio.timeout(STOP_SECONDS):
            while True:
                async with session.get(f"http://{self.admin_address}/healthz") as response:
                    if response.status != 200:
                        break
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stopped(self) -> int:
        """Wait for the process to exit; return its exit code."""
        assert self.process is not None
        async with asyncio.timeout(STOP_SECONDS):
            return await self.process.wait()

    def _arguments(self) -> list[str]:
        named = {
            "node": self.node,
            "region": self.region,
            "zone": self.zone,
            "http-address": self.http_address,
            "link-address": self.link_address,
            "admin-address": self.admin_address,
            "control-addresses": self.control_address,
            **self.flags,
        }
        if self.service:
            named["service"] = self.service
            named["endpoint"] = self.node
            named["backend-address"] = self.backend_address
        flags = [f"--{name}={value}" for name, value in named.items()]
        return [sys.executable, "-m", "finchshed", "daemon", *flags]
