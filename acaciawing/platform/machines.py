"""Client of the platform's machine interface."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import urlencode

from acaciawing.platform.http import (
    JSON_HEADERS,
    Connection,
    NotSent,
    Response,
    decode_object,
    encode_json,
)
from acaciawing.platform.wire import Finding, Machine, decode_machines

# Timeout of each call. A list request takes 10 to 16 ms under normal
# conditions.
_TIMEOUT_S = 1.0


class MachineOrderOutcome(Enum):
    """Outcome of a machine order.

    The values are written to logs and metrics.
    """

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_of_wave"
    INVALID = "invalid"
    NOT_DONE = "not_done"  # Certainly not executed.
    UNANSWERED = "unanswered"  # May have been executed.


@dataclass(frozen=True)
class MachineList:
    """All machines of the platform.

    Attributes:
        machines: The decoded rows.
        findings: Faults of the rows that could not be decoded.
    """

    machines: tuple[Machine, ...]
    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class MachineListUnavailable:
    """The interface did not respond, or responded with an error."""

    detail: str


_CONFLICT_OUTCOMES = {
    "fence": MachineOrderOutcome.FENCED,
    "busy": MachineOrderOutcome.BUSY,
    "wave": MachineOrderOutcome.NOT_IN_WAVE,
}


class MachineClient:
    """Client of the machine interface; not thread-safe.

    Args:
        address: ``ip:port`` of the interface.
        holder: Name of the instance that sends the orders.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._connection = Connection(address)
        self._holder = holder

    def list(self) -> MachineList | MachineListUnavailable:
        """Reads all pages of the machine list."""
        machines: list[Machine] = []
        findings: list[Finding] = []
        token: str | None = None
        while True:
            query = f"?{urlencode({'PageToken': token})}" if token else ""
            outcome = self._connection.call(
                "GET", f"/v1/machines{query}", timeout_s=_TIMEOUT_S
            )
            if not isinstance(outcome, Response):
                return MachineListUnavailable(outcome.detail)
            if outcome.status != 200:
                return MachineListUnavailable(f"status {outcome.status}")
            values = decode_object(outcome.body)
            rows, token = values.get("Machines"), values.get("NextToken")
            if not isinstance(rows, list) or not isinstance(token, str | None):
                return MachineListUnavailable("malformed response")
            for row in decode_machines(rows):
                if isinstance(row, Machine):
                    machines.append(row)
                else:
                    findings.append(row)
            if not token:
                return MachineList(tuple(machines), tuple(findings))

    def move(
        self, machine: str, service: str, fence: int
    ) -> MachineOrderOutcome:
        """Moves a machine to the pool of a service."""
        # The wire identifies a pool by its service.
        return self._order(
            "/v1/machine-move", {"Machine": machine, "Pool": service}, fence
        )

    def maintain(
        self, machine: str, wave: int, fence: int
    ) -> MachineOrderOutcome:
        """Shuts a machine down for the maintenance of a wave."""
        # The wire calls maintenance upkeep.
        return self._order(
            "/v1/machine-upkeep", {"Machine": machine, "Wave": wave}, fence
        )

    def _order(
        self, path: str, body: dict[str, object], fence: int
    ) -> MachineOrderOutcome:
        headers = {
            **JSON_HEADERS,
            "Lease-Holder": self._holder,
            "Fencing-Token": str(fence),
        }
        outcome = self._connection.call(
            "POST",
            path,
            body=encode_json(body),
            headers=headers,
            timeout_s=_TIMEOUT_S,
        )
        if isinstance(outcome, NotSent):
            return MachineOrderOutcome.NOT_DONE
        if not isinstance(outcome, Response):
            return MachineOrderOutcome.UNANSWERED
        if outcome.status == 200:
            return MachineOrderOutcome.DONE
        if outcome.status == 409:
            reason = decode_object(outcome.body).get("Reason")
            if not isinstance(reason, str):
                return MachineOrderOutcome.UNANSWERED
            return _CONFLICT_OUTCOMES.get(
                reason, MachineOrderOutcome.UNANSWERED
            )
        if outcome.status == 400:
            return MachineOrderOutcome.INVALID
        return MachineOrderOutcome.NOT_DONE
