"""A request to the peer server as it is parsed."""

import httptools

from cedarwick.fleet.messages import PeerMessageHeader
from cedarwick.net import http

MAX_HEAD_BYTES = 1 << 13  # of header lines


class HttpRequest:
    """One request as it comes in; the parser calls the `on_` methods."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.fed_bytes = 0  # up to the end of the head at least
        self.url = b""
        self.method = b""  # once the head was read
        self.content_length = -1  # -1: not given
        self.body: bytearray | None = bytearray()  # so far; None: nobody wants it
        self.complete = False
        self.keep_alive = False
        self.header: PeerMessageHeader | None = None  # of the peer message, once it was read so far

    def on_message_begin(self) -> None:
        """Raises `http.InvalidResponseError` for a second request in the same bytes."""
        if self.complete:
            raise http.InvalidResponseError("bytes after the request")

    def on_url(self, part: bytes) -> None:
        self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the size of the body; raises `ValueError` for one that is no number."""
        if name.lower() == b"content-length":
            self.content_length = int(value)

    def on_headers_complete(self) -> None:
        self.method = self.parser.get_method()

    def on_body(self, part: bytes) -> None:
        if self.body is not None:
            self.body += part

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises `http.InvalidResponseError` for what is no request, or for too long a head."""
        first = data if self.method else data[: MAX_HEAD_BYTES - self.fed_bytes]
        self.fed_bytes += len(first)
        try:
            self.parser.feed_data(first)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if not self.complete:
                raise http.InvalidResponseError(str(error) or type(error).__name__) from None
            self.keep_alive = False  # bytes after a whole request: members never write any
        if not self.method and self.fed_bytes >= MAX_HEAD_BYTES:
            raise http.InvalidResponseError("a head without an end")
        if self.complete:
            self.keep_alive &= len(first) == len(data)
        elif len(first) < len(data):
            self.feed(data[len(first) :])
