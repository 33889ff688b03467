"""An operator that changes configuration items; it resends each change unchanged until the response is conclusive."""

import copy
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

CHANGE_LENGTH = ms(40000)
READ_LENGTH = ms(8000)
CHANGE_FINAL = (200, 400, 409, 413, 422)


def ignore(*args) -> None:
    """Do nothing: the default callback of a caller that needs no response."""


class Operator:
    """Changes items, evacuates zones, and reads the items back."""

    def __init__(self, deployment: 'open_deployment.Deployment', name: str = 'op') -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name

    def record_command(self, what: str, size: int = 1) -> open_records.Command:
        """Record a command that is sent now."""
        command = open_records.Command(what, size, sent_at=self.world.now)
        self.deployment.records.commands.append(command)
        return command

    def change(
        self,
        sets: dict | None = None,
        drops: dict | None = None,
        callback: typing.Callable[[int], typing.Any] = ignore,
        length: datetime.timedelta = CHANGE_LENGTH,
        body: bytes | None = None,
    ) -> None:
        """Change items; the callback takes the status, 0 if no attempt got a response.

        :param sets: {'rules': [...], ...} of complete items.
        :param drops: {'rules': [{name, version}], ...}.
        :param body: sent in place of the document, by a fault that damages it.
        """
        document = {'set': copy.deepcopy(sets or {}), 'drop': copy.deepcopy(drops or {})}
        command = self.record_command('change')
        changes = changes_of(document, command)
        command.size = len(changes)
        self.deployment.records.changes += changes
        raw = body if body is not None else json.dumps(document).encode()

        def on_response(response: 'open_deployment.Response') -> None:
            """Record the status of the command and of each item in it."""
            command.responded_at = self.world.now
            command.status = response.status
            for change in changes:
                change.responded_at = self.world.now
                change.status = response.status
            callback(response.status)
            if response.status == 200:
                self.deployment.report_acknowledged(response.node)

        self.deployment.ask(self.name, 'PATCH', '/v1/items', lambda: raw, on_response, length, final=CHANGE_FINAL)

    def evacuate(self, zone: str, is_evacuated: bool = True) -> None:
        """Evacuate a zone, or end its evacuation."""
        evacuation = open_records.Evacuation(zone, is_evacuated, sent_at=self.world.now)
        self.deployment.records.evacuations.append(evacuation)
        command = self.record_command(f'empty {zone} {is_evacuated}')

        def on_response(response: 'open_deployment.Response') -> None:
            """Record the status, and the evacuation once it is acknowledged."""
            command.responded_at = self.world.now
            command.status = response.status
            if response.status == 200:
                evacuation.acknowledged_at = self.world.now
                self.deployment.report_acknowledged(response.node)

        self.deployment.ask(
            self.name,
            'POST',
            '/v1/cell/empty',
            lambda: {'cell': zone, 'on': is_evacuated},
            on_response,
            terms.TERMS.ack,
        )

    def read(
        self, callback: typing.Callable[[dict], typing.Any] = ignore, length: datetime.timedelta = READ_LENGTH
    ) -> None:
        """Read all items back; the callback takes the document."""
        sent_at = self.world.now

        def on_response(response: 'open_deployment.Response') -> None:
            """Record the items that were read."""
            items = response.document.get('items') if response.status == 200 else None
            self.deployment.records.reads.append(open_records.Read(sent_at, self.world.now, items))
            callback(response.document)

        self.deployment.ask(self.name, 'GET', '/v1/items', lambda: None, on_response, length)


def changes_of(document: dict, command: open_records.Command) -> list[open_records.Change]:
    """Return the change of each item that a document sets or drops, as parts of one command."""
    changes = []
    for part in ('rules', 'pools'):
        for row in document['set'].get(part, ()):
            changes.append(open_records.Change(f'{part}/{row["name"]}', row['version'], row, command.sent_at, command))
        for row in document['drop'].get(part, ()):
            changes.append(open_records.Change(f'{part}/{row["name"]}', row['version'], None, command.sent_at, command))
    return changes
