"""Applies the planned faults of a day, each from its begin to its end; they may overlap."""

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

MIN_DOWN_S = 0.6  # the least time from the end of a sender's process to its restart


class FaultRunner:
    """Applies each planned fault in a greenlet of its own."""

    def __init__(self, day: Day, environment: Environment, instances: list[Instance]) -> None:
        self.day = day
        self.environment = environment
        self.instances = instances
        self.under_way = 0

    def start(self, planned: list[PlannedFault]) -> None:
        """Start a greenlet for each fault; `under_way` counts those that have not ended."""
        for fault in planned:
            if fault.kind != "burst":  # the arrivals of a burst are part of the schedule
                self.under_way += 1
                gevent.spawn(self._run_fault, fault)
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

    def _run_fault(self, fault: PlannedFault) -> None:
        self.day.sleep_until(fault.begin)
        began = self.day.now()
        hit: list[str] = []
        try:
            hit = self._apply(fault)
        except (OSError, SenderNotReadyError) as error:
            self.day.failure = f"the fault {fault.kind} could not be applied: {describe(error)}"
        finally:
            self.under_way -= 1
            self.day.history.add(Gone(fault.number, fault.kind, began, self.day.now(), hit, fault.size))

    def _apply(self, fault: PlannedFault) -> list[str]:
        """Apply the fault until its end; the names of the endpoints or senders that it hit."""
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
        end_calls: list[Callable[[bool], None]] = []
        hit = []
        for destination in fault.destinations:
            servers = self.environment.servers_of(destination)
            for server in servers if fault.whole else servers[:1]:
                hit.append(server.endpoint.uid)
                end_calls.append(server.begin_fault(Effect(fault.kind, fault.size, fault.wait)))
        self.day.sleep_until(end)
        for end_fault in end_calls:
            end_fault(fault.warming_up)
        return hit

    def _replace(self, fault: PlannedFault, end: int) -> list[str]:
        """Drain and remove endpoints, and add one for each, every second one at the address of its predecessor."""
        hit, replaced = [], []
        for destination in fault.destinations:
            for server in list(self.environment.servers_of(destination)):
                hit.append(server.endpoint.uid)
                replaced.append(server)
                self.environment.drain_endpoint(server)
        midpoint = fault.begin + fault.length // 2
        for index, server in enumerate(replaced):
            if index % 2:
                self.environment.add_endpoint(server.destination_number, warming_up=fault.warming_up)
        self.day.sleep_until(midpoint)
        for server in replaced:
            self.environment.remove_endpoint(server)
        for index, server in enumerate(replaced):
            if index % 2 == 0:
                self.environment.add_endpoint(server.destination_number, server.port, warming_up=fault.warming_up)
        self.day.sleep_until(end)
        return hit

    def _at_senders(self, fault: PlannedFault, end: int) -> list[str]:
        hit_instances = [self.instances[number] for number in fault.senders]
        jobs = [gevent.spawn(self._at_sender, fault, end, instance) for instance in hit_instances]
        gevent.joinall(jobs, raise_error=True)
        return [f"n{instance.number}" for instance in hit_instances]

    def _at_sender(self, fault: PlannedFault, end: int, instance: Instance) -> None:
        if fault.kind in ("kill", "term"):
            instance.take_down(gently=fault.kind == "term")
            gevent.sleep(MIN_DOWN_S)
            self.day.sleep_until(end)
            instance.bring_up()
        elif fault.kind == "stop":
            instance.stop()
            self.day.sleep_until(end)
            instance.resume()
        elif fault.kind == "full-folder":
            usual_mb, instance.disk_mb = instance.disk_mb, fault.size
            self._reconfigure(instance)
            self.day.sleep_until(end)
            instance.disk_mb = usual_mb
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
                agent.set_silent(True)
            self.day.sleep_until(end)
            for agent in agents:
                agent.set_silent(False)
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
