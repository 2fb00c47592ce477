"""RESTORE of a receiver that has left the list meanwhile: it must get nothing."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from common2 import RECORD, TROUBLE, Client, Platform, Receiver, Sender, play, settings  # noqa: E402

GRACE_S = 1.0 + 0.05  # rules.drain-grace-ms of kiosk-delivery, 50 ms longer on sockets


def case(folder: str, senders: list[Sender]) -> list[str]:
    """Play it; return the calls that break the rule."""
    leaving, staying = Receiver("s-leaving", 7), Receiver("s-staying", 7)
    platform = Platform("agent", 41, [leaving.entry(), staying.entry()])
    sender = Sender(folder, platform, platform.whole(), settings())
    senders.append(sender)
    sender.start()

    ended = threading.Event()

    def load() -> None:
        client, count = Client(sender.listen), 0
        while not ended.wait(0.1):
            client.submit(f"m{count}", "c=status,d=8000,dest=7")
            count += 1

    loader = threading.Thread(target=load)
    loader.start()
    time.sleep(2)
    if TROUBLE:
        sender.call("SUSPEND s-leaving")
    time.sleep(1)
    # The receiver leaves for good while the watch is closed, and the next watch begins with the whole list.
    platform.targets.pop("s-leaving")
    platform.rev += 1
    platform.end_watches()
    time.sleep(3)
    told_at = RECORD.add("the sender has had the list without s-leaving for at least 2 s")
    if TROUBLE:
        sender.call("RESTORE s-leaving")
    time.sleep(6)
    ended.set()
    loader.join()
    late = [(last, message) for first, last, message in leaving.calls if first > told_at + GRACE_S]
    RECORD.add(f"calls: {len(staying.calls)} to s-staying, {len(leaving.calls)} to s-leaving, {len(late)} of these late")
    return [f"call of {message} to s-leaving at {at:.3f} s, {at - told_at + 2:.1f} s after the news" for at, message in late]


play(HERE, case)
