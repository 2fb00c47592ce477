"""What surrounds the senders of a day: the partners' endpoints, the endpoint list, and one agent for each sender."""

import gevent

from cedarwick.lab.day import Day
from cedarwick.lab.partner import Destination
from cedarwick.lab.register import Agent, Register
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.stand_ins import Stand, host_of
from cedarwick.lab.workload import source

LINGERS = 2.5  # seconds after its removal from the list until a machine is gone


class Environment:
    """Starts, changes and closes the endpoints (`Stand`) and the agents; every change goes to the endpoint list.

    Each agent hears of a change late, by a delay that is drawn from the scenario's `news_ms`.
    """

    def __init__(self, day: Day, scenario: Scenario, seed: int, senders: int, keep: bool = True) -> None:
        self.day = day
        self.scenario = scenario
        self.keep = keep
        self.hosts = [host_of(sender) for sender in range(senders)]
        self.chance = source(seed, 4)
        self.register = Register()
        self.stands: list[Stand] = []  # those that have gone, too: their outages are part of the day
        self.next_uid = 1
        window = round(max((each.window_ms for each in scenario.priority_classes), default=0.0) * 1000)
        self.places = [
            Destination(number, scenario.partner_of(number), scenario.rules, seed, window)
            for number in range(scenario.destinations())
        ]
        self.agents: list[Agent] = []
        for place in self.places:
            for _ in range(place.partner.endpoints):
                self.add(place.number)
        self.agents = [Agent(day, self.register, sender) for sender in range(senders)]

    def stands_of(self, destination: int) -> list[Stand]:
        """The machines of a destination that serve."""
        return [stand for stand in self.stands if stand.destination == destination and not stand.closed]

    def add(self, destination: int, port: int = 0, warming_up: bool = False) -> Stand:
        """A new machine, at a port of its own or at that of one that has gone."""
        place = self.places[destination]
        uid = f"s-{self.next_uid:05d}"
        self.next_uid += 1
        if port:
            for old in self.stands:
                if old.port == port and not old.closed:
                    old.close()
        endpoint = place.add(uid)
        stand = Stand(self.day, endpoint, self.hosts, port, self.keep)
        if warming_up:
            endpoint.warm_from = self.day.now()
        self.stands.append(stand)
        self._tell(stand, "up")
        return stand

    def drain(self, stand: Stand) -> None:
        """The list says that nothing new is wanted there."""
        self._tell(stand, "draining")

    def remove(self, stand: Stand) -> None:
        """It leaves the list, and a while later the machine is gone."""
        self._tell(stand, "removed")
        gevent.spawn_later(LINGERS, stand.close)

    def close(self) -> None:
        for agent in self.agents:
            agent.close()
        for stand in self.stands:
            if not stand.closed:
                stand.close()

    def _tell(self, stand: Stand, state: str) -> None:
        place = stand.endpoint.place
        self.register.put(stand.endpoint.uid, stand.port, place.number, place.partner.name, state)
        revision = len(self.register.changes)
        low, high = self.scenario.news_ms
        for agent in self.agents:
            late = low + (high - low) * float(self.chance.uniform())
            gevent.spawn_later(late / 1000, agent.tell, revision)
