"""`python -m cedarwick.lab.closed HOST PORT CLIENTS SECONDS BAND DESTINATIONS BYTES TAG`: a closed load.

Each client sends its next request as soon as it has an answer, which keeps the server busy: it measures the highest
throughput, not response times. Prints a JSON line with the number of answers of each kind.
"""

import json
import sys
import time
from collections import Counter

import gevent
import gevent.socket

from cedarwick.lab.clients import encode_command
from cedarwick.lab.day import message_body


def run_client(
    address: tuple[str, int],
    end_at: float,
    client: int,
    priority_class: str,
    destinations: int,
    size: int,
    tag: str,
    answers: Counter[str],
) -> None:
    """Run one client until `end_at`."""
    number = 0
    sock = gevent.socket.create_connection(address)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    sock.settimeout(5.0)
    while time.monotonic() < end_at:
        number += 1
        id = f"{tag}{client:04x}{number:08x}"
        pairs = f"c={priority_class},d=20000,dest={(client + number) % destinations}".encode()
        sock.sendall(encode_command(b"SUBMIT", b"0" * 16, id.encode(), pairs, message_body(id, size)))
        reply = sock.recv(256)
        if not reply:
            answers["cut"] += 1
            return
        answers["ok" if reply[:1] == b"+" else "refused"] += 1
        if reply[:1] != b"+":
            gevent.sleep(0.01)


def main() -> int:
    host, port, clients, seconds, priority_class, destinations, size, tag = sys.argv[1:9]
    answers: Counter[str] = Counter()
    end_at = time.monotonic() + float(seconds)
    client_greenlets = [
        gevent.spawn(
            run_client, (host, int(port)), end_at, client, priority_class, int(destinations), int(size), tag, answers
        )
        for client in range(int(clients))
    ]
    gevent.joinall(client_greenlets)
    print(json.dumps(dict(answers)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
