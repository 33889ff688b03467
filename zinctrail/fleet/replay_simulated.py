"""Replays a recorded day in the simulator, whose checkers then look for violations."""

import zinctrail.errors as errors
import zinctrail.fleet.histogram as histogram
import zinctrail.fleet.replay_events as replay_events
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.application as application_actor
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.checks as checks
import zinctrail.simulation.days as days

ms = durations.ms
# How long the simulated deployment runs before the first event, and after the last one.
START_MS = 1000
END_MS = 15000
DEFAULT_TIMEOUT_MS = 5000


class SimulatedReplay:
    """Replays events in a simulated deployment of the day's shape."""

    def __init__(self, header: dict, seed: int):
        self.scenario = days.Scenario(seed, shape=header['shape'])
        self.world, self.deployment = self.scenario.world, self.scenario.deployment
        self.counts = {}
        self.callers = {}

    def run(self, events: list[dict], speed: float) -> replay_events.Report:
        """Replay all events, `speed` times as fast as recorded."""
        deployment, world = self.deployment, self.world
        deployment.start()
        for zone in deployment.zones:
            self.caller(zone, ())
        self.library = application_actor.Application(deployment, 'app', deployment.zones[0]).library
        world.run(ms(START_MS))
        began = world.now
        for event in events:
            world.at(began + ms(event['at_ms'] / speed), getattr(self, 'do_' + event['do']), event)
        world.run(ms((events[-1]['at_ms'] if events else 0) / speed + END_MS))
        waits = histogram.latency_histogram(
            response.responded_at - response.sent_at for response in deployment.records.responses
        )
        figures = {'outcomes': deployment.tally(), 'calls': self.counts, 'waits_ms': histogram.spread(waits)}
        return replay_events.Report(figures, checks.run(deployment))

    def caller(self, zone: str, home: tuple[str, ...]) -> caller_actor.Caller:
        """Return the client in a zone that sends requests with these home regions."""
        key = (zone, home)
        if key not in self.callers:
            self.callers[key] = caller_actor.Caller(
                self.deployment, f'caller{len(self.callers)}', zone, [], 1, list(home)
            )
        return self.callers[key]

    def do_request(self, event: dict) -> None:
        """Send a request."""
        caller = self.caller(event.get('cell', self.deployment.zones[0]), tuple(event.get('home', ())))
        caller.timeout = ms(event.get('left_ms', DEFAULT_TIMEOUT_MS))
        caller.send_one(event['service'])

    def do_call(self, event: dict) -> None:
        """Make a coordination call."""
        replay_events.make_call(self.library, event, self.counts)

    def do_beat(self, event: dict) -> None:
        """Change the state of an endpoint."""
        endpoint = self.deployment.endpoints[event['end'] % len(self.deployment.endpoints)]
        endpoint.admission.cold = event.get('cold', 0.0)
        if event.get('state') == 'ready' and endpoint.admission.state != 'ready':
            # An endpoint that has drained returns as a new incarnation.
            endpoint.kill()
            endpoint.start()
        else:
            endpoint.set_state(event.get('state', 'ready'))

    def do_operator(self, event: dict) -> None:
        """Change the configuration."""
        if event['verb'] in ('evacuate', 'return'):
            self.deployment.operator.evacuate(event['args'][0], event['verb'] == 'evacuate')
        else:
            self.deployment.operator.change(replay_events.configuration_change(event['verb'], event['args']))

    def do_fault(self, event: dict) -> None:
        """Inject a fault that ends by itself; the checkers require service only from its end on."""
        duration = days.FAULTS[event['name']](self.scenario)
        self.world.after(
            duration,
            lambda: self.deployment.records.losses.append(
                actor_records.Loss(self.world.now, event['name'], self.deployment.running_services())
            ),
        )


def replay(header: dict, events: list[dict], seed: int, speed: float) -> replay_events.Report:
    """Replay a day; raises SettingsError if it contains faults that are unknown to the simulator."""
    unknown = [event['name'] for event in events if event['do'] == 'fault' and event['name'] not in days.FAULTS]
    if unknown:
        raise errors.SettingsError(f'faults unknown to the simulator: {", ".join(sorted(set(unknown)))}')
    return SimulatedReplay(header, seed).run(events, speed)
