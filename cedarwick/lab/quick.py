"""`python -m cedarwick.lab.quick HOST PORT`: a partner that answers at once, for ceilings; ends on SIGTERM.

On its end it prints one JSON line: how many calls came in each tenth of a second of its wall time.
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
COUNT_INTERVAL_S = 0.1  # seconds of one count


def serve(listener: gevent.socket.socket, counts: Counter[int]) -> None:
    """Never returns: answers every call on every connection."""
    while True:
        sock, _ = listener.accept()
        gevent.spawn(answer, sock, counts)


def answer(sock: gevent.socket.socket, counts: Counter[int]) -> None:
    """All calls of one connection. Calls are not checked: they come from this repository's own programs."""
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    held = b""
    with sock:
        while data := sock.recv(65536):
            held += data
            while (end := held.find(b"\r\n\r\n")) >= 0:
                at = held.find(b"Content-Length: ")
                size = int(held[at + 16 : held.find(b"\r\n", at)])
                if len(held) < end + 4 + size:
                    break
                held = held[end + 4 + size :]
                counts[int(time.time() / COUNT_INTERVAL_S)] += 1
                sock.sendall(ANSWER)


def main() -> int:
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    counts: Counter[int] = Counter()
    gevent.spawn(serve, listen((sys.argv[1], int(sys.argv[2]))), counts)
    print("ready", flush=True)
    ended.wait()
    print(json.dumps(sorted(counts.items())), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
