"""Workers and the fold of their tasks for placement tests.

The tests set the time.
"""

import random
from dataclasses import dataclass, field

from acaciawing.fold import FleetState, step
from acaciawing.leases import (
    MAX_LEASE_S,
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesRenewed,
)
from acaciawing.outcomes import Accepted, Verdict
from acaciawing.placement import (
    LEASE_S,
    PLACEMENT_SUBJECT,
    CapacityIndex,
    Corrections,
    Placed,
    PlacementDecision,
    PlacementRequest,
    PlacementSnapshot,
    Resources,
    Task,
    TaskPlaced,
    TaskSubmitted,
    TaskTable,
    Worker,
    build_index,
    place,
)
from acaciawing.records import LogPosition, encode

FENCE = Fence(PLACEMENT_SUBJECT, 0)
_WRITER = "entry-1/1"


def worker(
    number: int, processors: float = 32, accelerators: int = 0
) -> Worker:
    """Makes a worker in one of three zones, with four workers to a rack."""
    total = Resources(processors, 128_000, accelerators)
    return Worker(f"w{number}", f"z{number % 3}", f"r{number // 4}", total)


@dataclass
class FakeWorkers:
    """Workers whose control instance places one task at a time."""

    workers: list[Worker]
    now: float = 0.0
    offset: int = 0
    state: FleetState = FleetState()
    corrections: Corrections = Corrections()
    unavailable: frozenset[str] = frozenset()
    generator: random.Random = field(default_factory=lambda: random.Random(1))

    @property
    def table(self) -> TaskTable:
        return self.state.tasks

    @property
    def index(self) -> CapacityIndex:
        return build_index(self.workers, self.table)

    @property
    def snapshot(self) -> PlacementSnapshot:
        return PlacementSnapshot(
            self.table, self.index, self.corrections, self.unavailable
        )

    def append(self, record: object) -> Verdict:
        """Appends a record under the lease, after claiming or renewing it."""
        if not self.offset:
            self._fold(
                LeaseClaimed(PLACEMENT_SUBJECT, _WRITER, NO_LEASE, MAX_LEASE_S)
            )
        else:
            session = self.state.leases.sessions[_WRITER]
            while session.ends_at < self.now + 1.0:
                self._fold(
                    LeasesRenewed(_WRITER, self.offset, MAX_LEASE_S),
                    session.ends_at,
                )
                session = self.state.leases.sessions[_WRITER]
        return self._fold(record)

    def _fold(self, record: object, at: float | None = None) -> Verdict:
        position = LogPosition(self.offset, self.now if at is None else at)
        folded = step(self.state, encode(record, _WRITER), position)
        self.state, self.offset = folded.state, self.offset + 1
        return folded.outcome

    def submit(
        self,
        name: str,
        size: Resources,
        team: str = "red",
        zones: tuple[str, ...] = (),
        urgent: bool = False,
        checkpointable: bool = False,
    ) -> Task:
        record = TaskSubmitted(
            name, team, "render", size, 60.0, urgent, checkpointable, zones
        )
        assert self.append(record) == Accepted()
        return self.table.tasks[name]

    def decide(self, name: str) -> PlacementDecision:
        request = PlacementRequest(self.table.tasks[name])
        return place(self.snapshot, request, self.now, self.generator)

    def record(
        self, name: str, placed: Placed, borrowed: bool = False
    ) -> TaskPlaced:
        task = self.table.tasks[name]
        return TaskPlaced(
            name,
            task.attempt + 1,
            placed.worker.worker,
            placed.worker_epoch,
            placed.worker.zone,
            placed.worker.rack,
            placed.size,
            LEASE_S,
            borrowed,
            FENCE,
        )

    def place(self, name: str, borrowed: bool = False) -> str:
        """Places a task and returns its worker."""
        decision = self.decide(name)
        assert isinstance(decision, Placed), decision
        record = self.record(name, decision, borrowed)
        assert self.append(record) == Accepted()
        return decision.worker.worker
