"""Carries out the planned troubles, each from its begin to its end; they overlap as the schedule has it."""

from collections.abc import Callable

import gevent

from cedarwick.errors import describe
from cedarwick.lab.clients import be_rude, rude_forms
from cedarwick.lab.day import Day
from cedarwick.lab.history import Gone
from cedarwick.lab.partner import Effect
from cedarwick.lab.scenario import PARTNER_TROUBLES
from cedarwick.lab.senders import Instance, SenderNotReadyError
from cedarwick.lab.workload import Planned
from cedarwick.lab.world import World

RESTART = 0.6  # seconds after its end until a sender is started again, at the least


class Troubles:
    """One greenlet for each planned trouble."""

    def __init__(self, day: Day, world: World, instances: list[Instance]) -> None:
        self.day = day
        self.world = world
        self.instances = instances
        self.under_way = 0

    def start(self, planned: list[Planned]) -> None:
        for trouble in planned:
            if trouble.kind != "burst":  # the schedule holds its arrivals already
                self.under_way += 1
                gevent.spawn(self._carry_out, trouble)
            else:
                self.day.history.add(
                    Gone(
                        trouble.number,
                        "burst",
                        trouble.begin,
                        trouble.begin + trouble.length,
                        ["arrivals"],
                        trouble.size,
                    )
                )

    def _carry_out(self, trouble: Planned) -> None:
        self.day.sleep_until(trouble.begin)
        began = self.day.now()
        on: list[str] = []
        try:
            on = self._one(trouble)
        except (OSError, SenderNotReadyError) as error:
            self.day.failed = f"the trouble {trouble.kind} could not be carried out: {describe(error)}"
        finally:
            self.under_way -= 1
            self.day.history.add(Gone(trouble.number, trouble.kind, began, self.day.now(), on, trouble.size))

    def _one(self, trouble: Planned) -> list[str]:
        """Carry it out to its end; whom it met."""
        end = trouble.begin + trouble.length
        if trouble.kind == "replace":
            return self._replace(trouble, end)
        if trouble.kind in PARTNER_TROUBLES:
            return self._at_partners(trouble, end)
        if trouble.kind == "bad-clients":
            return self._bad_clients(trouble, end)
        if trouble.kind in ("platform-silent", "platform-move"):
            return self._platform(trouble, end)
        return self._at_senders(trouble, end)

    def _at_partners(self, trouble: Planned, end: int) -> list[str]:
        ends: list[Callable[[bool], None]] = []
        on = []
        for destination in trouble.destinations:
            stands = self.world.stands_of(destination)
            for stand in stands if trouble.whole else stands[:1]:
                on.append(stand.endpoint.uid)
                ends.append(stand.begin(Effect(trouble.kind, trouble.size, trouble.wait)))
        self.day.sleep_until(end)
        for each in ends:
            each(trouble.cold)
        return on

    def _replace(self, trouble: Planned, end: int) -> list[str]:
        """Endpoints are told to drain, go, and others come; every second one at the address of the one before."""
        on, old = [], []
        for destination in trouble.destinations:
            for stand in list(self.world.stands_of(destination)):
                on.append(stand.endpoint.uid)
                old.append(stand)
                self.world.drain(stand)
        half = trouble.begin + trouble.length // 2
        for place, stand in enumerate(old):
            if place % 2:
                self.world.add(stand.destination, cold=trouble.cold)
        self.day.sleep_until(half)
        for stand in old:
            self.world.remove(stand)
        for place, stand in enumerate(old):
            if place % 2 == 0:
                self.world.add(stand.destination, stand.port, cold=trouble.cold)
        self.day.sleep_until(end)
        return on

    def _at_senders(self, trouble: Planned, end: int) -> list[str]:
        met = [self.instances[number] for number in trouble.senders]
        jobs = [gevent.spawn(self._at_sender, trouble, end, instance) for instance in met]
        gevent.joinall(jobs, raise_error=True)
        return [f"n{instance.number}" for instance in met]

    def _at_sender(self, trouble: Planned, end: int, instance: Instance) -> None:
        if trouble.kind in ("kill", "term"):
            instance.take_down(gently=trouble.kind == "term")
            gevent.sleep(RESTART)
            self.day.sleep_until(end)
            instance.bring_up()
        elif trouble.kind == "stop":
            instance.stop()
            self.day.sleep_until(end)
            instance.go_on()
        elif trouble.kind == "full-folder":
            usual, instance.disk_mb = instance.disk_mb, trouble.size
            self._reconfigure(instance)
            self.day.sleep_until(end)
            instance.disk_mb = usual
            self._reconfigure(instance)
        elif trouble.kind == "reload":
            instance.spoil_configuration()
            instance.reload()
            self.day.sleep_until(end)
            self._reconfigure(instance)

    def _reconfigure(self, instance: Instance) -> None:
        instance.configure()
        instance.reload()

    def _platform(self, trouble: Planned, end: int) -> list[str]:
        agents = self.world.agents
        if trouble.kind == "platform-silent":
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

    def _bad_clients(self, trouble: Planned, end: int) -> list[str]:
        forms = list(rude_forms(self.world.scenario.band[0].name).items())
        number = 0
        while self.day.now() < end:
            instance = self.instances[number % len(self.instances)]
            form, request = forms[number // len(self.instances) % len(forms)]
            if instance.running():
                gevent.spawn(be_rude, self.day, instance, form, request)
            number += 1
            gevent.sleep(1 / max(1.0, trouble.size))
        return [f"n{instance.number}" for instance in self.instances]
