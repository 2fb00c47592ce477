"""The budget of file descriptors that connections to clients and to receivers share."""

from collections.abc import Callable

from cedarwick.errors import CedarwickError

RESERVED_DESCRIPTORS = 64  # for the interpreter, the event loop, the store and calls to the platform


class NoDescriptorError(CedarwickError):
    """All descriptors are in use, and no connection can be closed for a new one."""

    code = "CW302"
    remedy = "raise limits.sockets, or start another sender"


class DescriptorBudget:
    """Limits the descriptors of connections to clients and receivers.

    At the limit, `close_one` closes an idle connection to make room for a new one.
    """

    def __init__(self, limit: int) -> None:
        self.set_limit(limit)
        self.used = 0
        self.close_one: Callable[[], bool] = lambda: False

    def set_limit(self, limit: int) -> None:
        """Set the limit of the whole process; `RESERVED_DESCRIPTORS` of it are kept for other uses."""
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)

    def claim(self) -> None:
        """Claim one descriptor.

        Raises:
            NoDescriptorError: the limit is reached and no connection can be closed.
        """
        if self.used >= self.limit and not self.close_one():
            raise NoDescriptorError(f"all {self.limit} descriptors are in use")
        self.used += 1

    def release(self) -> None:
        """Release one descriptor."""
        self.used -= 1
