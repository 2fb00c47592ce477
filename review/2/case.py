"""A receiver is taken out by SUSPEND while the process is being replaced; the caller writes its line in two pieces.

The rule on drains holds for that receiver from the sender's yes until the call back, and over an upgrade. Exit status
1 if calls reached the receiver after the yes and the grace, 0 if none did, 2 if the case could not run.
"""

import socket
import sys
import threading
import time

sys.path.insert(0, "..")
from standins import HOST, Client, Platform, Receiver, Record, Sender, temporary_folder, trouble

GRACE_S = 1.0  # `rules.drain-grace-ms` of the settings
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets
LINE_PAUSE_S = 0.7  # between the two pieces of the caller's line; a caller has 2 s to send it
WATCHED_S = 10.0  # after the yes


def load(record: Record, sender: Sender, stop: threading.Event) -> None:
    """A client that hands in ten messages a second over one connection, and opens a new one where that is closed."""
    client: Client | None = None
    number = 0
    while not stop.is_set():
        number += 1
        try:
            client = client or Client(record, sender.address)
        except OSError:
            time.sleep(0.05)
            continue
        if not client.submit(f"m{number}", "status", 4000, 1):
            client.close()
            client = None
        time.sleep(0.1)


def resting_client(record: Record, sender: Sender) -> None:
    """A client that has just connected and writes its first request later; it closes when the sender does."""
    with socket.create_connection(sender.address, 2.0) as sock:
        record.line("resting client: connected, first request to come in 1.5 s")
        sock.settimeout(1.5)
        try:
            closed = sock.recv(1) == b""
        except TimeoutError:
            closed = False
        record.line(f"resting client: {'closed by the sender' if closed else 'leaves'}")


def suspend(record: Record, port: int, uid: str) -> float:
    """Call SUSPEND in two pieces; returns when the yes came, 0 without one."""
    with socket.create_connection((HOST, port), 1.0) as sock:
        sock.settimeout(1.0)
        sock.sendall(b"SUSPEND ")
        record.line(f"operator at {port}: connected, wrote 'SUSPEND '")
        time.sleep(LINE_PAUSE_S)
        try:
            sock.sendall(uid.encode() + b"\n")
            answer = sock.recv(4096).decode().strip()
        except OSError as error:
            answer = type(error).__name__
    record.line(f"operator at {port}: wrote '{uid}' and the line end -> {answer or 'closed'}", show=True)
    return record.now() if answer.startswith("YES") else 0.0


def main() -> int:
    record = Record(".")
    with temporary_folder() as folder:
        one, other = (Receiver(record, uid, 1, lambda _: (200, 0.05, "")) for uid in ("s-1", "s-2"))
        platform = Platform(record, [one.entry(), other.entry()])
        sender = Sender(record, folder, "n0", platform.address, {"rev": 0, "all": True, "targets": []})
        sender.hold_socket()
        stop = threading.Event()
        told: list[float] = []
        try:
            old, old_port = sender.start_on_socket()
            if not sender.wait_ready():
                return 2
            threading.Thread(target=load, args=(record, sender, stop), daemon=True).start()
            time.sleep(2.0)
            if trouble():
                new, new_port = sender.start_on_socket()
                time.sleep(1.0)
            threading.Thread(target=resting_client, args=(record, sender), daemon=True).start()
            operator = threading.Thread(target=lambda: told.append(suspend(record, old_port, "s-1")), daemon=True)
            operator.start()
            time.sleep(0.1)
            if trouble() and not sender.replace(old, new_port):
                return 2
            operator.join()
            if not told[0]:
                record.line("no yes: nothing is owed", show=True)
                return 0
            time.sleep(WATCHED_S)
            stop.set()
            sender.logs()
        finally:
            stop.set()
            sender.end()
    after = [call for call in one.calls if call[0] > told[0] + GRACE_S + SLACK_S]
    record.line(f"yes at {told[0]:.3f} s; calls at s-1 later than the grace after it: {len(after)}", show=True)
    record.line(
        f"calls at s-2 in the same time: {sum(call[0] > told[0] + GRACE_S + SLACK_S for call in other.calls)}",
        show=True,
    )
    return 1 if after else 0


if __name__ == "__main__":
    sys.exit(main())
