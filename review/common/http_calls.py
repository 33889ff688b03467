"""A plain HTTP/1.1 client and server side on asyncio, with nothing but the standard library."""

import asyncio
import dataclasses
import json
import typing


class BrokenMessageError(Exception):
    """A connection ended, or held something else, before a message was complete."""


@dataclasses.dataclass
class Message:
    """A request or a response: its first line, its headers in lower case, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(' ')[1])

    def headers_to_send(self) -> dict[str, str]:
        """The headers without those of the body's framing, which `encode` sets."""
        return {n: value for n, value in self.headers.items() if n not in ('content-length', 'transfer-encoding')}

    @property
    def document(self) -> typing.Any:
        """The JSON document of the body."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers of a message."""
    try:
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenMessageError('the connection ended before a complete header') from error
    first_line, *lines = text[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The body that the headers announce: in chunks, with a length, or none."""
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            chunks = []
            while size := int((await reader.readline()).split(b';')[0], 16):
                chunks.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
            return b''.join(chunks)
        return await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise BrokenMessageError('the connection ended before a complete body') from error


async def read_message(reader: asyncio.StreamReader) -> Message:
    """A complete message."""
    first_line, headers = await read_head(reader)
    return Message(first_line, headers, await read_body(reader, headers))


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """A message with the length of its body."""
    lines = [first_line, *(f'{name}: {value}' for name, value in headers.items()), f'Content-Length: {len(body)}']
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(
    address: str, method: str, path: str, document: typing.Any = None, timeout_s: float = 1.0, source: str = ''
) -> Message:
    """One call with a JSON body, over a connection of its own; raises OSError or TimeoutError without an answer."""
    host, port = address.rsplit(':', 1)
    body = b'' if document is None else json.dumps(document).encode()
    headers = {'Host': address, 'Connection': 'close'}
    if body:
        headers['Content-Type'] = 'application/json'

    async def exchange() -> Message:
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
        try:
            writer.write(encode(f'{method} {path} HTTP/1.1', headers, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except BrokenMessageError as error:
        raise ConnectionError(str(error)) from error
