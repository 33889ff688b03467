"""A proxy between a caller and a control node: it passes calls on, and loses answers while it is told to."""

import asyncio
import contextlib

import common.http_calls as http_calls
import common.record as record


class LossyProxy:
    """Listens on an address of its own for one control node; each connection carries one call."""

    def __init__(self, events: record.Record, ip: str, target: str):
        self.record = events
        self.address = f'{ip}:{target.rsplit(":", 1)[1]}'
        self.target = target
        # Whether the answer of a call is lost on its way, decided when the answer comes.
        self.loses_answers = False
        self.lost = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.rsplit(':', 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one call on, and its answer back, unless that is lost."""
        host, port = self.target.rsplit(':', 1)
        with contextlib.suppress(OSError, http_calls.BrokenMessageError):
            request = await http_calls.read_message(reader)
            node_reader, node_writer = await asyncio.open_connection(host, int(port))
            node_writer.write(http_calls.encode(request.first_line, request.headers_to_send(), request.body))
            answer = await http_calls.read_message(node_reader)
            node_writer.close()
            if self.loses_answers:
                self.lost += 1
                self.record.write(f'LOST on its way: {answer.status} {answer.body.decode()} to {request.first_line}')
                # Silence: the caller hears nothing and gives up by itself.
                await reader.read()
            else:
                writer.write(http_calls.encode(answer.first_line, answer.headers_to_send(), answer.body))
                await writer.drain()
        writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
