"""Tests of the task that asks the advice service."""

from queue import SimpleQueue
from typing import Any

import pytest

from acaciawing.jobs import (
    AdviceFailure,
    AdviceRequest,
    AdviceResponse,
    Incarnation,
)
from acaciawing.jobserver.advice_task import AdviceTask
from acaciawing.jobserver.messages import AdviceReceived, CellKey
from acaciawing.platform.advice import AdviceClient
from standins.server import Response, json_response, serving

_KEY = CellKey(1, 1)
_REQUEST = AdviceRequest(7, ("j", 0, 0), (Incarnation("w", 1),))
_TIMEOUT_S = 30.0


def _ask(address: str) -> AdviceResponse | AdviceFailure:
    received: SimpleQueue[AdviceReceived] = SimpleQueue()
    task = AdviceTask(address, received.put)
    task.start()
    task.queue_request(_KEY, _REQUEST)
    message = received.get(timeout=_TIMEOUT_S)
    assert message.key == _KEY
    return message.advice


class TestAdviceTask:
    """Guards against a request that ends without a word to its cell.

    The cell asks about a worker again only after an answer or a failure.
    """

    def test_an_answer_names_its_request(self) -> None:
        def answer(*_: Any) -> Response:
            return json_response(200, {"Good": [["w", "t"]], "ValidMs": 3000})

        with serving(answer) as address:
            advice = _ask(address)
        assert isinstance(advice, AdviceResponse)
        assert (advice.request, advice.tickets) == (_REQUEST, {"w": "t"})

    def test_a_refused_request_is_reported(self) -> None:
        with serving(lambda *_: json_response(429, {})) as address:
            assert _ask(address) == AdviceFailure(_REQUEST)

    def test_an_unexpected_error_is_reported(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(*_: object) -> None:
            raise RuntimeError("unexpected")

        monkeypatch.setattr(AdviceClient, "request_tickets", fail)
        assert _ask("192.0.2.1:80") == AdviceFailure(_REQUEST)
