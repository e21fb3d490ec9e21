"""Callers of the demonstration and the platform's balancer in front of them."""

import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3


@dataclass
class Sent:
    """One request of a caller and what came back.

    Attributes:
        request_id: Id that endpoints count runs by.
        plan: Plan of the customer.
        method: HTTP method.
        status: Final status, or 0 if the connection broke.
        outcome: ``ok``, ``not-run``, ``failed``, ``unknown``, ``broken`` or
            ``crossed``.
        took_s: Time until the final answer, in seconds.
        code: Code of a refusal, or an empty string.
        entry: Address of the entry instance that it was sent to.
    """

    request_id: str
    plan: str
    method: str
    status: int = 0
    outcome: str = "broken"
    took_s: float = 0.0
    code: str = ""
    entry: str = ""


@dataclass
class Balancer:
    """Chooses an entry instance that was ready at the last health check."""

    entries: dict[str, str]
    _ready: tuple[str, ...] = ()
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def check(self, http: urllib3.PoolManager) -> int:
        """Asks each entry instance whether it is ready; returns how many."""
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

    def choose(self, source: random.Random) -> str:
        """Address of a ready entry instance."""
        with self._lock:
            return self.entries[source.choice(self._ready)]


@dataclass(frozen=True)
class CallerProfile:
    """What one caller sends.

    Attributes:
        customer: Name; the credential is ``sample-NAME``.
        plan: Plan of the customer.
        services: Services to call, by turns.
        period_s: Time between requests, in seconds.
        write_share: Share of requests that are bookings (POST).
        repeat_share: Share of bookings that are sent twice with one key.
        straggler_share: Share of requests that run longer.
        straggler_ms: Run time of these, in milliseconds.
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
    """Sends requests one after the other and keeps what came back."""

    def __init__(
        self, number: int, profile: CallerProfile, balancer: Balancer
    ) -> None:
        """Keeps the arguments; `start` begins to send."""
        super().__init__(name=f"caller-{number}", daemon=True)
        self._number = number
        self._profile = profile
        self._balancer = balancer
        self._random = random.Random(number)
        self._http = urllib3.PoolManager(
            num_pools=16, retries=False, timeout=urllib3.Timeout(total=10)
        )
        self._stopping = threading.Event()
        self.sent: list[Sent] = []
        self.repeats: list[Sent] = []

    def stop(self) -> None:
        """Lets the request in flight end, then stops."""
        self._stopping.set()

    def run(self) -> None:
        """Sends until stopped."""
        count = 0
        while not self._stopping.wait(self._profile.period_s):
            count += 1
            self.sent.append(self._send(f"c{self._number}-{count}"))

    def _send(self, request_id: str) -> Sent:
        profile = self._profile
        write = self._random.random() < profile.write_share
        target = f"/{self._random.choice(profile.services)}/next"
        if self._random.random() < profile.straggler_share:
            target += f"?ms={profile.straggler_ms}"
        method = "POST" if write else "GET"
        sent = self._exchange(request_id, method, target)
        if write and self._random.random() < profile.repeat_share:
            # The balancer may send a repeat to any entry instance.
            self.repeats.append(self._exchange(request_id, method, target))
        return sent

    def _exchange(self, request_id: str, method: str, target: str) -> Sent:
        sent = Sent(request_id, self._profile.plan, method)
        sent.entry = self._balancer.choose(self._random)
        headers = {
            "Authorization": f"Bearer sample-{self._profile.customer}",
            "X-Request-Id": request_id,
        }
        if method == "POST":
            headers["Idempotency-Key"] = request_id
        begun = time.monotonic()
        try:
            answer = self._http.request(
                method,
                f"http://{sent.entry}{target}",
                headers=headers,
                body=b"{}" if method == "POST" else None,
            )
        except urllib3.exceptions.HTTPError as error:
            sent.outcome = f"broken: {type(error).__name__}"
            return sent
        sent.took_s = time.monotonic() - begun
        sent.status = answer.status
        sent.outcome = _outcome(answer, request_id)
        if "Acaciawing-Outcome" in answer.headers:
            document = answer.json()
            sent.code = f"{document['title']} {document['detail']}".strip()
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
