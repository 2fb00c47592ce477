"""Parsing of HTTP answers, for attempts, the endpoint list and notices."""

from collections.abc import Callable

import httptools

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer

MAX_HEAD_BYTES = 1 << 16
MAX_ANSWER_BYTES = MAX_HEAD_BYTES + (1 << 17)  # head and body, where the body is not passed on as it comes
INTERIM_PREFIXES = (b"HTTP/1.1 1", b"HTTP/1.0 1")  # how answers in front of the real one begin


class InvalidResponseError(CedarwickError):
    """Bytes that are no HTTP answer."""

    code = "CW301"
    remedy = "ask whose address this is: the partner's endpoint or the platform's list answers wrongly"


class ResponseParser:
    """One answer, parsed as its bytes arrive; httptools calls the `on_` methods."""

    def __init__(self, on_body: Callable[[bytes], None] | None = None) -> None:
        self.status = 0  # of the first line, as soon as that was read
        self.headers: dict[str, str] = {}
        self.fed = 0
        self.begun = False  # the real answer; what stood in front of it is left out
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)
        self.pass_on = on_body

    def on_message_begin(self) -> None:
        """Parser callback: an answer begins; raises `InvalidResponseError` for a second one."""
        if self.complete:  # a further answer: nobody asked for it, and it must not be read as this one
            raise InvalidResponseError("bytes after the answer")

    def on_status(self, _: bytes) -> None:
        """Parser callback: the status line was read."""
        self.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: keep a header field, at most 100 of them; names are lower case."""
        if not self.status:
            self.on_status(b"")  # a first line without a phrase has no call of its own
        field, content = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        if field in self.headers:
            self.headers[field] += ", " + content  # as RFC 9110 joins the lines of one field
        elif len(self.headers) < 100:
            self.headers[field] = content

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self.on_status(b"")
        self.headers_complete = True

    def on_body(self, part: bytes) -> None:
        """Parser callback: pass a part of the body on, if anybody wants it."""
        if self.pass_on is not None:
            self.pass_on(part)

    def on_message_complete(self) -> None:
        """Parser callback: the answer is complete."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, buffer: Buffer) -> None:
        """Consume what the buffer holds; raises `InvalidResponseError` where it is no HTTP answer or too long."""
        self.begun = self.begun or self._nothing_in_front(buffer)
        if not self.headers_complete and self.fed + len(buffer) > MAX_HEAD_BYTES:
            raise InvalidResponseError("a head without an end")
        if not self.begun:
            return
        part = buffer.take(len(buffer))
        self.fed += len(part)
        if self.pass_on is None and self.fed > MAX_ANSWER_BYTES and not self.complete:
            raise InvalidResponseError("an answer without an end")
        try:
            self.parser.feed_data(part)
        except (InvalidResponseError, httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if not self.complete:
                raise InvalidResponseError(str(error) or type(error).__name__) from None
            self.keep_alive = False  # bytes after a whole answer: nobody asked for them

    def _nothing_in_front(self, buffer: Buffer) -> bool:
        """Skip interim (1xx) answers; returns whether the final one begins here.

        They are skipped by hand, since the parser takes a 101 for the end of HTTP.
        """
        while any(begin.startswith(buffer.peek(0, len(begin))) for begin in INTERIM_PREFIXES):
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                return False
            self.fed += end + 4
            buffer.skip(end + 4)
        return True

    def feed_eof(self) -> bool:
        """Note the connection's end, which completes an answer without a length; returns whether it is complete."""
        if self.headers_complete and not self.complete:
            self.complete = not {"content-length", "transfer-encoding"} & self.headers.keys()
        return self.complete
