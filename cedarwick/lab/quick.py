"""`python -m cedarwick.lab.quick HOST PORT`: a partner that answers at once, for throughput limits; ends on SIGTERM.

At its end it prints a JSON line with the number of calls in each tenth of a second of wall time.
"""

import json
import signal
import sys
import time
from collections import Counter

import gevent
import gevent.event
import gevent.socket

from cedarwick.lab.listeners import listen

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
COUNT_INTERVAL_S = 0.1  # the time over which each count extends


def accept_calls(listener: gevent.socket.socket, counts: Counter[int]) -> None:
    """Accept connections and answer all calls on them; never returns."""
    while True:
        sock, _ = listener.accept()
        gevent.spawn(answer_calls, sock, counts)


def answer_calls(sock: gevent.socket.socket, counts: Counter[int]) -> None:
    """Answer all calls of a connection. Calls are not validated: only programs of this package send them."""
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    buffer = b""
    with sock:
        while data := sock.recv(65536):
            buffer += data
            while (end := buffer.find(b"\r\n\r\n")) >= 0:
                length_at = buffer.find(b"Content-Length: ")
                size = int(buffer[length_at + 16 : buffer.find(b"\r\n", length_at)])
                if len(buffer) < end + 4 + size:
                    break
                buffer = buffer[end + 4 + size :]
                counts[int(time.time() / COUNT_INTERVAL_S)] += 1
                sock.sendall(ANSWER)


def main() -> int:
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    counts: Counter[int] = Counter()
    gevent.spawn(accept_calls, listen((sys.argv[1], int(sys.argv[2]))), counts)
    print("ready", flush=True)
    stopped.wait()
    print(json.dumps(sorted(counts.items())), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
