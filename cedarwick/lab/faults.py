"""Carries out the planned faults, each from its begin to its end; they overlap as the schedule has it."""

from collections.abc import Callable

import gevent

from cedarwick.errors import describe
from cedarwick.lab.clients import bad_client_requests, run_bad_client
from cedarwick.lab.day import Day
from cedarwick.lab.environment import Environment
from cedarwick.lab.history import Gone
from cedarwick.lab.partner import Effect
from cedarwick.lab.scenario import PARTNER_FAULTS
from cedarwick.lab.senders import Instance, SenderNotReadyError
from cedarwick.lab.workload import PlannedFault

RESTART = 0.6  # seconds after its end until a sender is started again, at the least


class Faults:
    """One greenlet for each planned fault."""

    def __init__(self, day: Day, environment: Environment, instances: list[Instance]) -> None:
        self.day = day
        self.environment = environment
        self.instances = instances
        self.under_way = 0

    def start(self, planned: list[PlannedFault]) -> None:
        for fault in planned:
            if fault.kind != "burst":  # the schedule holds its arrivals already
                self.under_way += 1
                gevent.spawn(self._carry_out, fault)
            else:
                self.day.history.add(
                    Gone(
                        fault.number,
                        "burst",
                        fault.begin,
                        fault.begin + fault.length,
                        ["arrivals"],
                        fault.size,
                    )
                )

    def _carry_out(self, fault: PlannedFault) -> None:
        self.day.sleep_until(fault.begin)
        began = self.day.now()
        on: list[str] = []
        try:
            on = self._one(fault)
        except (OSError, SenderNotReadyError) as error:
            self.day.failure = f"the fault {fault.kind} could not be carried out: {describe(error)}"
        finally:
            self.under_way -= 1
            self.day.history.add(Gone(fault.number, fault.kind, began, self.day.now(), on, fault.size))

    def _one(self, fault: PlannedFault) -> list[str]:
        """Carry the fault out to its end; the names of those that it hit."""
        end = fault.begin + fault.length
        if fault.kind == "replace":
            return self._replace(fault, end)
        if fault.kind in PARTNER_FAULTS:
            return self._at_partners(fault, end)
        if fault.kind == "bad-clients":
            return self._bad_clients(fault, end)
        if fault.kind in ("platform-silent", "platform-move"):
            return self._platform(fault, end)
        return self._at_senders(fault, end)

    def _at_partners(self, fault: PlannedFault, end: int) -> list[str]:
        ends: list[Callable[[bool], None]] = []
        on = []
        for destination in fault.destinations:
            servers = self.environment.servers_of(destination)
            for server in servers if fault.whole else servers[:1]:
                on.append(server.endpoint.uid)
                ends.append(server.begin(Effect(fault.kind, fault.size, fault.wait)))
        self.day.sleep_until(end)
        for each in ends:
            each(fault.warming_up)
        return on

    def _replace(self, fault: PlannedFault, end: int) -> list[str]:
        """Endpoints drain and are removed, and others are added, every second one at the address of its predecessor."""
        on, old = [], []
        for destination in fault.destinations:
            for server in list(self.environment.servers_of(destination)):
                on.append(server.endpoint.uid)
                old.append(server)
                self.environment.drain(server)
        half = fault.begin + fault.length // 2
        for place, server in enumerate(old):
            if place % 2:
                self.environment.add(server.destination, warming_up=fault.warming_up)
        self.day.sleep_until(half)
        for server in old:
            self.environment.remove(server)
        for place, server in enumerate(old):
            if place % 2 == 0:
                self.environment.add(server.destination, server.port, warming_up=fault.warming_up)
        self.day.sleep_until(end)
        return on

    def _at_senders(self, fault: PlannedFault, end: int) -> list[str]:
        met = [self.instances[number] for number in fault.senders]
        jobs = [gevent.spawn(self._at_sender, fault, end, instance) for instance in met]
        gevent.joinall(jobs, raise_error=True)
        return [f"n{instance.number}" for instance in met]

    def _at_sender(self, fault: PlannedFault, end: int, instance: Instance) -> None:
        if fault.kind in ("kill", "term"):
            instance.take_down(gently=fault.kind == "term")
            gevent.sleep(RESTART)
            self.day.sleep_until(end)
            instance.bring_up()
        elif fault.kind == "stop":
            instance.stop()
            self.day.sleep_until(end)
            instance.resume()
        elif fault.kind == "full-folder":
            usual, instance.disk_mb = instance.disk_mb, fault.size
            self._reconfigure(instance)
            self.day.sleep_until(end)
            instance.disk_mb = usual
            self._reconfigure(instance)
        elif fault.kind == "reload":
            instance.spoil_configuration()
            instance.reload()
            self.day.sleep_until(end)
            self._reconfigure(instance)

    def _reconfigure(self, instance: Instance) -> None:
        instance.configure()
        instance.reload()

    def _platform(self, fault: PlannedFault, end: int) -> list[str]:
        agents = self.environment.agents
        if fault.kind == "platform-silent":
            for agent in agents:
                agent.hush(True)
            self.day.sleep_until(end)
            for agent in agents:
                agent.hush(False)
        else:
            for agent, instance in zip(agents, self.instances, strict=True):
                agent.move()
                self._reconfigure(instance)
            self.day.sleep_until(end)
        return [f"n{instance.number}" for instance in self.instances]

    def _bad_clients(self, fault: PlannedFault, end: int) -> list[str]:
        forms = list(bad_client_requests(self.environment.scenario.priority_classes[0].name).items())
        number = 0
        while self.day.now() < end:
            instance = self.instances[number % len(self.instances)]
            form, request = forms[number // len(self.instances) % len(forms)]
            if instance.running():
                gevent.spawn(run_bad_client, self.day, instance, form, request)
            number += 1
            gevent.sleep(1 / max(1.0, fault.size))
        return [f"n{instance.number}" for instance in self.instances]
