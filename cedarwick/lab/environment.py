"""What surrounds the senders of a day: the partners' endpoints, the endpoint list, and one agent for each sender."""

import gevent

from cedarwick.lab.day import Day
from cedarwick.lab.endpoint_server import EndpointServer
from cedarwick.lab.listeners import sender_host
from cedarwick.lab.partner import Destination
from cedarwick.lab.register import Agent, EndpointList
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.workload import random_generator

LINGERS = 2.5  # seconds from an endpoint's removal from the list until its server closes


class Environment:
    """Starts, changes and closes the endpoints' servers and the agents; every change goes to the endpoint list.

    Each agent hears of a change late, by a delay that is drawn from the scenario's `news_ms`.
    """

    def __init__(self, day: Day, scenario: Scenario, seed: int, senders: int, record_calls: bool = True) -> None:
        self.day = day
        self.scenario = scenario
        self.record_calls = record_calls
        self.hosts = [sender_host(sender) for sender in range(senders)]
        self.chance = random_generator(seed, 4)
        self.endpoint_list = EndpointList()
        self.servers: list[EndpointServer] = []  # closed ones, too: their outages are part of the history
        self.next_uid = 1
        window = round(max((each.window_ms for each in scenario.priority_classes), default=0.0) * 1000)
        self.destination_models = [
            Destination(number, scenario.partner_of(number), scenario.rules, seed, window)
            for number in range(scenario.destinations())
        ]
        self.agents: list[Agent] = []
        for destination in self.destination_models:
            for _ in range(destination.partner.endpoints):
                self.add_endpoint(destination.number)
        self.agents = [Agent(day, self.endpoint_list, sender) for sender in range(senders)]

    def servers_of(self, destination_number: int) -> list[EndpointServer]:
        """The servers of a destination that are not closed."""
        return [
            server for server in self.servers if server.destination_number == destination_number and not server.closed
        ]

    def add_endpoint(self, destination_number: int, port: int = 0, warming_up: bool = False) -> EndpointServer:
        """A new endpoint, at a port of its own or at that of one that is removed, which is closed first."""
        destination = self.destination_models[destination_number]
        uid = f"s-{self.next_uid:05d}"
        self.next_uid += 1
        if port:
            for old in self.servers:
                if old.port == port and not old.closed:
                    old.close()
        endpoint = destination.add(uid)
        server = EndpointServer(self.day, endpoint, self.hosts, port, self.record_calls)
        if warming_up:
            endpoint.warm_from = self.day.now()
        self.servers.append(server)
        self._tell(server, "up")
        return server

    def drain_endpoint(self, server: EndpointServer) -> None:
        """Mark the endpoint as draining in the list."""
        self._tell(server, "draining")

    def remove_endpoint(self, server: EndpointServer) -> None:
        """Remove the endpoint from the list, and close its server `LINGERS` seconds later."""
        self._tell(server, "removed")
        gevent.spawn_later(LINGERS, server.close)

    def close(self) -> None:
        for agent in self.agents:
            agent.close()
        for server in self.servers:
            if not server.closed:
                server.close()

    def _tell(self, server: EndpointServer, state: str) -> None:
        destination = server.endpoint.destination
        self.endpoint_list.put(server.endpoint.uid, server.port, destination.number, destination.partner.name, state)
        revision = len(self.endpoint_list.changes)
        low, high = self.scenario.news_ms
        for agent in self.agents:
            late = low + (high - low) * float(self.chance.uniform())
            gevent.spawn_later(late / 1000, agent.learn_up_to, revision)
