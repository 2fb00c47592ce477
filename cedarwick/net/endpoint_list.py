"""Endpoint discovery: watches the platform's list of receivers and maps their uids to receiver numbers.

Names that end in `_S` are in seconds. The process runs `watch` in a greenlet; updates go to the dispatcher through
`report_update`.
"""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

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

ENDPOINT_STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
CONNECT_TIMEOUT_S = 1.0  # for a connection to the platform
ANSWER_TIMEOUT_S = 1.0  # for the status of the answer to a list call; a working agent answers at once
LINE_TIMEOUT_S = 4.2  # for a complete line; the agent sends an empty one every 2 s, so two are missing
UNREAD_BYTES_TIMEOUT_S = 0.01  # to read bytes that arrived before the timeout, as while the process was stopped
STABLE_WATCH_S = 1.0  # a watch that lasts this long after its answer does not count as a failed call
ADDRESS_CHANGE_GRACE_S = 4.0  # after a change of address an agent that is not up yet is called again soon
MAX_OBJECT_BYTES = 1 << 22  # of one JSON object of the list
MAX_CALLS_PER_SECOND = 1_000_000  # a higher listed rate is invalid
FORGET_REMOVED_AFTER_S = 60.0  # longer than any attempt, and than the decisions keep a removed receiver


class InvalidUpdateError(CedarwickError, ValueError):
    """An update of the endpoint list is invalid or out of order; the list is unchanged."""

    code = "CW303"
    remedy = "check the list that the platform sends; the sender keeps using the last valid one"


class ReceiverIdentity(NamedTuple):
    """What a receiver is, as indexes of the settings; a receiver that is something else is another one."""

    zone: int
    kind: int
    destination: int


class EndpointList:
    """Owns the watch and passes changes to the dispatcher, with receiver numbers instead of uids."""

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
        self.version = 0  # of the last update passed on; 0 requests the full list
        self.needs_full_list = False  # part of an update was unreadable or out of order
        self.receiver_numbers: dict[str, int] = {}  # by uid
        self.uids_by_number: dict[int, str] = {}
        self.next_number = 1  # never reused: a new receiver must not inherit the state of a removed one
        self.addresses: dict[int, tuple[str, int]] = {}  # by receiver number
        self.identities: dict[int, ReceiverIdentity] = {}  # by receiver number
        self.uids_by_address: dict[tuple[str, int], str] = {}  # the receiver that was listed there last
        self.replaced: list[ListedEndpoint] = []  # by another receiver with their uid, in the present update
        self.replaced_at: dict[int, float] = {}  # monotonic time by receiver number
        self.removed_at: dict[str, float] = {}  # monotonic time by uid
        self.reopen_requested = gevent.event.Event()
        self.address_changed = False  # the platform's address has changed since the watch was opened
        self.address_changed_at = -ADDRESS_CHANGE_GRACE_S
        self.connected = False  # the last call established a connection
        self.was_stable = False  # the last watch was answered and lasted for `STABLE_WATCH_S`
        self.failure_reported = False  # the call was reported as failed, but its answer is still awaited
        self.refused = False  # the call was answered with a status other than 200
        self.full_list_requested = False  # by the current watch, because the previous one had an unreadable update
        self.first_update = gevent.event.Event()  # set once the agent has sent its first update, or has failed to
        self.watch_greenlet: gevent.Greenlet | None = None
        self.has_receivers = False  # whether any receiver was ever listed
        self.latest_listings: dict[str, ListedEndpoint] = {}  # by uid, as the platform sent them last
        self.suspended: set[str] = set()  # uids suspended by the operators: draining even if listed as ready

    def apply_update(self, update: dict[str, Any], saved: bool = False) -> bool:
        """Validate one update of the list and pass it on.

        Returns False if some of its lines are unreadable; raises `InvalidUpdateError` if none of it can be used.
        """
        try:
            entries, version, is_full = list(update["targets"]), int(update["rev"]), update["all"]
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise InvalidUpdateError(f"list update: missing or invalid field: {error}") from None
        if not isinstance(is_full, bool):
            raise InvalidUpdateError(f"list update: `all` is not a boolean: {str(is_full)[:40]!r}")
        if version < self.version:
            # A late update would undo a drain. If the agent has restarted its version count instead, requesting the
            # full list (`needs_full_list`) accepts the new count.
            self.needs_full_list = True
            raise InvalidUpdateError(f"list update: version {version} after {self.version}")
        listings, present, all_readable = [], set(), True
        claimed: dict[tuple[str, int], str] = {}  # addresses at which a receiver is listed now, and was not before
        for entry in entries:
            uid = ""
            try:
                uid = _uid(entry["uid"])
                earlier_address = self._address_of_uid(uid)
                listing = self._listing(uid, entry)
                address = self._address_in(listing)
                if address is not None and address != earlier_address:
                    claimed[address] = uid
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                # One unreadable line must not block the others.
                self.counters.warning(
                    "a line of the list cannot be read", InvalidUpdateError(f"{type(error).__name__}: {error}")
                )
                all_readable = False
                if uid not in self.latest_listings:
                    continue
                listing = self.latest_listings[uid]  # a receiver missing from a full list would count as removed
            self.latest_listings[uid] = listing
            listings.append(self._with_suspension(uid, listing))
            if listing.endpoint_state is not EndpointState.REMOVED:
                present.add(uid)
        if is_full and not listings and self.has_receivers:
            # The list of a restarting platform is empty for a moment; accepting it would stop all traffic.
            raise InvalidUpdateError("a whole list with nothing in it")
        listings += self.replaced
        self.replaced = []
        if is_full:
            self._mark_unlisted(present)
        else:
            listings += self._mark_displaced(claimed, present)
        self.uids_by_address.update(claimed)
        self._forget_removed(present)
        self.version = version
        # Later deltas do not repeat the content of an unreadable line; only a full list does.
        self.needs_full_list = not all_readable or self.needs_full_list and not is_full
        self.has_receivers = self.has_receivers or bool(listings)
        self.report_update(
            EndpointUpdate.CACHED if saved else EndpointUpdate.FULL if is_full else EndpointUpdate.DELTA, listings
        )
        return all_readable

    def _mark_unlisted(self, present: set[str]) -> None:
        """Record that a full list has only these receivers: nothing may bring back the earlier entry of another one."""
        for uid in self.latest_listings.keys() - present:
            self._mark_removed(uid)

    def _address_of_uid(self, uid: str) -> tuple[str, int] | None:
        """Return the address of a receiver; None if it is not listed now."""
        return self._address_in(self.latest_listings[uid]) if uid in self.latest_listings else None

    def _address_in(self, listing: ListedEndpoint) -> tuple[str, int] | None:
        """Return the address of a receiver with this entry; None if it has left the list."""
        return self.addresses.get(listing.receiver) if listing.endpoint_state is not EndpointState.REMOVED else None

    def _mark_displaced(self, claimed: dict[tuple[str, int], str], present: set[str]) -> list[ListedEndpoint]:
        """Return removals of the receivers at whose addresses changes have listed other ones.

        The server at such an address is the other one now, though the removal is not listed yet.
        """
        displaced = {self.uids_by_address.get(address, uid): address for address, uid in claimed.items()}
        return [
            self._mark_removed(uid)
            for uid, address in displaced.items()
            if uid not in present and self._address_of_uid(uid) == address
        ]

    def _mark_removed(self, uid: str) -> ListedEndpoint:
        """Replace the entry of a receiver that has left the list, and return its new one."""
        removed = self.latest_listings[uid]._replace(endpoint_state=EndpointState.REMOVED)
        self.latest_listings[uid] = removed
        self.removed_at.setdefault(uid, time.monotonic())
        return removed

    def _forget_removed(self, present: set[str]) -> None:
        """Delete receivers that were removed long ago; otherwise replaced receivers would accumulate in memory."""
        now = time.monotonic()
        for uid in present:
            self.removed_at.pop(uid, None)
        for uid, since in list(self.removed_at.items()):
            if now - since > FORGET_REMOVED_AFTER_S:
                del self.removed_at[uid]
                self.latest_listings.pop(uid, None)
                self._forget_number(self.receiver_numbers.pop(uid))
        for number, since in list(self.replaced_at.items()):
            if now - since > FORGET_REMOVED_AFTER_S:
                del self.replaced_at[number]
                self._forget_number(number)

    def _forget_number(self, number: int) -> None:
        uid = self.uids_by_number.pop(number)
        del self.identities[number]
        address = self.addresses.pop(number, None)
        if address != self.addresses.get(self.receiver_numbers.get(uid, 0)):
            self._release_address(uid, address)

    def _release_address(self, uid: str, address: tuple[str, int] | None) -> None:
        """Forget that a receiver was listed at an address, unless another one has been listed there since."""
        if address is not None and self.uids_by_address.get(address) == uid:
            del self.uids_by_address[address]

    def knows(self, uid: str) -> bool:
        """Whether this receiver is listed."""
        listing = self.latest_listings.get(uid)
        return listing is not None and listing.endpoint_state is not EndpointState.REMOVED

    def set_suspended(self, uids: set[str]) -> None:
        """Set the suspended uids: the decisions see these receivers as draining until a later call omits them."""
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
        is_suspended = uid in self.suspended and listing.endpoint_state is EndpointState.READY
        return listing._replace(endpoint_state=EndpointState.DRAINING) if is_suspended else listing

    def uid_of(self, receiver: int) -> str:
        """Return the uid of a receiver by its number; empty if the receiver is not known."""
        return self.uids_by_number.get(receiver, "")

    def address_of(self, receiver: int) -> tuple[str, int]:
        """Return host and port of a receiver by its number; raises `KeyError` if it is not known."""
        return self.addresses[receiver]

    def reopen_watch(self) -> None:
        """Reopen a watch that broke or was never answered, at once; the decisions choose the time."""
        self.reopen_requested.set()
        if self.failure_reported and self.watch_greenlet is not None:
            self.watch_greenlet.kill(block=False)

    def change_address(self, platform: tuple[str, int]) -> None:
        """Reopen the watch at another address of the platform, at once."""
        self.platform = platform
        # Another agent may count versions differently, so the changes since our version could be incomplete.
        self.version = 0
        self.address_changed, self.address_changed_at = True, time.monotonic()
        self.reopen_requested.set()
        if self.watch_greenlet is not None:
            self.watch_greenlet.kill(block=False)

    def watch(self) -> None:
        """Keep a watch open, starting from the last version; never returns.

        A watch that lasted is reopened at once: its end is not a refusal, and a call to the agent on this machine is
        cheap. So is a watch that must request the full list. After a failed call the decisions choose the time.
        """
        while True:
            self.address_changed = self.was_stable = self.failure_reported = self.refused = self.connected = False
            self.watch_greenlet = gevent.spawn(self._watch_once)
            self.watch_greenlet.join()
            must_request_full = self.needs_full_list and not self.full_list_requested
            self.full_list_requested = self.needs_full_list
            if self.address_changed or self.was_stable or must_request_full:
                continue
            self.first_update.set()
            # Report the failure, unless `_receive` has done so. A refusal is reported again, so that the backoff starts
            # from it: otherwise all senders that an overloaded discovery refuses late would call again at once.
            if self.refused or not self.failure_reported:
                self._report_call_failure()
            # The agent at a new address may not be up yet; a call that gets no connection costs the platform nothing.
            retry_soon = not self.connected and time.monotonic() - self.address_changed_at < ADDRESS_CHANGE_GRACE_S
            self.reopen_requested.wait(STABLE_WATCH_S if retry_soon else None)

    def _report_call_failure(self) -> None:
        self.reopen_requested.clear()  # an earlier request must not reopen the watch at once
        self.report_failure()

    def _watch_once(self) -> None:
        try:
            self._follow_updates()
        except (OSError, InvalidResponseError, InvalidUpdateError) as error:
            self.counters.warning("the watch of the list broke", error)
        except ValueError as error:
            self.counters.warning("the watch of the list broke", InvalidUpdateError(f"unreadable list update: {error}"))

    def _follow_updates(self) -> None:
        body, raw = Buffer(), Buffer()
        answer, objects = ResponseParser(body.append), JsonObjectReader(MAX_OBJECT_BYTES)
        if self.needs_full_list:
            self.version = 0
        sock = open_connection(self.platform, CONNECT_TIMEOUT_S)
        self.connected = True
        last_progress = time.monotonic()  # the call, then its answer, each complete object and each empty line
        answered_at = 0.0  # 0: not yet
        try:
            host = f"{self.platform[0]}:{self.platform[1]}"
            sock.settimeout(ANSWER_TIMEOUT_S)
            sock.sendall(
                f"GET /catalog/members?follow=1&since={self.version} HTTP/1.1\r\n"
                f"Host: {host}\r\nAccept: application/json\r\n\r\n".encode()
            )
            self.counters.add("watches opened")
            update_applied = False  # in this watch
            while not answer.complete and self._receive(sock, raw, answer, last_progress):
                if self.address_changed:
                    return  # a late update of the old agent must not override the new one
                answer.feed(raw)
                self.refused = answer.status not in (0, 200)
                if self.refused:
                    raise InvalidResponseError(f"status {answer.status}")
                if not answer.status:
                    continue
                self.failure_reported = False
                if not answered_at:
                    last_progress = answered_at = time.monotonic()
                received = body.take(len(body))
                for update in objects.read(received):
                    if not self.apply_update(update) and (update_applied or not self.full_list_requested):
                        raise InvalidUpdateError("list update: some lines are invalid; requesting the full list")
                    update_applied, last_progress = True, time.monotonic()
                if received and not objects.depth:
                    self.first_update.set()  # an empty line means "no changes"
                    last_progress = time.monotonic()
                gevent.sleep(0)  # an agent that always has more to send must not block the rest of the sender
                if self.address_changed:
                    return
                # Without this check everything after a truncated object would be read as part of it for ever.
                if time.monotonic() - last_progress > LINE_TIMEOUT_S:
                    raise InvalidResponseError("no complete line in time")
            raise InvalidResponseError("the platform ended the watch")
        finally:
            sock.close()
            self.was_stable = bool(answered_at) and time.monotonic() - answered_at >= STABLE_WATCH_S

    def _receive(self, sock: gevent.socket.socket, raw: Buffer, answer: ResponseParser, last_progress: float) -> int:
        """Read once; returns 0 at the end. Raises `TimeoutError` if an answered watch makes no progress in time."""
        if not self.failure_reported:
            # A dead platform may send nothing, or a stray byte now and then; its list must not be trusted for ever.
            timeout_s = last_progress + (LINE_TIMEOUT_S if answer.status else ANSWER_TIMEOUT_S) - time.monotonic()
            sock.settimeout(max(UNREAD_BYTES_TIMEOUT_S, timeout_s))
        try:
            return raw.fill(sock)
        except TimeoutError:
            if answer.status or self.failure_reported:
                raise
        # While discovery is down the agent does not answer, but a late answer is valid from the moment it is sent. So
        # the call is reported as failed, but its answer is awaited until the decisions want the next call.
        self.counters.warning("a call for the list without an answer", f"{ANSWER_TIMEOUT_S} s")
        self.failure_reported = True
        self.first_update.set()
        self._report_call_failure()
        sock.settimeout(None)
        return raw.fill(sock)

    def _listing(self, uid: str, entry: dict[str, Any]) -> ListedEndpoint:
        endpoint_state = ENDPOINT_STATES.get(entry["state"])
        if endpoint_state is None:
            raise ValueError(f"unknown state {entry['state']!r}")
        try:
            listed_address = (
                parse_address(str(entry["endpoint"]))
                if endpoint_state is not EndpointState.REMOVED or "endpoint" in entry
                else None
            )
            group = int(entry.get("pod_group", 0))
            zone, kind = setting_index(self.zones, entry.get("az")), setting_index(self.kinds, entry.get("model"))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            if endpoint_state is EndpointState.READY or uid not in self.latest_listings:
                raise
            # An unreadable field must not hide a drain or removal in the same line.
            self.counters.warning(
                "a line of the list is spoilt", InvalidUpdateError(f"{uid}: {type(error).__name__}: {error}")
            )
            listed_address, (_, zone, kind, group, *_) = None, self.latest_listings[uid]
        identity = ReceiverIdentity(zone, kind, group)
        if endpoint_state is EndpointState.READY:
            self._replace_if_other(uid, identity)
        if uid not in self.receiver_numbers:
            self.receiver_numbers[uid] = self.next_number
            self.uids_by_number[self.next_number] = uid
            self.identities[self.next_number] = identity
            self.next_number += 1
        number = self.receiver_numbers[uid]
        if endpoint_state is EndpointState.REMOVED:
            self.removed_at.setdefault(uid, time.monotonic())
        if listed_address is not None:
            if listed_address != self.addresses.get(number):
                self._release_address(uid, self.addresses.get(number))
            self.addresses[number] = listed_address
        return ListedEndpoint(
            number, zone, kind, group, endpoint_state, self._rate(uid, entry.get("capacity_hint", 0.0))
        )

    def _replace_if_other(self, uid: str, identity: ReceiverIdentity) -> None:
        """End the number of a receiver if another one is listed under its uid, which gets a number of its own."""
        number = self.receiver_numbers.get(uid)
        if number is None or self.identities[number] == identity:
            return
        earlier = self.identities[number]
        self.replaced.append(ListedEndpoint(number, *earlier, EndpointState.REMOVED, 0.0))
        self.replaced_at[number] = time.monotonic()
        del self.receiver_numbers[uid]

    def _rate(self, uid: str, hint: object) -> float:
        """Return the listed rate in calls per second; if it is invalid, the one listed before, or 0."""
        if isinstance(hint, int | float) and 0 <= hint <= MAX_CALLS_PER_SECOND:
            return float(hint)
        # An invalid rate must not hide a drain in the same line or lift the rate limit.
        self.counters.warning("a listed rate that is none", InvalidUpdateError(f"{uid}: {str(hint)[:40]}"))
        return self.latest_listings[uid].rate if uid in self.latest_listings else 0.0


def _uid(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"uid is not a string: {str(value)[:40]}")
    return value
