"""A put whose answers are lost for some seconds is sent again, while others write the same key."""

import asyncio
import os
import time

import common.case as case
import common.configuration as configuration
import common.deployment as deployment
import common.http_calls as http_calls
import common.lossy_proxy as lossy_proxy
import common.record as record

KEY = 'g1.2d'
# The answers to one caller are lost until the others have made so many puts, some two seconds, and for 5 s at the most;
# it sends its put again after each second of silence.
PUTS, LOST_MOST_S = 30, 5.0
# How much longer it may go on asking.
ASKED_S = 6.0
# The other callers of the small deployment: three, each with a read and a put every so many seconds. Together with the
# one whose answers are lost they make no more than the 41 calls a second of the deployment.
OTHERS = 3
PAUSE_S = 0.2
SILENCE_S = 1.0


class Others:
    """The other callers, who write the key until they have made enough puts or the time is over."""

    def __init__(self, system: deployment.Deployment, events: record.Record, until: float):
        self.system, self.events, self.until = system, events, until
        self.puts = 0

    async def write_on(self, name: str, delay_s: float) -> None:
        """One caller: reads the key and writes it at the revision that it read."""
        number = 0
        await asyncio.sleep(delay_s)
        while self.puts < PUTS and time.monotonic() < self.until:
            began = time.monotonic()
            read = await self.system.operate('GET', f'/v1/cells/{KEY}')
            revision = read.document['revision'] if read.status == 200 else 0
            number += 1
            document = {'value': f'{name}.{number}', 'concerns': revision}
            answer = await self.system.operate('PUT', f'/v1/cells/{KEY}', document)
            self.puts += answer.status == 200
            self.events.write(f'{name} puts {document}: {answer.status} {answer.body.decode()}')
            await asyncio.sleep(max(0.0, began + PAUSE_S - time.monotonic()))


async def put_until_answered(
    events: record.Record, proxies: list[lossy_proxy.LossyProxy], document: dict, until: float
) -> http_calls.Message | None:
    """The caller with the lossy way: the same put, to one address after the other, until there is a clear answer."""
    turn = 0
    while time.monotonic() < until:
        address = proxies[turn % len(proxies)].address
        turn += 1
        events.write(f'A puts {document}, try {turn}')
        try:
            answer = await http_calls.call(address, 'PUT', f'/v1/cells/{KEY}', document, SILENCE_S)
        except (OSError, TimeoutError):
            events.write('A has heard nothing for a second')
            continue
        events.write(f'A is answered {answer.status} {answer.body.decode()}')
        if answer.status not in (429, 500, 502, 503, 504):
            return answer
        await asyncio.sleep(0.1)
    return None


async def play(system: deployment.Deployment, events: record.Record) -> bool:
    """Whether the put that came again got 412, or another revision than it had."""
    await system.start(configuration.change([configuration.route('r1', 7, 'sa')], [configuration.service('sa', 7)]))
    proxies = [
        lossy_proxy.LossyProxy(events, f'{system.network}.{201 + index}', node.address('control_plane'))
        for index, node in enumerate(system.cores)
    ]
    for proxy in proxies:
        await proxy.start()
    first = await system.operate('PUT', f'/v1/cells/{KEY}', {'value': 'first', 'concerns': 0})
    start = first.document['revision']
    began = time.monotonic()
    document = {'value': 'A.1', 'concerns': start}
    for proxy in proxies:
        proxy.loses_answers = case.has_trouble()
    asking = asyncio.create_task(put_until_answered(events, proxies, document, began + LOST_MOST_S + ASKED_S))
    # The others begin once the put of A has taken effect, as anybody can read.
    while (await system.operate('GET', f'/v1/cells/{KEY}')).document['value'] != 'A.1':
        await asyncio.sleep(0.01)
    watched = await system.operate('GET', f'/v1/watch/g1.?after={start}&wait_ms=0')
    had = next(event['revision'] for event in watched.document['events'] if event['value'] == 'A.1')
    events.write(f'a watch shows the value A.1 at revision {had}')
    others = Others(system, events, began + LOST_MOST_S)
    await asyncio.gather(*(others.write_on(f'caller{index}', index * PAUSE_S / OTHERS) for index in range(OTHERS)))
    events.write(f'the others have made {others.puts} puts; answers are lost no more')
    for proxy in proxies:
        proxy.loses_answers = False
    answer = await asking
    for proxy in proxies:
        proxy.stop()
    if answer is None or others.puts < PUTS:
        raise deployment.CaseError('the put got no clear answer, or the others were too slow')
    events.write(f'the put had revision {had}; sent again it got {answer.status} {answer.body.decode()}')
    return answer.status == 412 or answer.document['revision'] != had


if __name__ == '__main__':
    case.run(play, os.path.dirname(os.path.abspath(__file__)))
