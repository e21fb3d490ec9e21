"""Tests of request framing against real sockets."""

import pytest

from acaciawing.entry.framing import MAX_BODY_BYTES, MAX_HEADER_BYTES
from acaciawing.entry.tests.raw_http import (
    echo_application,
    exchange,
    running,
)

_HEAD = b"POST /visits/next HTTP/1.1\r\nHost: entry\r\n"
# A second request in bytes that one of two parsers reads as the body.
_SMUGGLED = b"GET /hidden HTTP/1.1\r\nHost: entry\r\n\r\n"


class TestConflictingFraming:
    """Guards against request smuggling (RFC 9112 section 11.2)."""

    @pytest.mark.parametrize(
        "fields",
        [
            b"Content-Length: 0\r\nContent-Length: 38\r\n",
            b"Content-Length: 38\r\nContent-Length: 38\r\n",
            b"Content-Length: 38\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length : 38\r\n",
            b"Content-Length: +38\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: 3_8\r\n",
            b"Content-Length: 3\r\n 8\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        ],
    )
    def test_conflicting_framing_is_refused_and_connection_closed(
        self, fields: bytes
    ) -> None:
        with running(echo_application) as address:
            received = exchange(address, _HEAD + fields + b"\r\n" + _SMUGGLED)
        assert received.startswith(b"HTTP/1.1 400")
        assert received.count(b"HTTP/1.1") == 1

    @pytest.mark.parametrize(
        "body",
        [
            b"17;X /hidden HTTP/1.1\r\nHost: entry\r\nX-A: b\r\n\r\n\r\n0\r\n\r\n",
            b"0\r\nGET /hidden HTTP/1.1\r\nHost: entry\r\n\r\n",
        ],
        ids=["chunk-extension", "trailer"],
    )
    @pytest.mark.parametrize("reads", [False, True])
    def test_unread_chunked_body_is_not_parsed_as_request(
        self, body: bytes, reads: bool
    ) -> None:
        """The rest of an unread body and trailers must not become a request."""

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            if reads:
                environ["wsgi.input"].read()
            start_response("401 Unauthorized", [("Content-Length", "0")])
            return [b""]

        with running(application) as address:
            sent = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body
            received = exchange(address, sent)
        assert received.startswith(b"HTTP/1.1 401")
        assert received.count(b"HTTP/1.1") == 1

    def test_request_with_valid_framing_is_served(self) -> None:
        with running(echo_application) as address:
            received = exchange(address, _HEAD + b"Content-Length: 2\r\n\r\n{}")
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"2")

    def test_underscore_header_is_dropped(self) -> None:
        """Guards against a caller that sets X-Customer as X_Customer."""

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            answer = environ.get("HTTP_X_CUSTOMER", "none").encode()
            start_response("200 OK", [("Content-Length", str(len(answer)))])
            return [answer]

        with running(application) as address:
            received = exchange(address, _HEAD + b"X_Customer: boss\r\n\r\n")
        assert received.endswith(b"none")


class TestLimits:
    """Guards against callers that exhaust memory."""

    def test_large_header_is_refused(self) -> None:
        field = b"X-Fill: " + b"a" * MAX_HEADER_BYTES + b"\r\n\r\n"
        with running(echo_application) as address:
            received = exchange(address, _HEAD + field)
        assert received.startswith(b"HTTP/1.1 413")

    def test_large_body_is_refused_before_it_is_read(self) -> None:
        field = b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        with running(echo_application) as address:
            received = exchange(address, _HEAD + field)
        assert received.startswith(b"HTTP/1.1 413")
