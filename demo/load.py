"""Callers of the demonstration, and the load balancer that they use."""

import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3


@dataclass
class SentRequest:
    """A request of a caller and its result.

    Attributes:
        request_id: Id by which endpoints count the runs.
        plan: Plan of the customer.
        method: HTTP method.
        status: HTTP status, or 0 if the connection broke.
        outcome: ``ok``, ``not-run``, ``failed``, ``unknown``, ``crossed`` (the
            answer of another request), ``status N`` or ``broken: ERROR``.
        took_s: Time until the answer, in seconds.
        refusal: Title and detail of a refusal, or an empty string.
        entry_address: Address of the entry instance that received the request.
    """

    request_id: str
    plan: str
    method: str
    status: int = 0
    outcome: str = "broken"
    took_s: float = 0.0
    refusal: str = ""
    entry_address: str = ""


@dataclass
class Balancer:
    """Chooses among the entry instances that passed the last health check."""

    entries: dict[str, str]
    _ready: tuple[str, ...] = ()
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def check(self, http: urllib3.PoolManager) -> int:
        """Checks the health of all entry instances; returns the ready count."""
        ready = []
        for name, address in list(self.entries.items()):
            try:
                answer = http.request("GET", f"http://{address}/readyz")
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                ready.append(name)
        with self._lock:
            self._ready = tuple(ready)
        return len(ready)

    def choose(self, rng: random.Random) -> str:
        """Returns the address of a random ready entry instance."""
        with self._lock:
            return self.entries[rng.choice(self._ready)]


@dataclass(frozen=True)
class CallerProfile:
    """Kind and rate of the requests that a caller sends.

    Attributes:
        customer: Name of the customer; the credential is ``sample-NAME``.
        plan: Plan of the customer.
        services: Services to choose from at random.
        period_s: Pause between requests, in seconds.
        write_share: Share of requests that are bookings (POST).
        repeat_share: Share of bookings that are sent twice with the same
            idempotency key.
        straggler_share: Share of requests with a long run time.
        straggler_ms: Run time of these requests, in milliseconds.
    """

    customer: str
    plan: str
    services: tuple[str, ...]
    period_s: float
    write_share: float
    straggler_share: float
    repeat_share: float = 0.2
    straggler_ms: int = 500


class Caller(threading.Thread):
    """Sends requests one after the other and records the results.

    Attributes:
        sent: Requests in order, without repeats.
        repeats: Repeated requests in order.
    """

    def __init__(
        self, number: int, profile: CallerProfile, balancer: Balancer
    ) -> None:
        """Prepares the thread; `start` starts it."""
        super().__init__(name=f"caller-{number}", daemon=True)
        self._number = number
        self._profile = profile
        self._balancer = balancer
        self._random = random.Random(number)
        self._http = urllib3.PoolManager(
            num_pools=16, retries=False, timeout=urllib3.Timeout(total=10)
        )
        self._stopping = threading.Event()
        self.sent: list[SentRequest] = []
        self.repeats: list[SentRequest] = []

    def stop(self) -> None:
        """Stops after the request in flight."""
        self._stopping.set()

    def run(self) -> None:
        """Sends requests until stopped."""
        count = 0
        while not self._stopping.wait(self._profile.period_s):
            count += 1
            self.sent.append(self._send(f"c{self._number}-{count}"))

    def _send(self, request_id: str) -> SentRequest:
        profile = self._profile
        write = self._random.random() < profile.write_share
        target = f"/{self._random.choice(profile.services)}/next"
        if self._random.random() < profile.straggler_share:
            target += f"?ms={profile.straggler_ms}"
        method = "POST" if write else "GET"
        sent = self._send_once(request_id, method, target)
        if write and self._random.random() < profile.repeat_share:
            # The balancer may send a repeat to any entry instance.
            self.repeats.append(self._send_once(request_id, method, target))
        return sent

    def _send_once(
        self, request_id: str, method: str, target: str
    ) -> SentRequest:
        sent = SentRequest(request_id, self._profile.plan, method)
        sent.entry_address = self._balancer.choose(self._random)
        headers = {
            "Authorization": f"Bearer sample-{self._profile.customer}",
            "X-Request-Id": request_id,
        }
        if method == "POST":
            headers["Idempotency-Key"] = request_id
        started_at = time.monotonic()
        try:
            answer = self._http.request(
                method,
                f"http://{sent.entry_address}{target}",
                headers=headers,
                body=b"{}" if method == "POST" else None,
            )
        except urllib3.exceptions.HTTPError as error:
            sent.outcome = f"broken: {type(error).__name__}"
            return sent
        sent.took_s = time.monotonic() - started_at
        sent.status = answer.status
        sent.outcome = _outcome(answer, request_id)
        if "Acaciawing-Outcome" in answer.headers:
            document = answer.json()
            sent.refusal = f"{document['title']} {document['detail']}".strip()
        return sent


def _outcome(answer: Any, request_id: str) -> str:
    refusal = answer.headers.get("Acaciawing-Outcome")
    if refusal is not None:
        return str(refusal)
    if answer.status != 200:
        return f"status {answer.status}"
    if answer.json()["request"] != request_id:
        return "crossed"
    return "ok"
