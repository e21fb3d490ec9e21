"""Questions about jobs, answered by the holder of their cell."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import asdict
from urllib.parse import urlencode

import msgspec
import urllib3

from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.membership import Holders
from acaciawing.jobserver.messages import JobAnswer, JobAsked

PATH = "/v1/jobs"

# A call between instances takes 2 to 4 ms; in seconds.
_TIMEOUT = urllib3.Timeout(connect=0.3, read=0.4)
_ENGINE_TIMEOUT_S = 0.5

_NOT_HOLDER = JobAnswer(False)


class Lookups:
    """Asks the own engine first, then the holder that the store names.

    Args:
        engine: Engine of this instance.
        holders: Which instance holds each cell.
        address: ``ip:port`` at which other instances reach this one.
    """

    def __init__(self, engine: Engine, holders: Holders, address: str) -> None:
        """Keeps the arguments."""
        self._engine = engine
        self._holders = holders
        self._address = address
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=8, retries=False, timeout=_TIMEOUT
        )

    def ask(self, partition: int, queue: str, job: str) -> JobAnswer:
        """Asks for a job, or for a queue where `job` is empty."""
        answer = self.ask_here(partition, queue, job)
        if answer.holder:
            return answer
        member = self._holders.member(partition)
        if member and member != self._address:
            answer = self._ask_there(member, partition, queue, job)
        if not answer.holder:
            self._holders.mark_stale()
        return answer

    def ask_here(self, partition: int, queue: str, job: str) -> JobAnswer:
        """Asks the own engine."""
        reply: Future[JobAnswer] = Future()
        self._engine.send(JobAsked(partition, queue, job, reply))
        try:
            return reply.result(_ENGINE_TIMEOUT_S)
        except FutureTimeoutError:
            return _NOT_HOLDER

    def _ask_there(
        self, member: str, partition: int, queue: str, job: str
    ) -> JobAnswer:
        query = urlencode({"cell": partition, "queue": queue, "job": job})
        try:
            answer = self._http.request("GET", f"http://{member}{PATH}?{query}")
            if answer.status != 200:
                return _NOT_HOLDER
            return msgspec.json.decode(answer.data, type=JobAnswer)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, OSError):
            return _NOT_HOLDER


def encode_answer(answer: JobAnswer) -> bytes:
    """Encodes an answer for another instance."""
    return msgspec.json.encode(asdict(answer))
