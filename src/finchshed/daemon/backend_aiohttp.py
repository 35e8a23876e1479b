"""Back-end client on aiohttp's client session."""

import asyncio
from collections.abc import Callable

import aiohttp
import yarl

from finchshed.common.context import HEADER_RAN
from finchshed.daemon.backend import (
    BackendAnswer,
    BackendAnswerTooLarge,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BackendTimedOut,
    BackendUnreached,
)
from finchshed.daemon.request import end_to_end_headers

STATUS_SERVICE_UNAVAILABLE = 503
HEADER_DRAINING = "finchshed-draining"


class AiohttpBackend:
    """Sends requests to the back end at ``address``.

    Parameters
    ----------
    address
        ``a.b.c.d:port`` of the back end.
    max_connections
        Connections kept at a time.
    connect_timeout_seconds
        Time to open a connection.
    """

    def __init__(self, address: str, max_connections: int, connect_timeout_seconds: float) -> None:
        self._base = f"http://{address}"
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_seconds)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=max_connections, keepalive_timeout=60),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        )
        # A request must never be sent twice without the retry budget knowing.
        self._session._retry_connection = False
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self, request: BackendRequest, on_result: Callable[[BackendResult], None]
    ) -> Callable[[], object]:
        """Send a request; ``on_result`` is called once. Return what cancels it."""

        async def run() -> None:
            on_result(await self._run(request))

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task.cancel

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _run(self, request: BackendRequest) -> BackendResult:
        url = yarl.URL(self._base + request.path, encoded=True)
        try:
            async with asyncio.timeout(request.timeout_seconds):
                async with self._session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=request.body or None,
                    allow_redirects=False,
                    timeout=self._timeout,
                ) as response:
                    return await self._take(response, request.max_answer_bytes)
        except aiohttp.ClientConnectorError as error:
            return BackendUnreached(str(error))
        except aiohttp.ConnectionTimeoutError:
            return BackendUnreached("connect timed out")
        except TimeoutError:
            return BackendTimedOut()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return BackendBroken(f"{type(error).__name__}: {error}")

    async def _take(self, response: aiohttp.ClientResponse, max_answer_bytes: int) -> BackendResult:
        if (response.content_length or 0) > max_answer_bytes:
            response.close()
            return BackendAnswerTooLarge()
        parts: list[bytes] = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > max_answer_bytes:
                response.close()
                return BackendAnswerTooLarge()
            parts.append(part)
        refused = (
            response.status == STATUS_SERVICE_UNAVAILABLE
            and response.headers.get(HEADER_RAN) == "no"
        )
        return BackendAnswer(
            status=response.status,
            headers=end_to_end_headers(response.raw_headers),
            body=b"".join(parts),
            ran=not refused,
            draining=response.headers.get(HEADER_DRAINING) == "1",
        )
