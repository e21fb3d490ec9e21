"""Client of the advice service, which selects the workers for a step."""

from dataclasses import dataclass

from acaciawing.platform.http import (
    JSON_HEADERS,
    Connection,
    Response,
    decode_object,
    encode_json,
    to_whole_number,
)

# The service's response time grows with the number of workers in the request,
# and it handles the calls of an instance one at a time.
_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class Advice:
    """Workers that may run a step.

    Attributes:
        tickets: Ticket for each worker, by worker id.
        valid_s: Validity of the tickets, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


@dataclass(frozen=True)
class AdviceUnavailable:
    """The service sent no usable response."""

    detail: str


class AdviceClient:
    """Client of the advice service; not thread-safe.

    Args:
        address: ``ip:port`` of the service.
    """

    def __init__(self, address: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._connection = Connection(address)

    def request_tickets(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> Advice | AdviceUnavailable:
        """Requests tickets for the workers that may run a step.

        Args:
            step: Parts of the step's id; the wire form joins them with dots.
            workers: Ids of the candidate workers.
        """
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
        if not isinstance(outcome, Response):
            return AdviceUnavailable(outcome.detail)
        if outcome.status != 200:
            return AdviceUnavailable(f"status {outcome.status}")
        values = decode_object(outcome.body)
        valid_ms = to_whole_number(values.get("ValidMs"))
        rows = values.get("Good")  # Pairs of worker id and ticket.
        if not isinstance(rows, list) or valid_ms is None:
            return AdviceUnavailable("malformed response")
        tickets = {
            row[0]: row[1]
            for row in rows
            if isinstance(row, list)
            and len(row) == 2
            and all(isinstance(part, str) for part in row)
        }
        return Advice(tickets, valid_ms / 1000)
