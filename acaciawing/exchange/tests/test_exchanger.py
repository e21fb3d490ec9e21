"""Tests of the exchange against a scripted endpoint on loopback."""

import socket
import threading
from collections.abc import Callable

import pytest
import urllib3

from acaciawing.exchange import (
    MAX_ANSWER_BYTES,
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    EndpointRequest,
    ExchangeOutcome,
    Exchanger,
    IdleConnections,
    Interrupted,
    NotSent,
)
from acaciawing.exchange.tests.scripted_server import Peer, ScriptedServer

_POST = EndpointRequest("POST", "/visits/book", (("Host", "h"),), b"first")
_SECOND_POST = EndpointRequest(
    "POST", "/visits/book", (("Host", "h"),), b"second"
)
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
_TIMEOUT_S = 5.0
_SHORT_TIMEOUT_S = 0.2


class BaselineExchanger:
    """Baseline: one default connection pool; any error is `NotSent`."""

    def __init__(self) -> None:
        """Opens no connection yet."""
        self._http = urllib3.PoolManager()

    def send(
        self, address: str, request: EndpointRequest, timeout_s: float
    ) -> ExchangeOutcome:
        try:
            answer = self._http.request(
                request.method,
                f"http://{address}{request.target}",
                body=request.body,
                headers=dict(request.headers),
                timeout=timeout_s,
                retries=1,
            )
        except urllib3.exceptions.HTTPError as error:
            return NotSent(str(error))
        return Answer(answer.status, tuple(answer.headers.items()), answer.data)


def reply(*parts: bytes) -> Callable[[Peer], None]:
    def script(peer: Peer) -> None:
        peer.read()
        for part in parts:
            peer.write(part)
        peer.wait_closed()

    return script


def reply_and_close(data: bytes) -> Callable[[Peer], None]:
    def script(peer: Peer) -> None:
        peer.read()
        peer.write(data)

    return script


def reset_before_reading(peer: Peer) -> None:
    peer.await_first_byte()
    peer.reset()


def reset_on_accept(peer: Peer) -> None:
    peer.reset()


def reset_after_reading(peer: Peer) -> None:
    peer.read()
    peer.reset()


def half_close_after_reading(peer: Peer) -> None:
    peer.read()
    peer.half_close()
    peer.wait_closed()


def send_one(
    script: Callable[[Peer], None],
    request: EndpointRequest = _POST,
    timeout_s: float = _TIMEOUT_S,
) -> ExchangeOutcome:
    with ScriptedServer([script]) as server:
        exchanger = Exchanger()
        try:
            return exchanger.send(server.address, request, timeout_s)
        finally:
            exchanger.close()


_FAULTS = {
    "reset before reading": (reset_before_reading, Interrupted),
    "reset after sending": (reset_after_reading, Interrupted),
    "half-closed": (half_close_after_reading, Interrupted),
    "not http": (reply_and_close(b"\x00\x01nonsense\r\n"), Interrupted),
    "header section cut": (
        reply_and_close(b"HTTP/1.1 204 No Content\r\nX-Cu"),
        Interrupted,
    ),
    "short body": (reply_and_close(_OK + b"a"), BadAnswer),
    "no length": (reply_and_close(b"HTTP/1.1 200 OK\r\n\r\nab"), BadAnswer),
    "two lengths": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n"
            b"\r\nab"
        ),
        BadAnswer,
    ),
    "length and chunked": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        ),
        BadAnswer,
    ),
    "chunk cut": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
        ),
        BadAnswer,
    ),
    "last chunk missing": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        ),
        BadAnswer,
    ),
    "line without colon": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nnonsense\r\nContent-Length: 2\r\n\r\nab"
        ),
        BadAnswer,
    ),
    "switching protocols": (
        reply_and_close(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"),
        BadAnswer,
    ),
    "too large": (
        reply(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            % (MAX_ANSWER_BYTES + 1)
        ),
        BadAnswer,
    ),
    "too large in chunks": (
        reply_and_close(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"80000\r\n" + b"x" * 0x80000 + b"\r\n") * 3
            + b"0\r\n\r\n"
        ),
        BadAnswer,
    ),
}


class TestFaults:
    """A fault must not be reported as an answer or as "not run"."""

    @pytest.mark.parametrize("name", _FAULTS)
    def test_fault_gives_its_outcome(self, name: str) -> None:
        script, expected = _FAULTS[name]
        assert isinstance(send_one(script), expected)

    def test_reset_while_connecting_is_not_sent_or_interrupted(self) -> None:
        """The reset may arrive before or after connect returns."""
        outcome = send_one(reset_on_accept)
        assert isinstance(outcome, NotSent | Interrupted)

    @pytest.mark.parametrize("name", ("too large", "too large in chunks"))
    def test_too_large_answer_has_response_too_large_code(
        self, name: str
    ) -> None:
        outcome = send_one(_FAULTS[name][0])
        assert isinstance(outcome, BadAnswer)
        assert outcome.code == "response-too-large"

    def test_baseline_reports_a_read_request_as_not_sent(
        self,
    ) -> None:
        scripts = [reset_after_reading, reset_after_reading]
        with ScriptedServer(scripts) as server:
            outcome = BaselineExchanger().send(
                server.address, _POST, _TIMEOUT_S
            )
            assert isinstance(outcome, NotSent)
        assert server.requests

    def test_baseline_accepts_an_answer_without_length(self) -> None:
        script, _ = _FAULTS["no length"]
        with ScriptedServer([script]) as server:
            outcome = BaselineExchanger().send(
                server.address, _POST, _TIMEOUT_S
            )
        assert isinstance(outcome, Answer)

    def test_refused_connection_is_not_sent(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            assert isinstance(Exchanger().send(address, _POST, 1.0), NotSent)

    def test_request_that_cannot_be_encoded_is_not_sent(self) -> None:
        split = EndpointRequest("GET", "/a\r\nX: y", ())
        outcome = send_one(lambda peer: peer.wait_closed(), split)
        assert isinstance(outcome, NotSent)

    def test_reset_while_sending_is_interrupted(self) -> None:
        # The body is larger than the socket buffers, so the reset arrives
        # while the request is still being sent.
        big = EndpointRequest("POST", "/a", (), b"x" * (16 << 20))

        def script(peer: Peer) -> None:
            peer.read_some()
            peer.reset()

        assert isinstance(send_one(script, big), Interrupted)

    def test_endpoint_that_stops_reading_times_out(self) -> None:
        big = EndpointRequest("POST", "/a", (), b"x" * (16 << 20))
        done = threading.Event()

        def read_nothing(peer: Peer) -> None:
            done.wait(5)

        with ScriptedServer([read_nothing]) as server:
            outcome = Exchanger().send(server.address, big, _SHORT_TIMEOUT_S)
            done.set()
        assert isinstance(outcome, AnswerTimeout)

    def test_no_time_left_is_not_sent(self) -> None:
        outcome = Exchanger().send("127.0.0.1:1", _POST, 0.0)
        assert isinstance(outcome, NotSent)


class TestDeadline:
    """A slow endpoint must not occupy a thread past the deadline."""

    @pytest.mark.parametrize(
        "start", (b"HTTP/1.1 200 OK\r\nA: ", _OK.replace(b": 2", b": 999"))
    )
    def test_slow_answer_ends_at_the_deadline(self, start: bytes) -> None:
        stop = threading.Event()

        def send_slowly(peer: Peer) -> None:
            peer.read()
            peer.write(start)
            # Each byte arrives well within any timeout per read.
            while not stop.wait(0.02):
                peer.write(b"x")

        outcome = send_one(send_slowly, timeout_s=_SHORT_TIMEOUT_S)
        stop.set()
        assert isinstance(outcome, AnswerTimeout)

    def test_remaining_time_replaces_the_timeout_field(self) -> None:
        request = EndpointRequest("GET", "/a", (("X-Request-Timeout", "99"),))
        with ScriptedServer([reply(_OK + b"ab")]) as server:
            exchanger = Exchanger()
            exchanger.send(server.address, request, _TIMEOUT_S)
            exchanger.close()
        (line,) = [
            line
            for line in server.requests[0].split(b"\r\n")
            if line.lower().startswith(b"x-request-timeout")
        ]
        assert 0 < float(line.split(b":")[1]) <= _TIMEOUT_S


_POISON = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
_SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"


class TestReuse:
    """An answer must not be returned to another request."""

    def send_two(
        self, first: Callable[[Peer], None], timeout_s: float = _TIMEOUT_S
    ) -> tuple[ExchangeOutcome, ExchangeOutcome, ScriptedServer]:
        with ScriptedServer([first, reply(_SECOND)]) as server:
            exchanger = Exchanger()
            one = exchanger.send(server.address, _POST, timeout_s)
            two = exchanger.send(server.address, _SECOND_POST, _TIMEOUT_S)
            exchanger.close()
        return one, two, server

    @pytest.mark.parametrize(
        "poison",
        (
            _OK + b"ab" + _POISON,
            b"HTTP/1.1 204 No Content\r\n\r\n" + _POISON,
            b"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n" + _POISON,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n0\r\n\r\n" + _POISON,
        ),
    )
    def test_surplus_bytes_are_not_the_next_answer(self, poison: bytes) -> None:
        one, two, server = self.send_two(reply(poison))
        assert isinstance(one, Answer)
        assert isinstance(two, Answer) and two.body == b"right"
        assert len(server.peers) == 2

    def test_late_answer_is_not_the_next_answer(self) -> None:
        timed_out = threading.Event()

        def late(peer: Peer) -> None:
            peer.read()
            timed_out.wait(5)
            peer.write(_POISON)
            peer.wait_closed()

        with ScriptedServer([late, reply(_SECOND)]) as server:
            exchanger = Exchanger()
            one = exchanger.send(server.address, _POST, _SHORT_TIMEOUT_S)
            timed_out.set()
            two = exchanger.send(server.address, _SECOND_POST, _TIMEOUT_S)
            exchanger.close()
        assert isinstance(one, AnswerTimeout)
        assert isinstance(two, Answer) and two.body == b"right"

    def test_interim_answers_are_skipped(self) -> None:
        hints = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        more = b"HTTP/1.1 100 Continue\r\n\r\n"
        outcome = send_one(reply(hints + more + hints + _SECOND))
        assert isinstance(outcome, Answer)
        assert (outcome.status, outcome.body) == (200, b"right")

    def test_baseline_returns_an_interim_answer_as_the_answer(
        self,
    ) -> None:
        hints = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        with ScriptedServer([reply(hints + _SECOND)]) as server:
            baseline = BaselineExchanger()
            outcome = baseline.send(server.address, _POST, _TIMEOUT_S)
            baseline._http.clear()
        assert isinstance(outcome, Answer) and outcome.status == 103

    def test_connection_is_reused_after_a_complete_answer(self) -> None:
        def two_answers(peer: Peer) -> None:
            for answer in (_OK + b"ab", _SECOND):
                peer.read()
                peer.write(answer)
            peer.wait_closed()

        with ScriptedServer([two_answers]) as server:
            exchanger = Exchanger()
            exchanger.send(server.address, _POST, _TIMEOUT_S)
            two = exchanger.send(server.address, _SECOND_POST, _TIMEOUT_S)
            exchanger.close()
        assert isinstance(two, Answer) and two.body == b"right"
        assert len(server.peers) == 1

    def test_connection_that_the_endpoint_closed_is_replaced(self) -> None:
        one, two, server = self.send_two(reply_and_close(_OK + b"ab"))
        assert isinstance(one, Answer) and isinstance(two, Answer | Interrupted)
        assert not isinstance(two, NotSent)

    def test_request_read_on_a_reused_connection_is_not_reported_as_not_sent(
        self,
    ) -> None:
        def answer_then_drop(peer: Peer) -> None:
            peer.read()
            peer.write(_OK + b"ab")
            peer.read()
            peer.reset()

        one, two, server = self.send_two(answer_then_drop)
        assert isinstance(one, Answer) and isinstance(two, Interrupted)
        assert [r.rpartition(b"\r\n")[2] for r in server.requests] == [
            b"first",
            b"second",
        ]

    def test_baseline_repeats_a_request_that_was_read(self) -> None:
        scripts = [reset_after_reading, reply_and_close(_SECOND)]
        with ScriptedServer(scripts) as server:
            baseline = BaselineExchanger()
            get = EndpointRequest("GET", "/a", (), b"")
            baseline.send(server.address, get, _TIMEOUT_S)
            baseline._http.clear()
        assert len(server.requests) == 2

    def test_old_idle_connection_is_not_reused(self) -> None:
        now = [0.0]
        scripts = [reply(_OK + b"ab"), reply(_SECOND)]
        with ScriptedServer(scripts) as server:
            exchanger = Exchanger(clock=lambda: now[0])
            exchanger.send(server.address, _POST, _TIMEOUT_S)
            now[0] = 4.0
            exchanger.send(server.address, _SECOND_POST, _TIMEOUT_S)
            exchanger.close()
        assert len(server.peers) == 2

    def test_idle_connections_are_bounded(self) -> None:
        closed = [threading.Event() for _ in range(3)]

        def watch(event: threading.Event) -> Callable[[Peer], None]:
            def script(peer: Peer) -> None:
                peer.read()
                peer.write(_OK + b"ab")
                peer.wait_closed()
                event.set()

            return script

        exchanger = Exchanger(idle=IdleConnections(total=2))
        servers = [ScriptedServer([watch(event)]) for event in closed]
        for server in servers:
            exchanger.send(server.address, _POST, _TIMEOUT_S)
        assert closed[0].wait(5)
        assert not closed[1].is_set() and not closed[2].is_set()
        exchanger.close()
        for server in servers:
            server.__exit__()


class TestFields:
    """Header fields of one hop must not reach the next."""

    def test_hop_by_hop_fields_are_removed_both_ways(self) -> None:
        fields = (
            ("Host", "h"),
            ("Connection", "X-Hop, keep-alive"),
            ("X-Hop", "1"),
            ("TE", "trailers"),
            ("Transfer-Encoding", "chunked"),
            ("Expect", "100-continue"),
            ("X-Kept", "1"),
            ("X-Kept", "2"),
        )
        answer = (
            b"HTTP/1.1 200 OK\r\nConnection: X-Back\r\nX-Back: 1\r\n"
            b"Keep-Alive: timeout=5\r\nX-Kept: 3\r\nContent-Length: 2\r\n\r\nab"
        )
        request = EndpointRequest("POST", "/a", fields, b"body")
        with ScriptedServer([reply(answer)]) as server:
            exchanger = Exchanger()
            outcome = exchanger.send(server.address, request, _TIMEOUT_S)
            exchanger.close()
        assert isinstance(outcome, Answer)
        assert outcome.headers == (("X-Kept", "3"), ("Content-Length", "2"))
        sent = server.requests[0].split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        names = sorted(line.split(b":")[0].lower() for line in sent)
        assert names == [
            b"content-length",
            b"host",
            b"x-kept",
            b"x-kept",
            b"x-request-timeout",
        ]

    def test_head_has_no_body_and_keeps_the_length(self) -> None:
        head = EndpointRequest("HEAD", "/a", (), b"")
        outcome = send_one(reply(_OK), head)
        assert outcome == Answer(200, (("Content-Length", "2"),), b"")

    @pytest.mark.parametrize("status", (204, 304))
    def test_answer_of_status_without_body_is_complete(
        self, status: int
    ) -> None:
        outcome = send_one(reply(b"HTTP/1.1 %d X\r\n\r\n" % status))
        assert outcome == Answer(status, (), b"")

    def test_not_run_answer_of_a_leaving_endpoint(self) -> None:
        outcome = send_one(
            reply(
                b"HTTP/1.1 503 X\r\nAcaciawing-Outcome: not-run\r\n"
                b"Acaciawing-Endpoint: leaving\r\nRetry-After: 2\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        )
        assert isinstance(outcome, EndpointNotRun)
        assert (outcome.retry_after_s, outcome.leaving) == (2.0, True)

    def test_plain_503_is_an_answer(self) -> None:
        outcome = send_one(
            reply(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        )
        assert isinstance(outcome, Answer) and outcome.status == 503
