"""HTTP exchange with an endpoint, with one outcome type for each result.

A request may be repeated only if none of its bytes can have left this process.
This is decided by the step that failed, not by the type of the error: `NotSent`
is returned only if nothing was passed to the socket, that is after a failed
connect or if the request could not be encoded. A reset while sending on a
reused connection proves nothing, since the endpoint may have read the request
before it closed the connection.
"""

import http.client
import time
from collections.abc import Callable

import urllib3
from urllib3 import BaseHTTPResponse, HTTPHeaderDict
from urllib3.util import SKIP_HEADER

from acaciawing.configuration import split_address
from acaciawing.exchange.connection import EndpointConnection
from acaciawing.exchange.fields import (
    ENDPOINT_FIELD,
    OUTCOME_FIELD,
    answer_fields,
    framing_fault,
    request_fields,
    retry_after_s,
)
from acaciawing.exchange.idle import IdleConnections
from acaciawing.exchange.outcomes import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    EndpointRequest,
    ExchangeOutcome,
    Interrupted,
    NotSent,
)

MAX_ANSWER_BYTES = 1 << 20
# Round trips inside a region take a few milliseconds; an endpoint that does
# not accept within a second is down or unreachable.
_CONNECT_TIMEOUT_S = 1.0

_EXCHANGE_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)


class Exchanger:
    """Sends requests to endpoints; safe for several threads.

    Args:
        clock: Monotonic clock, in seconds.
        idle: Pool of idle connections; by default a new one.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        idle: IdleConnections | None = None,
    ) -> None:
        """Opens no connection yet."""
        self._clock = clock
        self._idle = IdleConnections() if idle is None else idle

    def send(
        self, address: str, request: EndpointRequest, timeout_s: float
    ) -> ExchangeOutcome:
        """Sends one request and reads the whole answer.

        Args:
            address: ``ip:port`` of the endpoint.
            request: The request.
            timeout_s: Seconds left until the caller's deadline.

        Returns:
            The outcome. A fault of the endpoint raises no exception.
        """
        deadline = self._clock() + timeout_s
        if timeout_s <= 0:
            return NotSent("the deadline passed before connecting")
        try:
            connection = self._open_connection(address, timeout_s)
        except _EXCHANGE_ERRORS as error:
            return NotSent(f"no connection to {address}: {error}")
        connection.begin_exchange(deadline)
        outcome, reusable = _exchange(connection, request)
        if reusable:
            connection.idle_since = self._clock()
            self._idle.release(address, connection)
        else:
            connection.abandon()
        return outcome

    def close(self) -> None:
        """Closes all idle connections."""
        self._idle.close()

    def close_idle(self) -> None:
        """Closes connections that were idle for too long."""
        self._idle.close_idle(self._clock())

    def _open_connection(
        self, address: str, timeout_s: float
    ) -> EndpointConnection:
        connection = self._idle.acquire(address, self._clock())
        if connection is not None:
            return connection
        connection = EndpointConnection(*split_address(address), self._clock)
        connection.timeout = min(timeout_s, _CONNECT_TIMEOUT_S)
        connection.connect()
        return connection


def _exchange(
    connection: EndpointConnection, request: EndpointRequest
) -> tuple[ExchangeOutcome, bool]:
    """Runs the exchange; returns its outcome and whether to reuse the connection."""
    whole_request = True
    try:
        _send(connection, request)
    except TimeoutError as error:
        if not connection.began_sending:
            return NotSent(str(error)), False
        return AnswerTimeout(f"while sending: {error}"), False
    except _EXCHANGE_ERRORS as error:
        if not connection.began_sending:
            return NotSent(f"request not sent: {error}"), False
        # The endpoint may have answered early and closed its reading side.
        whole_request = False
    try:
        response = connection.getresponse()
    except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
        return AnswerTimeout(f"waiting for an answer: {error}"), False
    except urllib3.exceptions.InvalidHeader as error:
        return BadAnswer(str(error)), False
    except _EXCHANGE_ERRORS as error:
        return Interrupted(f"{type(error).__name__}: {error}"), False
    outcome = _read_answer(connection, request, response)
    reusable = (
        whole_request
        and isinstance(outcome, Answer | EndpointNotRun)
        and connection.sock is not None
        and connection.ended_exactly
    )
    return outcome, reusable


def _send(connection: EndpointConnection, request: EndpointRequest) -> None:
    fields = HTTPHeaderDict()
    for name in ("Accept-Encoding", "User-Agent"):
        fields[name] = SKIP_HEADER
    for name, value in request_fields(request.headers, connection.remaining()):
        if fields.get(name) == SKIP_HEADER:
            del fields[name]
        fields.add(name, value)
    connection.request(
        request.method,
        request.target,
        body=request.body or None,
        headers=fields,
        preload_content=False,
        decode_content=False,
    )


def _read_answer(
    connection: EndpointConnection,
    request: EndpointRequest,
    response: BaseHTTPResponse,
) -> ExchangeOutcome:
    answer = connection.answer
    assert answer is not None
    status, headers = answer.status, answer.headers
    leaving = headers.get(ENDPOINT_FIELD, "").strip().lower() == "leaving"
    has_body = request.method != "HEAD" and status not in (204, 304)
    fault = framing_fault(
        headers.get_all("transfer-encoding", []),
        headers.get_all("content-length", []),
        has_body,
    )
    if headers.defects or headers.get_payload():
        fault = "malformed header section"
    if status == 101 or not 200 <= status <= 599:
        fault = f"unexpected status {status}"
    reported_outcome = headers.get(OUTCOME_FIELD, "").strip().lower()
    if status == 503 and reported_outcome == "not-run":
        wait = retry_after_s(headers.get("retry-after"))
        if not fault:
            _read_body(response, answer, has_body)
        return EndpointNotRun("the endpoint refused", wait, leaving)
    if fault:
        return BadAnswer(fault)
    body = _read_body(response, answer, has_body)
    if not isinstance(body, bytes):
        return body
    fields = answer_fields(headers.items(), request.method, status, len(body))
    return Answer(status, fields, body, leaving)


def _read_body(
    response: BaseHTTPResponse,
    answer: http.client.HTTPResponse,
    has_body: bool,
) -> bytes | BadAnswer | AnswerTimeout:
    if not has_body:
        answer.close()
        return b""
    too_large = BadAnswer(
        f"answer longer than {MAX_ANSWER_BYTES} bytes", "response-too-large"
    )
    if (answer.length or 0) > MAX_ANSWER_BYTES:
        return too_large
    parts: list[bytes] = []
    size = 0
    try:
        while part := response.read(MAX_ANSWER_BYTES + 1 - size):
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                return too_large
    except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
        return AnswerTimeout(f"reading the body: {error}")
    except _EXCHANGE_ERRORS as error:
        return BadAnswer(f"body cut short: {error}", "answer-incomplete")
    return b"".join(parts)
