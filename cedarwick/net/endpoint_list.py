"""Endpoint discovery: the watch of the platform's list of receivers, and the numbers that stand for their uids.

Names in `_S` are seconds. The service runs `watch`; updates go to the dispatcher through `report_update`.
"""

import time
from collections.abc import Callable
from typing import Any

import gevent
import gevent.event

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, list_setting
from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import Assignment, parse_address, setting_index
from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.json_objects import JsonObjectReader
from cedarwick.net.sockets import open_connection

PHASES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
CONNECT_TIMEOUT_S = 1.0  # for a connection to the platform to come up
ANSWER_TIMEOUT_S = 1.0  # for the first byte of the answer to a call for the list: the agent answers at once
LINE_TIMEOUT_S = 4.2  # until a line ends: an empty one comes every two seconds, so two of them are missing
UNREAD_BYTES_TIMEOUT_S = 0.01  # for bytes that came before the time-out, as after a stop of the process
STABLE_WATCH_S = 1.0  # a watch that lasted this long after its answer does not count as a failed call
ADDRESS_CHANGE_GRACE_S = 4.0  # after a move: for so long a new agent that is not up yet is called again soon
MAX_OBJECT_BYTES = 1 << 22  # one JSON object of the list
MAX_CALLS_PER_SECOND = 1_000_000  # a listed rate above this is no rate
FORGET_GONE_AFTER_S = 60.0  # longer than any attempt to a receiver, and than the decisions know it


class InvalidUpdateError(CedarwickError, ValueError):
    """An update of the list that cannot be read or believed; the list stays as it was."""

    code = "CW303"
    remedy = "ask the platform what its list says; until then the sender goes on with the last good list"


class EndpointList:
    """Owns the watch; passes changes to the dispatcher, with receiver numbers in place of uids."""

    def __init__(
        self,
        assignment: Assignment,
        counters: Counters,
        report_update: Callable[[EndpointUpdate, list[ListedEndpoint]], None],
        report_failure: Callable[[], None],
    ) -> None:
        self.platform = assignment.platform
        self.zones = list_setting(assignment.settings, "zones")
        self.kinds = list_setting(assignment.settings, "kinds")
        self.counters = counters
        self.report_update = report_update
        self.report_failure = report_failure
        self.version = 0  # of the last update that was passed on; 0 asks for the full list
        self.needs_full_list = False  # part of an update could not be read, or was out of order
        self.receiver_numbers: dict[str, int] = {}
        self.uids_by_number: dict[int, str] = {}  # by number
        self.next_number = 1  # never used twice: a new receiver must not inherit what is known of a gone one
        self.addresses: dict[int, tuple[str, int]] = {}
        self.removed_at: dict[str, float] = {}  # by uid
        self.reopen_requested = gevent.event.Event()
        self.address_changed = False  # the platform has another address since the watch was opened
        self.address_changed_at = -ADDRESS_CHANGE_GRACE_S
        self.connected = False  # the last call got a connection
        self.was_stable = False  # the last watch was answered, and lasted for `STABLE_WATCH_S`
        self.failure_reported = False  # the call was reported as failed, but an answer is still awaited
        self.refused = False  # it was answered with another status
        self.full_list_requested = False  # by the call for this watch, since the one before was unclear
        self.first_update = gevent.event.Event()  # set once the agent has sent its first update, or failed to
        self.watch_greenlet: gevent.Greenlet | None = None
        self.has_receivers = False  # whether any receiver has been learned of
        self.latest_listings: dict[
            str, ListedEndpoint
        ] = {}  # by uid: the newest line of the list as the platform gave it
        self.suspended: set[str] = set()  # uids suspended by the operators: draining even if the list says ready

    def apply_update(self, update: dict[str, Any], saved: bool = False) -> bool:
        """Pass on one update of the list.

        Returns False where a line of it cannot be read; raises `InvalidUpdateError` where none of it can be used.
        """
        try:
            entries, version, whole = list(update["targets"]), int(update["rev"]), update["all"]
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise InvalidUpdateError(f"a list update without {error}") from None
        if not isinstance(whole, bool):
            raise InvalidUpdateError(f"whole or changes: {str(whole)[:40]!r}")
        if version < self.version:
            # A late update would undo a drain. If the agent restarted its count instead, asking for the full list
            # (`needs_full_list`) accepts the new one.
            self.needs_full_list = True
            raise InvalidUpdateError(f"version {version} after {self.version}")
        listings, named, clear = [], set(), True
        for entry in entries:
            uid = ""
            try:
                uid = _uid(entry["uid"])
                listing = self._listing(uid, entry)
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                # One unreadable line must not block all others.
                self.counters.warning(
                    "a line of the list cannot be read", InvalidUpdateError(f"{type(error).__name__}: {error}")
                )
                clear = False
                if uid not in self.latest_listings:
                    continue
                listing = self.latest_listings[uid]  # if left out of a full list, it would count as removed
            self.latest_listings[uid] = listing
            listings.append(self._with_suspension(uid, listing))
            if listing.phase is not EndpointState.REMOVED:
                named.add(uid)
        if whole and not listings and self.has_receivers:
            # A platform that restarts has an empty list for a moment; accepting it would stop all traffic.
            raise InvalidUpdateError("a whole list with nothing in it")
        self._forget(named, whole)
        self.version = version
        # Later deltas do not repeat what an unreadable line said; only a full list does.
        self.needs_full_list = not clear or self.needs_full_list and not whole
        self.has_receivers = self.has_receivers or bool(listings)
        self.report_update(
            EndpointUpdate.CACHED if saved else EndpointUpdate.FULL if whole else EndpointUpdate.DELTA, listings
        )
        return clear

    def _forget(self, named: set[str], whole: bool) -> None:
        """Delete the records of receivers that left long ago; without this, replacements add up in memory."""
        now = time.monotonic()
        for uid in named:
            self.removed_at.pop(uid, None)
        if whole:
            for uid in self.receiver_numbers.keys() - named:
                self.removed_at.setdefault(uid, now)
        for uid, since in list(self.removed_at.items()):
            if now - since > FORGET_GONE_AFTER_S:
                del self.removed_at[uid]
                self.latest_listings.pop(uid, None)
                number = self.receiver_numbers.pop(uid)
                del self.uids_by_number[number]
                self.addresses.pop(number, None)

    def knows(self, uid: str) -> bool:
        """Whether the list has named this receiver, and not so long ago that it is forgotten."""
        return uid in self.latest_listings

    def set_suspended(self, uids: set[str]) -> None:
        """Set the suspended uids: the decisions see these receivers as draining, until a later set omits them."""
        changed = self.suspended ^ uids
        self.suspended = set(uids)
        listings = [
            self._with_suspension(uid, self.latest_listings[uid])
            for uid in sorted(changed)
            if uid in self.latest_listings
        ]
        if listings:
            self.report_update(EndpointUpdate.DELTA, listings)

    def _with_suspension(self, uid: str, listing: ListedEndpoint) -> ListedEndpoint:
        suspended_now = uid in self.suspended and listing.phase is EndpointState.READY
        return listing._replace(phase=EndpointState.DRAINING) if suspended_now else listing

    def uid_of(self, receiver: int) -> str:
        """The uid of a receiver by number; empty where it is not known (any more)."""
        return self.uids_by_number.get(receiver, "")

    def address_of(self, receiver: int) -> tuple[str, int]:
        """Host and port of a receiver by number; `KeyError` where it is not known (any more)."""
        return self.addresses[receiver]

    def reopen_watch(self) -> None:
        """Open a watch that broke, or that was never answered, again now; the decisions order this."""
        self.reopen_requested.set()
        if self.failure_reported and self.watch_greenlet is not None:
            self.watch_greenlet.kill(block=False)

    def change_address(self, platform: tuple[str, int]) -> None:
        """Move the watch to another address of the platform, at once."""
        self.platform = platform
        # Another agent may count versions differently; changes since our version could omit something.
        self.version = 0
        self.address_changed, self.address_changed_at = True, time.monotonic()
        self.reopen_requested.set()
        if self.watch_greenlet is not None:
            self.watch_greenlet.kill(block=False)

    def watch(self) -> None:
        """Never returns: keeps a watch open, from the last version on.

        A watch that lasted is opened again at once: its end is no refusal, and the agent on this machine answers
        cheaply. So is one that is to ask for the full list. After a failed call the decisions say when.
        """
        while True:
            self.address_changed = self.was_stable = self.failure_reported = self.refused = self.connected = False
            self.watch_greenlet = gevent.spawn(self._follow_to_its_end)
            self.watch_greenlet.join()
            first = self.needs_full_list and not self.full_list_requested
            self.full_list_requested = self.needs_full_list
            if self.address_changed or self.was_stable or first:
                continue
            self.first_update.set()
            # Report the failure, unless `_more` has done so. A refusal is reported again, so that the wait starts with
            # it: otherwise all senders that an overloaded discovery refuses late would call again at once.
            if self.refused or not self.failure_reported:
                self._call_failed()
            # An agent at a new address may not be up yet: keep calling, which costs nobody anything.
            soon = not self.connected and time.monotonic() - self.address_changed_at < ADDRESS_CHANGE_GRACE_S
            self.reopen_requested.wait(STABLE_WATCH_S if soon else None)

    def _call_failed(self) -> None:
        self.reopen_requested.clear()  # a request from before the failure must not open the next watch at once
        self.report_failure()

    def _follow_to_its_end(self) -> None:
        try:
            self._follow()
        except (OSError, InvalidResponseError, InvalidUpdateError) as error:
            self.counters.warning("the watch of the list broke", error)
        except ValueError as error:
            self.counters.warning(
                "the watch of the list broke", InvalidUpdateError(f"an update that cannot be read: {error}")
            )

    def _follow(self) -> None:
        text, raw = Buffer(), Buffer()
        answer, objects = ResponseParser(text.append), JsonObjectReader(MAX_OBJECT_BYTES)
        if self.needs_full_list:
            self.version = 0
        sock = open_connection(self.platform, CONNECT_TIMEOUT_S)
        self.connected = True
        alive = time.monotonic()  # the call, then its answer, each object that ends and each empty line
        answered = 0.0
        try:
            host = f"{self.platform[0]}:{self.platform[1]}"
            sock.settimeout(ANSWER_TIMEOUT_S)
            sock.sendall(
                f"GET /catalog/members?follow=1&since={self.version} HTTP/1.1\r\n"
                f"Host: {host}\r\nAccept: application/json\r\n\r\n".encode()
            )
            self.counters.add("watches opened")
            learned = False  # an object of this watch
            while not answer.complete and self._more(sock, raw, answer, alive):
                if self.address_changed:
                    return  # a late line of the old agent must not override the new one's
                answer.feed(raw)
                self.refused = answer.status not in (0, 200)
                if self.refused:
                    raise InvalidResponseError(f"status {answer.status}")
                if not answer.status:
                    continue
                self.failure_reported = False
                if not answered:
                    alive = answered = time.monotonic()
                came = text.take(len(text))
                for update in objects.read(came):
                    if not self.apply_update(update) and (learned or not self.full_list_requested):
                        raise InvalidUpdateError("unclear changes: the whole list is asked for")
                    learned, alive = True, time.monotonic()
                if came and not objects.depth:
                    self.first_update.set()  # an empty line means that there are no changes
                    alive = time.monotonic()
                # After a truncated object, whatever follows would be read as part of it for ever.
                if time.monotonic() - alive > LINE_TIMEOUT_S:
                    raise InvalidResponseError("no line ended")
            raise InvalidResponseError("the watch ended")
        finally:
            sock.close()
            self.was_stable = bool(answered) and time.monotonic() - answered >= STABLE_WATCH_S

    def _more(self, sock: gevent.socket.socket, raw: Buffer, answer: ResponseParser, alive: float) -> int:
        """Read once; returns 0 at the end. Raises `TimeoutError` where an answered watch sends no line in time."""
        if not self.failure_reported:
            # A dead platform may send nothing, or a stray byte now and then; its list must not be trusted for ever.
            left = alive + (LINE_TIMEOUT_S if answer.status else ANSWER_TIMEOUT_S) - time.monotonic()
            sock.settimeout(max(UNREAD_BYTES_TIMEOUT_S, left))
        try:
            return raw.fill(sock)
        except TimeoutError:
            if answer.status or self.failure_reported:
                raise
        # While discovery is down the agent does not answer, but its later answer counts from the moment it is sent. So
        # the call is reported as failed, but an answer to it is awaited until the decisions want the next call.
        self.counters.warning("a call for the list without an answer", f"{ANSWER_TIMEOUT_S} s")
        self.failure_reported = True
        self.first_update.set()
        self._call_failed()
        sock.settimeout(None)
        return raw.fill(sock)

    def _listing(self, uid: str, entry: dict[str, Any]) -> ListedEndpoint:
        phase = PHASES.get(entry["state"])
        if phase is None:
            raise ValueError(f"unknown state {entry['state']!r}")
        try:
            at = (
                parse_address(str(entry["endpoint"]))
                if phase is not EndpointState.REMOVED or "endpoint" in entry
                else None
            )
            group = int(entry.get("pod_group", 0))
            zone, kind = setting_index(self.zones, entry.get("az")), setting_index(self.kinds, entry.get("model"))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            if phase is EndpointState.READY or uid not in self.latest_listings:
                raise
            # An unreadable field must not hide a drain or removal in the same line.
            self.counters.warning(
                "a line of the list is spoilt", InvalidUpdateError(f"{uid}: {type(error).__name__}: {error}")
            )
            at, (_, zone, kind, group, *_) = None, self.latest_listings[uid]
        if uid not in self.receiver_numbers:
            self.receiver_numbers[uid] = self.next_number
            self.uids_by_number[self.next_number] = uid
            self.next_number += 1
        number = self.receiver_numbers[uid]
        if phase is EndpointState.REMOVED:
            self.removed_at.setdefault(uid, time.monotonic())
        if at is not None:
            self.addresses[number] = at
        return ListedEndpoint(number, zone, kind, group, phase, self._rate(uid, entry.get("capacity_hint", 0.0)))

    def _rate(self, uid: str, hint: object) -> float:
        """The listed rate (calls a second); where it is invalid, the one listed before, or 0."""
        if isinstance(hint, int | float) and 0 <= hint <= MAX_CALLS_PER_SECOND:
            return float(hint)
        # One invalid number must not hide a drain in the same line, or lift the rate limit.
        self.counters.warning("a listed rate that is none", InvalidUpdateError(f"{uid}: {str(hint)[:40]}"))
        return self.latest_listings[uid].rate if uid in self.latest_listings else 0.0


def _uid(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"no uid: {str(value)[:40]}")
    return value
