"""Client of the advice service, which names the workers of a step."""

from dataclasses import dataclass

from acaciawing.platform.http import (
    JSON_HEADERS,
    Answered,
    Connection,
    decode_object,
    encode_json,
    whole_number,
)

# The service takes its time for each worker named, and answers one call of an
# instance after the other, in seconds.
_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class Advice:
    """Tickets by worker, and how long they hold."""

    tickets: dict[str, str]
    valid_s: float


@dataclass(frozen=True)
class NoAdvice:
    """No usable answer."""

    detail: str


class AdviceClient:
    """Calls to the service; for one thread at a time.

    Args:
        address: ``ip:port`` of the service.
    """

    def __init__(self, address: str) -> None:
        """Keeps the address; connects on first use."""
        self._connection = Connection(address)

    def ask(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> Advice | NoAdvice:
        """Asks which workers may run a step."""
        body = {
            "Step": ".".join(str(part) for part in step),
            "Workers": list(workers),
        }
        outcome = self._connection.call(
            "POST",
            "/v1/advise",
            body=encode_json(body),
            headers=JSON_HEADERS,
            timeout_s=_TIMEOUT_S,
        )
        if not isinstance(outcome, Answered):
            return NoAdvice(outcome.detail)
        if outcome.status != 200:
            return NoAdvice(f"status {outcome.status}")
        answer = decode_object(outcome.body)
        valid_ms = whole_number(answer.get("ValidMs"))
        rows = answer.get("Good")
        if not isinstance(rows, list) or valid_ms is None:
            return NoAdvice("answer not understood")
        tickets = {
            str(row[0]): str(row[1])
            for row in rows
            if isinstance(row, list) and len(row) == 2
        }
        return Advice(tickets, valid_ms / 1000)
