"""A client of the platform: one request over a connection of its own."""

import asyncio

import common.configuration as configuration
import common.deployment as deployment
import common.http_calls as http_calls


async def request(
    system: deployment.Deployment,
    proxy: deployment.Node,
    path: str,
    deadline_ms: int = 2500,
    method: str = 'GET',
    body: bytes = b'',
) -> tuple[str, http_calls.Message | None]:
    """Send one try; gives its id and its answer, None without one in time."""
    attempt = system.new_attempt()
    host, port = proxy.address('front_http').rsplit(':', 1)
    headers = {
        'Host': configuration.HOST,
        'Zinctrail-Attempt-Id': attempt,
        'Zinctrail-Deadline-Remaining': str(deadline_ms),
    }

    async def exchange() -> http_calls.Message:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(http_calls.encode(f'{method} {path} HTTP/1.1', headers, body))
            return await http_calls.read_message(reader)
        finally:
            writer.close()

    try:
        return attempt, await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (OSError, TimeoutError, http_calls.BrokenMessageError):
        return attempt, None
