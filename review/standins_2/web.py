"""A small HTTP/1.1 server and client for the stand-ins, on asyncio alone."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

Headers = list[tuple[str, str]]
LIMIT = 1 << 20


@dataclasses.dataclass
class Message:
    """A request or an answer; `first` are the words of its first line."""

    first: list[str]
    headers: Headers
    body: bytes = b''

    def get(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ''


class Channel:
    """A server's side of one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def gone(self) -> bool:
        """Return whether the peer has closed or reset the connection."""
        broken = self.reader.exception() is not None
        return broken or self.reader.at_eof() or self.writer.is_closing()

    async def answer(
        self, status: int, headers: Headers, body: bytes = b''
    ) -> None:
        """Send a whole answer."""
        length = ('Content-Length', str(len(body)))
        self.writer.write(format_head(f'{status} X', [*headers, length]))
        self.writer.write(body)
        await self.writer.drain()

    async def begin(self, headers: Headers) -> None:
        """Begin an answer of status 200 that is sent in chunks."""
        chunked = ('Transfer-Encoding', 'chunked')
        self.writer.write(format_head('200 OK', [*headers, chunked]))
        await self.writer.drain()

    async def chunk(self, part: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.writer.write(f'{len(part):x}\r\n'.encode() + part + b'\r\n')
        await self.writer.drain()


def format_head(first: str, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {first}', *(f'{key}: {val}' for key, val in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its body, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = [
        (key.strip(), val.strip())
        for key, _, val in (line.partition(':') for line in lines[1:] if line)
    ]
    message = Message(lines[0].split(' ', 2), headers)
    length = message.get('content-length')
    if length:
        message.body = await reader.readexactly(int(length))
    elif message.get('transfer-encoding'):
        message.body = await read_chunks(reader)
    return message


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks; an incomplete one raises an error."""
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]


Handler = Callable[[Message, Channel], Awaitable[None]]


async def serve(address: str, handle: Handler) -> asyncio.Server:
    """Listen, and pass each request to a handler."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request = await read_message(reader)
                if request is None:
                    break
                await handle(request, channel)
        writer.close()

    host, _, port = address.rpartition(':')
    return await asyncio.start_server(run, host, int(port), limit=LIMIT)


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a new connection."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port), limit=LIMIT)


def format_request(
    method: str, target: str, headers: Headers, body: bytes = b''
) -> bytes:
    """Return a request as it is sent."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{key}: {val}' for key, val in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b'',
    limit: float = 5,
) -> Message | None:
    """Send a request on a new connection; return the answer, if any."""
    try:
        async with asyncio.timeout(limit):
            reader, writer = await connect(address)
            try:
                writer.write(format_request(method, target, headers, body))
                await writer.drain()
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return None
