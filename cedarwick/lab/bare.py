"""`python -m cedarwick.lab.bare HOST PORT PARTNER_HOST PARTNER_PORT FOLDER`: a sender's I/O without decisions.

A reference for the highest possible throughput: it reads a RESP2 command, writes a record, makes an HTTP call and
writes its record. It validates and retries nothing and drops no state, so it is not a usable sender.
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


class ResponseParts:
    """The state of a response while it is parsed; httptools calls the `on_` methods."""

    def __init__(self) -> None:
        self.complete = False

    def on_message_complete(self) -> None:
        self.complete = True


class BareSender:
    """An event loop with a greenlet for each client, reused connections to one partner, and one log file."""

    def __init__(self, partner: tuple[str, int], folder: str) -> None:
        self.partner = partner
        self.connections: deque[gevent.socket.socket] = deque()
        self.log_file = os.open(os.path.join(folder, "bare.log"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def accept(self, listener: gevent.socket.socket) -> None:
        """Accept connections; never returns."""
        while True:
            sock, _ = listener.accept()
            gevent.spawn(self.serve, sock)

    def serve(self, sock: gevent.socket.socket) -> None:
        """Answer the commands of one connection."""
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        buffer = b""
        with sock:
            while data := sock.recv(65536):
                buffer += data
                while (parsed := parse_command(buffer)) is not None:
                    arguments, buffer = parsed
                    if arguments[0] == b"PING":
                        sock.sendall(b"+PONG\r\n")
                        continue
                    os.write(self.log_file, arguments[2] + arguments[4])
                    gevent.spawn(self.call, arguments)
                    sock.sendall(b"+OK\r\n")

    def call(self, arguments: list[bytes]) -> None:
        """Make the call of a submission, and write its record."""
        connection = self.connections.pop() if self.connections else gevent.socket.create_connection(self.partner)
        connection.sendall(
            b"POST /receive HTTP/1.1\r\nHost: receiver\r\nX-Txn: %s\r\nX-Remaining-Ms: 1000\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (arguments[2], len(arguments[4]), arguments[4])
        )
        response = ResponseParts()
        parser = httptools.HttpResponseParser(response)
        while not response.complete:
            parser.feed_data(connection.recv(4096))
        os.write(self.log_file, arguments[2])
        self.connections.append(connection)


def parse_command(buffer: bytes) -> tuple[list[bytes], bytes] | None:
    """The arguments of the first command, and the bytes after it; None while it is incomplete."""
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    arguments, position = [], end + 2
    for _ in range(int(buffer[1:end])):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        size = int(buffer[position + 1 : end])
        if len(buffer) < end + 4 + size:
            return None
        arguments.append(buffer[end + 2 : end + 2 + size])
        position = end + 4 + size
    return arguments, buffer[position:]


def main() -> int:
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    host, port, partner_host, partner_port, folder = sys.argv[1:6]
    sender = BareSender((partner_host, int(partner_port)), folder)
    gevent.spawn(sender.accept, listen((host, int(port))))
    print("ready", flush=True)
    stopped.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
