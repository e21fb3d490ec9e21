"""Client of the platform's interface for machines."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import urlencode

from acaciawing.platform.http import (
    JSON_HEADERS,
    Answered,
    Connection,
    NotSent,
    decode_object,
    encode_json,
)
from acaciawing.platform.wire import Finding, Machine, decode_machines

# A reading takes 10 to 16 ms undisturbed; in seconds.
_TIMEOUT_S = 1.0


class MachineOrderOutcome(Enum):
    """How an order for a machine ended."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_of_wave"
    INVALID = "invalid"
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class MachineList:
    """All machines, and faults in rows that could not be read."""

    machines: tuple[Machine, ...]
    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class MachinesUnavailable:
    """The interface did not answer, or answered with an error."""

    detail: str


_REASONS = {
    "fence": MachineOrderOutcome.FENCED,
    "busy": MachineOrderOutcome.BUSY,
    "wave": MachineOrderOutcome.NOT_IN_WAVE,
}


class MachineClient:
    """Calls to the interface; for one thread at a time.

    Args:
        address: ``ip:port`` of the interface.
        holder: Names the instance that gives the orders.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Keeps the arguments; connects on first use."""
        self._connection = Connection(address)
        self._holder = holder

    def list(self) -> MachineList | MachinesUnavailable:
        """Reads all pages of the list."""
        machines: list[Machine] = []
        findings: list[Finding] = []
        token: str | None = None
        while True:
            query = f"?{urlencode({'PageToken': token})}" if token else ""
            outcome = self._connection.call(
                "GET", f"/v1/machines{query}", timeout_s=_TIMEOUT_S
            )
            if not isinstance(outcome, Answered):
                return MachinesUnavailable(outcome.detail)
            if outcome.status != 200:
                return MachinesUnavailable(f"status {outcome.status}")
            answer = decode_object(outcome.body)
            rows = answer.get("Machines")
            if not isinstance(rows, list):
                return MachinesUnavailable("answer not understood")
            for row in decode_machines(rows):
                if isinstance(row, Machine):
                    machines.append(row)
                else:
                    findings.append(row)
            token = answer.get("NextToken")
            if not token:
                return MachineList(tuple(machines), tuple(findings))

    def move(
        self, machine: str, service: str, fence: int
    ) -> MachineOrderOutcome:
        """Moves a machine to the pool of a service."""
        return self._order(
            "/v1/machine-move", {"Machine": machine, "Pool": service}, fence
        )

    def maintain(
        self, machine: str, wave: int, fence: int
    ) -> MachineOrderOutcome:
        """Takes a machine down for the upkeep of a wave."""
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
        if not isinstance(outcome, Answered):
            return MachineOrderOutcome.UNANSWERED
        if outcome.status == 200:
            return MachineOrderOutcome.DONE
        if outcome.status == 409:
            reason = decode_object(outcome.body).get("Reason")
            return _REASONS.get(str(reason), MachineOrderOutcome.UNANSWERED)
        if outcome.status == 400:
            return MachineOrderOutcome.INVALID
        return MachineOrderOutcome.NOT_DONE
