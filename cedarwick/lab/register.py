"""The platform: the endpoint list with its watch, and `/status`, which takes the senders' notices.

`EndpointList` is the true list. Each sender has an `Agent`, the platform's server on the sender's machine, which learns
of changes late, may stop serving the list, and may move to another address.
"""

import contextlib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import gevent
import gevent.event
import gevent.socket
import httptools

from cedarwick.lab.day import Day
from cedarwick.lab.history import Heard, Noticed
from cedarwick.lab.listeners import accept_connections, listen, sender_host

KEEPALIVE_INTERVAL_S = 2.0  # between empty lines of a watch
OLD_ADDRESS_CLOSE_DELAY_S = 1.5  # after a move, until connections to the old address are closed
Entry = dict[str, Any]  # an entry of the list, with its port in place of an address


class EndpointList:
    """The endpoint list: entries by uid, and all changes in order. No I/O."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.changes: list[Entry] = []  # the change of revision n has index n - 1

    def put(self, uid: str, port: int, destination: int, model: str, state: str) -> Entry:
        """Record the state of an endpoint as a new revision; returns its entry."""
        entry = {
            "uid": uid,
            "port": port,
            "az": "hall",
            "model": model,
            "pod_group": destination,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        if state == "removed":
            self.entries.pop(uid, None)
        else:
            self.entries[uid] = entry
        self.changes.append(entry)
        return entry


class Agent:
    """The platform's server for one sender: serves the endpoint list and takes the sender's notices."""

    def __init__(
        self,
        day: Day,
        endpoint_list: EndpointList,
        sender: int,
        on_notice: Callable[[str, str, int], None] = lambda *_: None,
    ) -> None:
        self.day = day
        self.sender = sender
        self.on_notice = on_notice
        self.endpoint_list = endpoint_list
        self.revision = 0  # of the newest change that this agent has learned
        self.silent = False
        self.changed = gevent.event.Event()
        self.listener = listen((sender_host(sender), 0))
        self.port = int(self.listener.getsockname()[1])
        self.sockets: set[gevent.socket.socket] = set()
        self.acceptor = gevent.spawn(self._accept, self.listener)
        self.learn_all()

    @property
    def address(self) -> str:
        """Its present address, `host:port`."""
        return f"{sender_host(self.sender)}:{self.port}"

    def learn_all(self) -> None:
        """Learn every change so far."""
        self.learn_up_to(len(self.endpoint_list.changes))

    def learn_up_to(self, revision: int) -> None:
        """Learn the changes up to a revision."""
        self.revision = max(self.revision, revision)
        self.changed.set()

    def set_silent(self, silent: bool) -> None:
        """Stop or resume updates on watches; notices are taken in any case."""
        self.silent = silent
        self.changed.set()

    def move(self) -> None:
        """Move to a new port: the old listener closes at once, its connections `OLD_ADDRESS_CLOSE_DELAY_S` later."""
        old_listener, old_sockets = self.listener, list(self.sockets)
        self.acceptor.kill(block=False)
        old_listener.close()
        self.listener = listen((sender_host(self.sender), 0))
        self.port = int(self.listener.getsockname()[1])
        self.acceptor = gevent.spawn(self._accept, self.listener)
        for sock in old_sockets:
            gevent.spawn_later(OLD_ADDRESS_CLOSE_DELAY_S, sock.close)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.acceptor.kill(block=False)
        self.listener.close()
        for sock in list(self.sockets):
            sock.close()

    def known_list(self) -> dict[str, Any]:
        """The whole list as this agent knows it, as a message of the protocol."""
        entries: dict[str, Entry] = {}
        for entry in self.endpoint_list.changes[: self.revision]:
            if entry["state"] == "removed":
                entries.pop(entry["uid"], None)
            else:
                entries[entry["uid"]] = entry
        return self._watch_event(list(entries.values()), True)

    def _watch_event(self, entries: list[Entry], complete: bool) -> dict[str, Any]:
        targets = [
            {name: value for name, value in entry.items() if name != "port"}
            | {"endpoint": f"{sender_host(self.sender)}:{entry['port']}"}
            for entry in entries
        ]
        return {"rev": self.revision, "all": complete, "targets": targets}

    # ---- connections ----

    def _accept(self, listener: gevent.socket.socket) -> None:
        for sock in accept_connections(listener):
            self.sockets.add(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: gevent.socket.socket) -> None:
        try:
            request = Request()
            parser = httptools.HttpRequestParser(request)
            while data := sock.recv(65536):
                parser.feed_data(data)
                if request.complete:
                    self._answer(sock, request, parser.get_method())
                    request.reset()
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _answer(self, sock: gevent.socket.socket, request: "Request", method: bytes) -> None:
        url = urlsplit(request.url)
        parameters = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == b"POST" and url.path == "/status":
            status = self._take_notices(b"".join(request.parts))
            sock.sendall(
                b"HTTP/1.1 204 No Content\r\n\r\n"
                if status == 204
                else b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
            )
        elif url.path == "/catalog/members" and parameters.get("follow") == "1":
            self._serve_watch(sock, int(parameters.get("since", "0")))
        elif url.path == "/catalog/members":
            body = json.dumps(self.known_list()).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

    def _take_notices(self, body: bytes) -> int:
        try:
            notices = [json.loads(line) for line in body.splitlines()]
            parsed = [
                (str(notice["id"]), str(notice["state"]), round(float(notice.get("after_ms", 0)) * 1000))
                for notice in notices
            ]
        except (ValueError, KeyError, TypeError):
            return 400
        now = self.day.now()
        for id, state, after in parsed:
            self.day.history.add(Noticed(id, state, after, now, self.sender))
            self.on_notice(id, state, after)
        return 204

    def _serve_watch(self, sock: gevent.socket.socket, since: int) -> None:
        """Serve a watch until its connection ends."""
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent_revision, first_update = since, True
        while True:
            self.changed.clear()
            if not self.silent:
                if first_update and since == 0:
                    self._send_update(sock, self.known_list())
                    sent_revision = self.revision
                elif first_update or sent_revision < self.revision:
                    # The first update goes out at once, even when there are no changes since `since`.
                    self._send_update(
                        sock, self._watch_event(self.endpoint_list.changes[sent_revision : self.revision], False)
                    )
                    sent_revision = self.revision
                else:
                    sock.sendall(b"1\r\n\n\r\n")
                first_update = False
            with contextlib.suppress(gevent.Timeout):
                self.changed.wait(KEEPALIVE_INTERVAL_S)

    def _send_update(self, sock: gevent.socket.socket, update: dict[str, Any]) -> None:
        line = json.dumps(update).encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        now = self.day.now()
        sent_uids = {target["uid"] for target in update["targets"]}
        for target in update["targets"]:
            self.day.history.add(Heard(target["uid"], target["pod_group"], target["state"], now, self.sender))
        if update["all"]:  # a whole list also removes the endpoints that it leaves out
            for entry in self.endpoint_list.changes[: self.revision]:
                if entry["uid"] not in sent_uids:
                    sent_uids.add(entry["uid"])
                    self.day.history.add(Heard(entry["uid"], entry["pod_group"], "removed", now, self.sender))


class Request:
    """A request while it is parsed; httptools calls the `on_` methods."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        self.url = ""
        self.parts: list[bytes] = []
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True
