"""The senders' environment on a day: the partners' endpoints, the endpoint list, and an agent for each sender."""

import gevent

from cedarwick.lab.day import Day
from cedarwick.lab.endpoint_server import EndpointServer
from cedarwick.lab.listeners import sender_host
from cedarwick.lab.partner import Destination
from cedarwick.lab.register import Agent, EndpointList
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.workload import random_generator

CLOSE_DELAY_S = 2.5  # from an endpoint's removal from the list until its server closes


class Environment:
    """Starts, changes and closes endpoint servers and agents, and publishes each change in the endpoint list.

    Each agent learns of a change after a delay of its own, drawn from the scenario's `news_ms`.
    """

    def __init__(self, day: Day, scenario: Scenario, seed: int, senders: int, record_calls: bool = True) -> None:
        self.day = day
        self.scenario = scenario
        self.record_calls = record_calls
        self.hosts = [sender_host(sender) for sender in range(senders)]
        self.delay_generator = random_generator(seed, 4)
        self.endpoint_list = EndpointList()
        self.servers: list[EndpointServer] = []  # with closed ones, whose outages belong to the history
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
        """The open servers of a destination."""
        return [
            server for server in self.servers if server.destination_number == destination_number and not server.closed
        ]

    def add_endpoint(self, destination_number: int, port: int = 0, warming_up: bool = False) -> EndpointServer:
        """Start an endpoint on a new port, or on that of a removed endpoint, whose server is closed first."""
        destination = self.destination_models[destination_number]
        uid = f"s-{self.next_uid:05d}"
        self.next_uid += 1
        if port:
            for predecessor in self.servers:
                if predecessor.port == port and not predecessor.closed:
                    predecessor.close()
        endpoint = destination.add_endpoint(uid)
        server = EndpointServer(self.day, endpoint, self.hosts, port, self.record_calls)
        if warming_up:
            endpoint.warm_up_began = self.day.now()
        self.servers.append(server)
        self._publish(server, "up")
        return server

    def drain_endpoint(self, server: EndpointServer) -> None:
        """List the endpoint as draining."""
        self._publish(server, "draining")

    def remove_endpoint(self, server: EndpointServer) -> None:
        """Remove the endpoint from the list, and close its server `CLOSE_DELAY_S` later."""
        self._publish(server, "removed")
        gevent.spawn_later(CLOSE_DELAY_S, server.close)

    def close(self) -> None:
        """Close all agents and endpoint servers."""
        for agent in self.agents:
            agent.close()
        for server in self.servers:
            if not server.closed:
                server.close()

    def _publish(self, server: EndpointServer, state: str) -> None:
        destination = server.endpoint.destination
        self.endpoint_list.put(server.endpoint.uid, server.port, destination.number, destination.partner.name, state)
        revision = len(self.endpoint_list.changes)
        low, high = self.scenario.news_ms
        for agent in self.agents:
            delay_ms = low + (high - low) * float(self.delay_generator.uniform())
            gevent.spawn_later(delay_ms / 1000, agent.learn_up_to, revision)
