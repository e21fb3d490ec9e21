"""The task that asks the advice service, one question after the other."""

import threading
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.jobs import AdviceRequest, AdviceResponse
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import PAUSE_S
from acaciawing.jobserver.messages import CellAdvised, CellKey
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.advice import Advice, AdviceClient
from acaciawing.telemetry import Event, log_event


class Adviser:
    """Asks for all cells of this instance.

    Args:
        address: ``ip:port`` of the service.
        send: Puts a message into the engine's inbox.
    """

    def __init__(
        self, address: str, send: Callable[[CellAdvised], None]
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._client = AdviceClient(address)
        self._send = send
        self._questions: SimpleQueue[tuple[CellKey, AdviceRequest]] = (
            SimpleQueue()
        )
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("adviser", self._run, restart=True)

    def ask(self, key: CellKey, question: AdviceRequest) -> None:
        """Queues a question of a cell."""
        self._questions.put((key, question))

    def _run(self) -> None:
        while True:
            key, question = self._questions.get()
            asked_at = steady_s()
            advice = self._client.ask(question.step, question.workers)
            if isinstance(advice, Advice):
                given = AdviceResponse(
                    question.step, advice.tickets, asked_at + advice.valid_s
                )
                self._send(CellAdvised(key, given))
                continue
            log_event(
                Event.FINDING, {"place": "advice", "fault": advice.detail}
            )
            self._pause.wait(PAUSE_S)
