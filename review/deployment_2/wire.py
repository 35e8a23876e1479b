"""HTTP/1.1 as clients, servers, operator and platform of PROTOCOL.md speak it."""

import asyncio
from dataclasses import dataclass, field

Headers = dict[str, str]


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: str
    headers: Headers = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class Answer:
    """What a caller got; status 0 means no whole answer."""

    status: int
    headers: Headers
    body: bytes
    problem: str = ""


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool = False) -> Message | None:
    """Read a whole message; None if the connection ended in front of it."""
    line = await reader.readline()
    if not line:
        return None
    message = Message(line.decode("latin-1").strip())
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        message.headers[name.strip().lower()] = value.strip()
    if not line:
        raise ConnectionError("the connection ended within a head")
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif is_answer:
        message.body = await reader.read()
    return message


def encode(first: str, headers: Headers, body: bytes) -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    *,
    seconds: float,
) -> Answer:
    """Send a request on a new connection and return the answer; a new connection gets a second."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            message = await read_message(reader, is_answer=True)
        if message is None:
            return Answer(0, {}, b"", "closed without an answer")
        return Answer(int(message.first.split(" ")[1]), message.headers, message.body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return Answer(0, {}, b"", f"{type(error).__name__} {error}".strip())
    finally:
        if writer is not None:
            writer.close()
