"""Builders and a test harness for cells."""

from acaciawing.jobs import (
    Cell,
    Configuration,
    EndedRow,
    Incarnation,
    Job,
    JobSubmitted,
    LeaseBounds,
    Pool,
    Queue,
    Record,
    Resources,
    RunningRow,
    SaveRecord,
    StartOrderResult,
    StartOutcome,
    StartRun,
    Step,
    Worker,
    WorkerReport,
)
from acaciawing.jobs.actions import Action

SERVICE = "visits"
QUEUE = "next-visit"
UNCONFIRMED_S = 11.0
LEASE_S = 5.0
LONGEST_LEASE_S = 10.0


def make_worker(name: str, *, born_ms: int = 1, cores: int = 32) -> Worker:
    return Worker(
        incarnation=Incarnation(name, born_ms),
        service=SERVICE,
        address="192.0.2.1:80",
        zone="a",
        draining=False,
        capacity=Resources(cores * 1000, 131072),
        labels=frozenset({"a", "r1-1"}),
        rack="r1-1",
    )


def make_job(name: str, *steps: Step) -> Job:
    return Job(name, QUEUE, "payload", steps or (Step(1, Resources(1000)),))


def make_configuration(
    max_attempts: int = 2, *, guarded: bool = True
) -> Configuration:
    queue = Queue(QUEUE, "h", "/p/", SERVICE, max_attempts=max_attempts)
    pool = Pool(SERVICE, rejects_overload=guarded)
    return Configuration(1, {QUEUE: queue}, {SERVICE: pool})


class CellHarness:
    """Runs a cell with simulated workers and a simulated store.

    Both answer immediately unless a test disables it.

    Attributes:
        cell: The cell under test.
        now: Current time in seconds.
        log: All records that the cell has saved.
        starts: All starts that the cell has ordered.
        actions: All actions that the cell has returned.
    """

    def __init__(  # noqa: D107
        self, fence: int = 1, max_attempts: int = 2
    ) -> None:
        self.cell = Cell(fence, LeaseBounds(LEASE_S, LONGEST_LEASE_S))
        self.cell.configure(make_configuration(max_attempts))
        self.now = 100.0
        self.log: list[Record] = []
        self.starts: list[StartRun] = []
        self.actions: list[Action] = []
        self.cell.confirm_holder(self.now)

    def recover(self, *records: Record) -> None:
        self.cell.fold(records, self.now, 0)
        self.cell.finish_recovery(self.now, UNCONFIRMED_S)

    def submit(self, job: Job) -> None:
        self.cell.fold([JobSubmitted(job, 0)], self.now, 0)

    def update_workers(self, *workers: Worker) -> None:
        self.cell.update_workers(workers, self.now)

    def report(
        self,
        worker: Worker,
        running: tuple[RunningRow, ...] | None = None,
        ended: tuple[EndedRow, ...] = (),
        *,
        ends_complete: bool = True,
    ) -> None:
        """Sends a worker's report; by default with all its expected runs."""
        if running is None:
            over = {row.subtask for row in ended}
            view = self.cell.views[worker.incarnation]
            running = tuple(
                RunningRow(run.subtask, run.number, "", 50, 0)
                for run in view.runs.values()
                if run.subtask not in over
            )
        self.cell.receive(
            WorkerReport(
                worker.incarnation,
                self.now,
                self.now + LEASE_S,
                running,
                ended,
                ends_complete,
            ),
            self.now,
        )

    def step(self, *, answer: bool = True, save: bool = True) -> list[Action]:
        """Carries out the cell's actions: stores records and answers starts."""
        actions = self.cell.take_actions(self.now)
        self.actions += actions
        for action in actions:
            if isinstance(action, SaveRecord):
                self.log.append(action.record)
                if save:
                    self.cell.records_saved(action.number, self.now)
            elif isinstance(action, StartRun):
                self.starts.append(action)
                if answer:
                    self.cell.receive(
                        StartOrderResult(action, StartOutcome.STARTED), self.now
                    )
        return actions

    def settle(self) -> None:
        """Carries out actions in several rounds, as one leads to the next."""
        for _ in range(4):
            self.now += 0.01
            self.step()

    def wait(self, seconds: float, *, confirmed: bool = True) -> None:
        """Advances the time and ticks the cell."""
        self.now += seconds
        if confirmed:
            self.cell.confirm_holder(self.now)
        self.cell.tick(self.now, 0)
