"""The ids of recent submissions, so that none is accepted twice. No I/O, no clock; times are microseconds.

An id stays known for `LIFETIME_US` after its message was accepted, whether that has ended or not. Only a digest of each
id is held: it is shorter than most ids, and a client can't make it longer.
"""

import hashlib

LIFETIME_US = 15_000_000
MAX_IDS = 1 << 17  # some 14 MB; beyond it no new id is accepted, since forgetting one could let it run twice
DIGEST_BYTES = 8


class RecentSubmissions:
    """The ids of recent submissions, the oldest first."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self.max_ids = max_ids
        self.submitted_at: dict[int, int] = {}  # by digest of the id

    def add(self, message_id: str, now: int) -> None:
        """Remember an id from now on."""
        digest = digest_of(message_id)
        self.submitted_at.pop(digest, None)  # so that the order stays that of the times
        self.submitted_at[digest] = now

    def discard(self, message_id: str) -> None:
        """Forget an id whose message was not accepted."""
        self.submitted_at.pop(digest_of(message_id), None)

    def expire(self, now: int) -> None:
        """Forget the ids whose lifetime is over."""
        while self.submitted_at:
            oldest = next(iter(self.submitted_at))
            if self.submitted_at[oldest] >= now - LIFETIME_US:
                return
            del self.submitted_at[oldest]

    def is_full(self) -> bool:
        """Whether no further id can be remembered."""
        return len(self.submitted_at) >= self.max_ids

    def __contains__(self, message_id: str) -> bool:
        return digest_of(message_id) in self.submitted_at

    def __len__(self) -> int:
        return len(self.submitted_at)


def digest_of(message_id: str) -> int:
    """Return a number that stands for an id."""
    return int.from_bytes(hashlib.blake2b(message_id.encode(), digest_size=DIGEST_BYTES).digest(), "big")
