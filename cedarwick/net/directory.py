"""The platform's list of receivers: its watch, and uids to numbers and back."""

import json
import time
from collections.abc import Callable
from typing import Any

import gevent
import gevent.event

from cedarwick.interface import ListChange, Listing, Phase, row
from cedarwick.net.assignment import Assignment, address, place
from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.net.http import Answer, Unreadable
from cedarwick.net.sockets import connected

PHASES = {"up": Phase.READY, "draining": Phase.DRAINING, "removed": Phase.GONE}
CONNECT = 1.0  # seconds in which a connection to the platform must come up
SILENT = 5.0  # seconds: an empty line comes every two, so two of them are missing
LONGEST_LINE = 1 << 22
LARGEST_RATE = 1_000_000  # calls a second; what is listed above that is no rate
FORGET = 60.0  # seconds after a receiver has gone: longer than any shot to it, and than the decisions know it


class Directory:
    """Owns the watch; tells the desk what changed, in the numbers that the decisions know."""

    def __init__(self, assignment: Assignment, counters: Counters,
                 tell: Callable[[ListChange, list[Listing]], None], tell_failed: Callable[[], None]) -> None:
        self.platform = assignment.platform
        self.zones = row(assignment.settings, "zones")
        self.kinds = row(assignment.settings, "kinds")
        self.counters = counters
        self.tell = tell
        self.tell_failed = tell_failed
        self.version = 0
        self.numbers: dict[str, int] = {}
        self.next_number = 1  # never used twice: a new receiver must not inherit what is known of a gone one
        self.addresses: dict[int, tuple[str, int]] = {}
        self.gone_since: dict[str, float] = {}  # by uid
        self.asked = gevent.event.Event()
        self.moved = False  # the platform has another address since the watch was opened
        self.following: gevent.Greenlet | None = None
        self.known = False  # whether any receiver has been learned of
        self.last: dict[str, Listing] = {}  # by uid: the newest line of the list as the platform gave it
        self.held_out: set[str] = set()  # uids that the operators took out: draining, whatever the list says

    def learn(self, news: dict[str, Any], saved: bool = False) -> None:
        """Pass on one piece of list news; ValueError where it cannot be read."""
        try:
            entries, version, whole = list(news["targets"]), int(news["rev"]), bool(news["all"])
        except (KeyError, TypeError) as error:
            raise ValueError(f"list news without {error}") from None
        if whole and not entries and self.known:
            # Danger: platforms that start anew have an empty list for a moment; believed, it would end all traffic.
            raise ValueError("a whole list with nothing in it")
        listings, named = [], set()
        for entry in entries:
            try:
                listing = self.last[str(entry["uid"])] = self._listing(entry)
                listings.append(self._as_held(str(entry["uid"]), listing))
                if listing.phase is not Phase.GONE:
                    named.add(str(entry["uid"]))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                # Danger: one line that cannot be read would keep all others from being heard.
                self.counters.trouble("a line of the list cannot be read", f"{type(error).__name__}: {error}")
                whole = False  # Danger: a receiver whose line is spoilt would be taken for one that has gone
        self._forget(named, whole)
        self.version = version
        self.known = self.known or bool(listings)
        self.tell(ListChange.SAVED if saved else ListChange.WHOLE if whole else ListChange.CHANGES, listings)

    def _forget(self, named: set[str], whole: bool) -> None:
        """Danger: where receivers are replaced all day, those that have gone add up."""
        now = time.monotonic()
        for uid in named:
            self.gone_since.pop(uid, None)
        if whole:
            for uid in self.numbers.keys() - named:
                self.gone_since.setdefault(uid, now)
        for uid, since in list(self.gone_since.items()):
            if now - since > FORGET:
                del self.gone_since[uid]
                self.last.pop(uid, None)
                self.addresses.pop(self.numbers.pop(uid), None)

    def knows(self, uid: str) -> bool:
        """Whether the list has named this receiver, and not so long ago that it is forgotten."""
        return uid in self.last

    def hold_out(self, uids: set[str]) -> None:
        """From now on these receivers are draining for the decisions, until they are left out of a later set."""
        changed = self.held_out ^ uids
        self.held_out = set(uids)
        told = [self._as_held(uid, self.last[uid]) for uid in sorted(changed) if uid in self.last]
        if told:
            self.tell(ListChange.CHANGES, told)

    def _as_held(self, uid: str, listing: Listing) -> Listing:
        held = uid in self.held_out and listing.phase is Phase.READY
        return listing._replace(phase=Phase.DRAINING) if held else listing

    def address_of(self, receiver: int) -> tuple[str, int]:
        return self.addresses[receiver]

    def ask(self) -> None:
        """The decisions want a broken watch opened anew now."""
        self.asked.set()

    def move(self, platform: tuple[str, int]) -> None:
        """The platform has another address: the watch leaves the old one at once."""
        self.platform = platform
        # Danger: another agent may count its versions anew, and what follows ours would leave something out.
        self.version = 0
        self.moved = True
        self.asked.set()
        if self.following is not None:
            self.following.kill(block=False)

    def watch(self) -> None:
        """Never returns: keeps a watch open from the last version; the decisions say when a broken one opens anew."""
        while True:
            self.moved = False
            self.following = gevent.spawn(self._follow_to_its_end)
            self.following.join()
            self.asked.clear()  # Danger: what was asked before it broke would open it at once
            self.tell_failed()
            if not self.moved:
                self.asked.wait()

    def _follow_to_its_end(self) -> None:
        try:
            self._follow()
        except (OSError, Unreadable, ValueError) as error:
            self.counters.trouble("the watch of the list broke", error)

    def _follow(self) -> None:
        lines = Buffer()
        answer = Answer(lines.append)
        raw = Buffer()
        sock = connected(self.platform, CONNECT)
        try:
            sock.settimeout(SILENT)
            host = f"{self.platform[0]}:{self.platform[1]}"
            sock.sendall(f"GET /catalog/members?follow=1&since={self.version} HTTP/1.1\r\n"
                         f"Host: {host}\r\nAccept: application/json\r\n\r\n".encode())
            self.counters.add("watches opened")
            # Danger: a dead platform says nothing, and its list would be believed for ever.
            while not answer.complete and raw.fill(sock):
                answer.feed(raw)
                if answer.status not in (0, 200):
                    raise Unreadable(f"status {answer.status}")
                while (end := lines.find(b"\n")) >= 0:
                    line = lines.take(end + 1).strip()
                    if line:
                        self.learn(json.loads(line))
                if len(lines) > LONGEST_LINE:
                    raise Unreadable("a line without an end")
            raise Unreadable("the watch ended")
        finally:
            sock.close()

    def _listing(self, entry: dict[str, Any]) -> Listing:
        uid = str(entry["uid"])
        phase = PHASES.get(entry["state"])
        if phase is None:
            raise ValueError(f"unknown state {entry['state']!r}")
        if uid not in self.numbers:
            self.numbers[uid] = self.next_number
            self.next_number += 1
        number = self.numbers[uid]
        if phase is Phase.GONE:
            self.gone_since.setdefault(uid, time.monotonic())
        if phase is not Phase.GONE or "endpoint" in entry:
            self.addresses[number] = address(str(entry["endpoint"]))
        return Listing(number, place(self.zones, entry.get("az")), place(self.kinds, entry.get("model")),
                       int(entry.get("pod_group", 0)), phase, self._rate(uid, entry.get("capacity_hint", 0.0)))

    def _rate(self, uid: str, hint: object) -> float:
        """The listed rate; where it is no rate, the one that was listed before, or none."""
        if isinstance(hint, (int, float)) and 0 <= hint <= LARGEST_RATE:
            return float(hint)
        # Danger: one spoilt figure would hide a drain that stands in the same line, or let everything go at once.
        self.counters.trouble("a listed rate that is none", f"{uid}: {str(hint)[:40]}")
        return self.last[uid].rate if uid in self.last else 0.0
