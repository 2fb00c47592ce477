"""The platform: the endpoint list with its watch, and the notices that are posted to `/status`.

`EndpointList` is the list as it is; each sender has an `Agent` on its own machine, which hears of changes late,
may fall silent, and may move to another address.
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

BEAT = 2.0  # seconds between empty lines of a watch
OLD_STAYS = 1.5  # seconds in which connections to an address that was left stay open
Entry = dict[str, Any]


class EndpointList:
    """The list: entries by uid, and the changes in their order. No I/O."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.changes: list[Entry] = []  # the change of revision n is at place n - 1

    def put(self, uid: str, port: int, destination: int, model: str, state: str) -> Entry:
        """Record a new state of an endpoint; its entry in the list."""
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
    """The platform's server for one sender: it serves the list, and takes the sender's notices."""

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
        self.revision = 0  # of the newest change that this agent has heard of
        self.silent = False
        self.changed = gevent.event.Event()
        self.listener = listen((sender_host(sender), 0))
        self.port = int(self.listener.getsockname()[1])
        self.conns: set[gevent.socket.socket] = set()
        self.accepting = gevent.spawn(self._accept, self.listener)
        self.learn_all()

    @property
    def address(self) -> str:
        return f"{sender_host(self.sender)}:{self.port}"

    def learn_all(self) -> None:
        """Learn every change so far."""
        self.learn_up_to(len(self.endpoint_list.changes))

    def learn_up_to(self, revision: int) -> None:
        """Learn the changes up to a revision."""
        self.revision = max(self.revision, revision)
        self.changed.set()

    def set_silent(self, silent: bool) -> None:
        """Stop or resume serving the list; notices are taken all the same."""
        self.silent = silent
        self.changed.set()

    def move(self) -> None:
        """Move to another address: the old one accepts nothing new and closes its connections after a while."""
        old, conns = self.listener, list(self.conns)
        self.accepting.kill(block=False)
        old.close()
        self.listener = listen((sender_host(self.sender), 0))
        self.port = int(self.listener.getsockname()[1])
        self.accepting = gevent.spawn(self._accept, self.listener)
        for sock in conns:
            gevent.spawn_later(OLD_STAYS, sock.close)

    def close(self) -> None:
        self.accepting.kill(block=False)
        self.listener.close()
        for sock in list(self.conns):
            sock.close()

    def known_list(self) -> dict[str, Any]:
        """The whole list as this agent knows it, in the form of the protocol."""
        entries: dict[str, Entry] = {}
        for entry in self.endpoint_list.changes[: self.revision]:
            if entry["state"] == "removed":
                entries.pop(entry["uid"], None)
            else:
                entries[entry["uid"]] = entry
        return self._watch_event(list(entries.values()), True)

    def _watch_event(self, entries: list[Entry], whole: bool) -> dict[str, Any]:
        targets = [
            {name: value for name, value in entry.items() if name != "port"}
            | {"endpoint": f"{sender_host(self.sender)}:{entry['port']}"}
            for entry in entries
        ]
        return {"rev": self.revision, "all": whole, "targets": targets}

    # ---- connections ----

    def _accept(self, listener: gevent.socket.socket) -> None:
        for sock in accept_connections(listener):
            self.conns.add(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: gevent.socket.socket) -> None:
        try:
            request = Request()
            parser = httptools.HttpRequestParser(request)
            while data := sock.recv(65536):
                parser.feed_data(data)
                if request.complete:
                    self._answer(sock, request, parser.get_method())
                    request.begin()
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            self.conns.discard(sock)
            sock.close()

    def _answer(self, sock: gevent.socket.socket, request: "Request", method: bytes) -> None:
        url = urlsplit(request.url)
        asked = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == b"POST" and url.path == "/status":
            status = self._take_notices(b"".join(request.parts))
            sock.sendall(
                b"HTTP/1.1 204 No Content\r\n\r\n"
                if status == 204
                else b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
            )
        elif url.path == "/catalog/members" and asked.get("follow") == "1":
            self._follow(sock, int(asked.get("since", "0")))
        elif url.path == "/catalog/members":
            body = json.dumps(self.known_list()).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

    def _take_notices(self, body: bytes) -> int:
        try:
            notices = [json.loads(line) for line in body.splitlines()]
            states = [
                (str(each["id"]), str(each["state"]), round(float(each.get("after_ms", 0)) * 1000)) for each in notices
            ]
        except (ValueError, KeyError, TypeError):
            return 400
        now = self.day.now()
        for id, state, after in states:
            self.day.history.add(Noticed(id, state, after, now, self.sender))
            self.on_notice(id, state, after)
        return 204

    def _follow(self, sock: gevent.socket.socket, since: int) -> None:
        """A watch until its connection ends."""
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        position, first = since, True
        while True:
            self.changed.clear()
            if not self.silent:
                if first and since == 0:
                    self._say(sock, self.known_list())
                    position = self.revision
                elif first or position < self.revision:  # what it has, at once: the changes since then, or none
                    self._say(sock, self._watch_event(self.endpoint_list.changes[position : self.revision], False))
                    position = self.revision
                else:
                    sock.sendall(b"1\r\n\n\r\n")
                first = False
            with contextlib.suppress(gevent.Timeout):
                self.changed.wait(BEAT)

    def _say(self, sock: gevent.socket.socket, update: dict[str, Any]) -> None:
        line = json.dumps(update).encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        now = self.day.now()
        named = {target["uid"] for target in update["targets"]}
        for target in update["targets"]:
            self.day.history.add(Heard(target["uid"], target["pod_group"], target["state"], now, self.sender))
        if update["all"]:  # a whole list tells of what it leaves out, too
            for entry in self.endpoint_list.changes[: self.revision]:
                if entry["uid"] not in named:
                    named.add(entry["uid"])
                    self.day.history.add(Heard(entry["uid"], entry["pod_group"], "removed", now, self.sender))


class Request:
    """One request as it is parsed; httptools calls the `on_` methods."""

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        self.url = ""
        self.parts: list[bytes] = []
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True
