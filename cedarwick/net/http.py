"""Incremental parser for HTTP answers, used by attempts, the endpoint list, notices and the fleet's peer client."""

from collections.abc import Callable

import httptools

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer

MAX_HEAD_BYTES = 1 << 16
MAX_ANSWER_BYTES = MAX_HEAD_BYTES + (1 << 17)  # head and body of an answer whose body is not streamed to a callback
INTERIM_PREFIXES = (b"HTTP/1.1 1", b"HTTP/1.0 1")  # first bytes of an interim (1xx) answer


class InvalidResponseError(CedarwickError):
    """The received bytes are not a valid HTTP answer."""

    code = "CW301"
    remedy = "ask whose address this is: the partner's endpoint or the platform's list answers wrongly"


class ResponseParser:
    """Parses one answer as its bytes arrive; httptools calls the `on_` methods."""

    def __init__(self, on_body: Callable[[bytes], None] | None = None) -> None:
        self.status = 0  # 0 until the status line was parsed
        self.headers: dict[str, str] = {}
        self.bytes_fed = 0
        self.final_answer_started = False  # interim (1xx) answers before it are skipped
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False
        self.followed_by_input = False  # unsolicited bytes came right behind the answer
        self.parser = httptools.HttpResponseParser(self)
        self.body_callback = on_body

    def on_message_begin(self) -> None:
        """Parser callback: an answer begins; raises `InvalidResponseError` for a second one."""
        if self.complete:  # an unsolicited second answer must not overwrite the first
            raise InvalidResponseError("unexpected bytes after the answer")

    def on_status(self, _: bytes) -> None:
        """Parser callback: the status line is complete."""
        self.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: store a header field under its lower-case name, up to 100 fields."""
        if not self.status:
            self.on_status(b"")  # httptools skips on_status for a status line without a reason phrase
        field, content = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        if field in self.headers:
            self.headers[field] += ", " + content  # combined as RFC 9110 defines for repeated fields
        elif len(self.headers) < 100:
            self.headers[field] = content

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self.on_status(b"")
        self.headers_complete = True

    def on_body(self, chunk: bytes) -> None:
        """Parser callback: pass a chunk of the body to the callback, if there is one."""
        if self.body_callback is not None:
            self.body_callback(chunk)

    def on_message_complete(self) -> None:
        """Parser callback: the answer is complete."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, buffer: Buffer) -> None:
        """Consume and parse the buffer; raises `InvalidResponseError` if it is not an HTTP answer or is too long."""
        self.final_answer_started = self.final_answer_started or self._skip_interim_answers(buffer)
        if not self.headers_complete and self.bytes_fed + len(buffer) > MAX_HEAD_BYTES:
            raise InvalidResponseError("the HTTP head is too long")
        if not self.final_answer_started:
            return
        data = buffer.take(len(buffer))
        self.bytes_fed += len(data)
        if self.body_callback is None and self.bytes_fed > MAX_ANSWER_BYTES and not self.complete:
            raise InvalidResponseError("the HTTP answer is too long")
        try:
            self.parser.feed_data(data)
        except (InvalidResponseError, httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if not self.complete:
                raise InvalidResponseError(str(error) or type(error).__name__) from None
            self.keep_alive, self.followed_by_input = False, True

    def _skip_interim_answers(self, buffer: Buffer) -> bool:
        """Skip interim (1xx) answers; returns whether the buffer now starts with the final answer.

        The parser cannot do this: it treats a 101 as an upgrade to another protocol.
        """
        while any(prefix.startswith(buffer.peek(0, len(prefix))) for prefix in INTERIM_PREFIXES):
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                return False
            self.bytes_fed += end + 4
            buffer.skip(end + 4)
        return True

    def feed_eof(self) -> bool:
        """Handle the end of the connection, which completes an answer without a length; returns `complete`."""
        if self.headers_complete and not self.complete:
            self.complete = not {"content-length", "transfer-encoding"} & self.headers.keys()
        return self.complete
