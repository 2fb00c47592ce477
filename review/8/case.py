"""RESTORE of a receiver that has left the list, and whose address is another partner's by now: it must get nothing."""

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
    elsewhere = Receiver("s-elsewhere", 9)
    platform = Platform("agent", 41, [leaving.entry(), staying.entry(), elsewhere.entry()])
    sender = Sender(folder, platform, platform.whole(), settings())
    senders.append(sender)
    sender.start()

    ended = threading.Event()

    def load() -> None:
        client, count = Client(sender.listen), 0
        while not ended.wait(0.1):
            destination = 9 if count % 3 == 2 else 7
            client.submit(f"dest{destination}-{count}", f"c=status,d=8000,dest={destination}")
            count += 1

    loader = threading.Thread(target=load)
    loader.start()
    time.sleep(2)
    if TROUBLE:
        sender.call("SUSPEND s-leaving")
    time.sleep(1)
    # The receiver leaves for good while the watch is closed, and a new one of another partner is listed at its address.
    # The next watch begins with the whole list.
    platform.targets.pop("s-leaving")
    platform.targets["s-new"] = {**leaving.entry(), "uid": "s-new", "pod_group": 9}
    platform.rev += 1
    platform.end_watches()
    time.sleep(3)
    told_at = RECORD.add("the sender has had the list for at least 2 s: s-leaving is gone, s-new (destination 9) has its address")
    if TROUBLE:
        sender.call("RESTORE s-leaving")
    time.sleep(6)
    ended.set()
    loader.join()
    foreign = [(last, message) for first, last, message in leaving.calls if first > told_at + GRACE_S and message.startswith("dest7")]
    own = sum(message.startswith("dest9") for _, _, message in leaving.calls)
    RECORD.add(f"calls at the address: {own} of destination 9, {len(foreign)} of destination 7 after the grace")
    return [f"{message} (destination 7) came to s-new of destination 9 at {at:.3f} s, {at - told_at + 2:.1f} s after the news" for at, message in foreign]


play(HERE, case)
