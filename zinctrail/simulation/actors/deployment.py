"""A deployment of processes and users in one simulated world, for scenarios of the client library."""

import datetime

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.application as application_actor
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.endpoint as endpoint_actor
import zinctrail.simulation.actors.operator as operator_actor
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.world as simulated_world

ms = durations.ms

START_TIMEOUT = ms(60000)
CONFIGURATION_TIMEOUT = ms(30000)


class Deployment:
    """The processes, endpoints and users of a deployment with one of the shapes in fleet.deployments.PRESETS.

    :param slots: the number of concurrent requests of an endpoint.
    :param plain: whether endpoints do not use the zinctrail library.
    """

    def __init__(
        self, world: simulated_world.World, shape: deployments.Shape, slots: int = 8, plain: bool = False
    ) -> None:
        self.world = world
        self.shape = shape
        self.plain = plain
        self.records = actor_records.Records()
        self.zones = deployments.zones_of(shape)
        self.endpoints: list[endpoint_actor.Endpoint] = []
        self.callers: list[caller_actor.Caller] = []
        self.applications: list[application_actor.Application] = []
        for role, count in (('core', shape['cores']), ('dir', shape['dirs']), ('prox', shape['proxies'])):
            for number in range(count):
                world.add(f'{role}{number}', role, self.zone_at(number))
        self.seeds = [world.nodes[name].location.addr for name in ('core0', 'core1', 'dir0')]
        for node in world.nodes.values():
            node.location.seeds = list(self.seeds)
        for service, count in shape['services'].items():
            for number in range(count):
                self.add_endpoint(service, self.zone_at(number), slots)
        self.operator = operator_actor.Operator(self)

    def zone_at(self, number: int) -> str:
        """Return the name of the zone at an index; the index wraps around."""
        return self.zones[number % len(self.zones)]

    def add_endpoint(self, service: str, zone: str, slots: int) -> None:
        """Add an endpoint that is not started yet."""
        number = len(self.endpoints) + 1
        address = f'10.9.{number >> 8}.{number & 255}:80'
        self.endpoints.append(endpoint_actor.Endpoint(self, f'end{number}', address, service, zone, slots))

    def start(self, config: dict | None = None) -> None:
        """Start all processes and endpoints; return once there is a leader and the configuration is accepted.

        :raises AssertionError: if no leader is elected or the configuration is not accepted.
        """
        world = self.world
        for node in world.nodes.values():
            # Staggered, since real machines never start at the same instant.
            world.after(ms(world.rng.uniform(0, 300)), node.start)
        if not world.run(START_TIMEOUT, lambda: world.leader() is not None):
            raise AssertionError(f'no leader: seed {world.seed}')
        statuses: list[int] = []
        self.operator.change(
            lambda current: current.update(config or deployments.configuration_of(self.shape)),
            lambda status, document: statuses.append(status),
            attempts=100,
        )
        world.run(CONFIGURATION_TIMEOUT, lambda: bool(statuses))
        if statuses != [200]:
            raise AssertionError(f'configuration not accepted: {statuses}, seed {world.seed}')
        for endpoint in self.endpoints:
            world.after(ms(world.rng.uniform(0, 1000)), endpoint.start)
        world.run(ms(2500))

    def running_services(self) -> frozenset[tuple[str, str]]:
        """Return the (service, region) pairs of which an endpoint runs."""
        running = (endpoint for endpoint in self.endpoints if endpoint.up)
        return frozenset((endpoint.service, endpoint.zone.split('/')[0]) for endpoint in running)

    def start_callers(self, rate: float | None = None, per_zone: int = 1, **parameters) -> None:
        """Start callers in each zone that together send `rate` requests per second.

        :param parameters: further parameters of each Caller.
        """
        services = sorted(self.shape['services'])
        rate = rate or self.shape['rate']
        count = len(self.zones) * per_zone
        for number in range(count):
            name = f'caller{len(self.callers)}'
            caller = caller_actor.Caller(self, name, self.zone_at(number), services, rate / count, **parameters)
            self.callers.append(caller)
            caller.start()

    def start_applications(self, count: int = 3, **parameters) -> None:
        """Start applications, spread over the zones."""
        for number in range(count):
            application = application_actor.Application(self, f'app{number}', self.zone_at(number), **parameters)
            self.applications.append(application)
            application.start()

    def stop_load(self, length: datetime.timedelta = ms(8000)) -> None:
        """Switch off callers and applications, and run on for `length` so that requests in progress end."""
        for user in self.callers + self.applications:
            user.on = False
        self.world.run(length)

    def tally(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        counts: dict[str, int] = {}
        for reply in self.records.responses:
            counts[reply.outcome] = counts.get(reply.outcome, 0) + 1
        return counts
