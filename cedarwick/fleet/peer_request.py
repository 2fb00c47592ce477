"""Incremental parser of HTTP requests to the peer server."""

import re

import httptools

from cedarwick.fleet.messages import PeerMessageHeader
from cedarwick.fleet.transport import REQUEST_ID_HEADER
from cedarwick.net import http

MAX_HEAD_BYTES = 1 << 13  # of the request line and the header lines
REQUEST_ID_PATTERN = re.compile(rb"[0-9]{1,20}")


class HttpRequest:
    """A partly or fully parsed request; httptools calls the `on_` methods."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.fed_bytes = 0  # counted at least up to the end of the head
        self.url = b""
        self.method = b""  # empty until the head is complete
        self.content_length = -1  # -1: no Content-Length header
        self.request_id = b""  # to be returned with the answer; empty: the caller sent none
        self.body: bytearray | None = bytearray()  # received so far; None: the body is discarded
        self.complete = False
        self.keep_alive = False
        self.header: PeerMessageHeader | None = None  # of the peer message; None until it is decoded

    def on_message_begin(self) -> None:
        """Raise `http.InvalidResponseError` for a second request in the same bytes."""
        if self.complete:
            raise http.InvalidResponseError("unexpected bytes after the request")

    def on_url(self, part: bytes) -> None:
        self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record Content-Length and request id; raises `ValueError` if the length is not a number."""
        if name.lower() == b"content-length":
            self.content_length = int(value)
        elif name.lower() == REQUEST_ID_HEADER.encode() and REQUEST_ID_PATTERN.fullmatch(value):
            self.request_id = value

    def on_headers_complete(self) -> None:
        self.method = self.parser.get_method()

    def on_body(self, part: bytes) -> None:
        if self.body is not None:
            self.body += part

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises `http.InvalidResponseError` for an invalid request or a head that is too long."""
        chunk = data if self.method else data[: MAX_HEAD_BYTES - self.fed_bytes]
        self.fed_bytes += len(chunk)
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if not self.complete:
                raise http.InvalidResponseError(str(error) or type(error).__name__) from None
            self.keep_alive = False  # bytes after a complete request; members never send any
        if not self.method and self.fed_bytes >= MAX_HEAD_BYTES:
            raise http.InvalidResponseError("HTTP request head exceeds the size limit")
        if self.complete:
            self.keep_alive &= len(chunk) == len(data)
        elif len(chunk) < len(data):
            self.feed(data[len(chunk) :])
