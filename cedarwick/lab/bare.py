"""`python -m cedarwick.lab.bare HOST PORT PARTNER_HOST PARTNER_PORT FOLDER`: the I/O of a sender, no decisions.

A reference for ceilings: RESP2 in, a record written, one HTTP call out, its record. It checks nothing, retries
nothing and forgets nothing; it is no sender.
"""

import os
import signal
import sys
from collections import deque

import gevent
import gevent.event
import gevent.socket
import httptools

from cedarwick.lab.listeners import listen


class Status:
    """What the parser of an answer calls."""

    def __init__(self) -> None:
        self.complete = False

    def on_message_complete(self) -> None:
        self.complete = True


class Bare:
    """One loop: a greenlet a client, kept links to one partner, one file."""

    def __init__(self, partner: tuple[str, int], folder: str) -> None:
        self.partner = partner
        self.links: deque[gevent.socket.socket] = deque()
        self.file = os.open(os.path.join(folder, "bare.log"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def accept(self, listener: gevent.socket.socket) -> None:
        """Accept connections; never returns."""
        while True:
            sock, _ = listener.accept()
            gevent.spawn(self.serve, sock)

    def serve(self, sock: gevent.socket.socket) -> None:
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        held = b""
        with sock:
            while data := sock.recv(65536):
                held += data
                while (parts := whole(held)) is not None:
                    words, held = parts
                    if words[0] == b"PING":
                        sock.sendall(b"+PONG\r\n")
                        continue
                    os.write(self.file, words[2] + words[4])
                    gevent.spawn(self.call, words)
                    sock.sendall(b"+OK\r\n")

    def call(self, words: list[bytes]) -> None:
        link = self.links.pop() if self.links else gevent.socket.create_connection(self.partner)
        link.sendall(
            b"POST /receive HTTP/1.1\r\nHost: receiver\r\nX-Txn: %s\r\nX-Remaining-Ms: 1000\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (words[2], len(words[4]), words[4])
        )
        status = Status()
        parser = httptools.HttpResponseParser(status)
        while not status.complete:
            parser.feed_data(link.recv(4096))
        os.write(self.file, words[2])
        self.links.append(link)


def whole(held: bytes) -> tuple[list[bytes], bytes] | None:
    """The first command and the rest; None while it is incomplete."""
    end = held.find(b"\r\n")
    if end < 0:
        return None
    words, at = [], end + 2
    for _ in range(int(held[1:end])):
        end = held.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(held[at + 1 : end])
        if len(held) < end + 4 + size:
            return None
        words.append(held[end + 2 : end + 2 + size])
        at = end + 4 + size
    return words, held[at:]


def main() -> int:
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    host, port, partner_host, partner_port, folder = sys.argv[1:6]
    bare = Bare((partner_host, int(partner_port)), folder)
    gevent.spawn(bare.accept, listen((host, int(port))))
    print("ready", flush=True)
    ended.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
