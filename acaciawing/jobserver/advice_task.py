"""Task that sends requests to the advice service, one at a time."""

import threading
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.jobs import AdviceFailure, AdviceRequest, AdviceResponse
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import RETRY_PAUSE_S
from acaciawing.jobserver.messages import AdviceReceived, CellKey
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.advice import Advice, AdviceClient
from acaciawing.telemetry import Event, log_event


class AdviceTask:
    """Requests advice for all cells of this instance.

    Args:
        address: ``ip:port`` of the service.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self, address: str, send: Callable[[AdviceReceived], None]
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._client = AdviceClient(address)
        self._send = send
        self._requests: SimpleQueue[tuple[CellKey, AdviceRequest]] = (
            SimpleQueue()
        )
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("adviser", self._run, restart=True)

    def queue_request(self, key: CellKey, request: AdviceRequest) -> None:
        """Queues a cell's request for advice."""
        self._requests.put((key, request))

    def _run(self) -> None:
        while True:
            key, request = self._requests.get()
            # The cell asks again only after an answer or a failure.
            advice: AdviceResponse | AdviceFailure = AdviceFailure(request)
            try:
                advice = self._request(request)
            finally:
                self._send(AdviceReceived(key, advice))
            if isinstance(advice, AdviceFailure):
                self._pause.wait(RETRY_PAUSE_S)

    def _request(
        self, request: AdviceRequest
    ) -> AdviceResponse | AdviceFailure:
        requested_at = steady_s()
        workers = tuple(w.worker for w in request.workers)
        result = self._client.request_tickets(request.step, workers)
        if isinstance(result, Advice):
            return AdviceResponse(
                request, result.tickets, requested_at + result.valid_s
            )
        log_event(Event.FINDING, {"place": "advice", "fault": result.detail})
        return AdviceFailure(request)
