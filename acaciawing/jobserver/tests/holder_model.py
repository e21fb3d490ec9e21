"""Model of instances, workers and a store, for a check of the cells' holders.

The engines, their cells and their workers' sessions are real; the threads, the
network and the clock are not. A step changes what is disturbed and then lets
time pass, in which everything that isn't disturbed goes on.
"""

import json
from collections import deque
from collections.abc import Callable
from enum import Enum
from queue import Empty
from typing import Any, NamedTuple

import pytest

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    Job,
    JobSubmitted,
    PaceRun,
    Record,
    Resources,
    RunningRow,
    SaveRecord,
    StartOutcome,
    StartRun,
    Step,
    StopRun,
    SubtaskId,
    Worker,
    WorkerUnreachable,
    parse_subtask_id,
)
from acaciawing.jobs.holding import JoinAnswer, Membership
from acaciawing.jobs.limits import RUN_NUMBERS_PER_FENCE
from acaciawing.jobs.tests.builders import (
    make_configuration,
    make_job,
    make_worker,
)
from acaciawing.jobserver import engine as engine_module
from acaciawing.jobserver import held_cell as held_cell_module
from acaciawing.jobserver import holding as holding_module
from acaciawing.jobserver import sessions as sessions_module
from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.limits import MEMBER_TTL_MS, SLOW_JOIN_TIMEOUT_S
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    ConfigurationRead,
    Message,
    PartitionsAssigned,
    RecordsCaughtUp,
    RecordsRead,
    RecordsSaved,
    WorkerListConfirmed,
    WorkerListRead,
)
from acaciawing.jobserver.sessions import WorkerSession
from acaciawing.platform.runs import (
    CallFailure,
    PollResult,
    StaleFence,
    StartResult,
    WorkerRuns,
)
from acaciawing.platform.store import Committed, NotOwned, StoreLimits
from standins import job_worker
from standins.consumer_group import ConsumerGroup
from standins.job_worker import JobWorker

_PARTITIONS = 2
_MAX_LEASE_S = 10.0
_RETENTION_S = 3600

# Time at which each world begins.
_BEGIN_S = 1_000.0

# Run time of a subtask.
_RUN_S = 0.3

# Pause between two joins of an instance.
_QUANTUM_S = 0.2

# The same while time passes for long; shorter than a member's lifetime.
_LONG_QUANTUM_S = 0.5
_LONG_RUN_S = 2.0

# Rounds of messages, reads and calls between two joins.
_MAX_ROUNDS = 4

# By then all leases have lapsed, and each job has been run anew.
_SETTLING_S = 40.0

_LOGGED = ("CELL_ACQUIRED", "CELL_LOST", "RUN_PLACED", "RUN_ENDED")


class Link(Enum):
    """What is disturbed between an instance and the store.

    Attributes:
        UP: Nothing.
        DOWN: No call arrives.
        NO_ANSWERS: Calls take effect, but are not answered.
        NO_JOINS: Joins don't arrive, and all other calls are answered.
        LATE: Joins are answered only when the next one would be sent.
    """

    UP = "up"
    DOWN = "down"
    NO_ANSWERS = "no answers"
    NO_JOINS = "no joins"
    LATE = "late answers"


class RuleBrokenError(Exception):
    """A rule is broken; the message says which one."""


class _CycleEndError(Exception):
    """Ends the engine's loop after one cycle."""


class _Inbox:
    """Replaces the queue of an engine's messages; never blocks."""

    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self.cycles = 0

    def put(self, message: Message) -> None:
        self._messages.append(message)

    def get(self, timeout: float) -> Message:
        del timeout
        if not self.cycles:
            raise _CycleEndError
        self.cycles -= 1
        return self.get_nowait()

    def get_nowait(self) -> Message:
        if not self._messages:
            raise Empty
        return self._messages.popleft()


class Clock:
    """Clock of all parts of the model."""

    def __init__(self) -> None:
        """Starts at the time at which each world begins."""
        self.now = _BEGIN_S

    def reset(self) -> None:
        self.now = _BEGIN_S

    def monotonic(self) -> float:
        return self.now

    def time_ns(self) -> int:
        return round(self.now * 1e9)


class _Start(NamedTuple):
    """A start that a worker has carried out."""

    subtask: str
    run: int
    worker: str
    at: float


class _Log:
    """Records of the cell, in the topics for jobs and for progress."""

    def __init__(self) -> None:
        self.jobs: list[Record] = []
        self.progress: list[Record] = []
        self._epoch = 0

    def append(self, epoch: int, records: list[Record]) -> bool:
        """Appends to the progress; False if a later holder has fenced."""
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        self.progress += records
        return True


class _Reader:
    """Replaces the reader of a cell."""

    def __init__(
        self,
        key: CellKey,
        store: str,
        send: Callable[[Message], None],
        is_own: Callable[[str], bool],
    ) -> None:
        del is_own
        self._key, self._send = key, send
        self._instance = World.current.instances[store]
        self._read: int | None = None
        self._closed = False

    def start(self) -> None:
        self._instance.tasks.append(self.advance)

    def close(self) -> None:
        self._closed = True

    def advance(self) -> bool:
        """Fences earlier holders and reads; returns whether it goes on."""
        world, link = World.current, self._instance.link
        if self._closed:
            return False
        if link is Link.DOWN:
            return True
        if self._read is None:
            stored = world.log.append(self._key.fence, [])
            if link is Link.NO_ANSWERS:
                return True
            if not stored:
                self._send(CellFenced(self._key))
                return False
        if link is Link.NO_ANSWERS:
            return True
        records = world.log.jobs[self._read or 0 :]
        if self._read is None:
            records = records + world.log.progress
        if records:
            self._send(RecordsRead(self._key, tuple(records)))
        self._read = len(world.log.jobs)
        self._send(RecordsCaughtUp(self._key, world.clock.now))
        return True


class _Writer:
    """Replaces the writer of a cell."""

    def __init__(
        self,
        key: CellKey,
        store: str,
        limits: StoreLimits,
        send: Callable[[Message], None],
    ) -> None:
        del limits
        self._key, self._send = key, send
        self._instance = World.current.instances[store]
        self._queue: list[SaveRecord] = []
        self._closed = False

    def start(self) -> None:
        self._instance.tasks.append(self.advance)

    def close(self) -> None:
        self._closed = True

    def save(self, action: SaveRecord) -> None:
        self._queue.append(action)
        World.current.busy = True

    def advance(self) -> bool:
        """Appends what is queued; returns whether it goes on."""
        if self._closed:
            return False
        if not self._queue or self._instance.link is Link.DOWN:
            return True
        records = [action.record for action in self._queue]
        if not World.current.log.append(self._key.fence, records):
            self._send(CellFenced(self._key))
            return False
        if self._instance.link is not Link.NO_ANSWERS:
            self._send(RecordsSaved(self._key, self._queue[-1].number))
            self._queue.clear()
        return True


class _Client:
    """Replaces the client of a worker's run interface."""

    def __init__(self, instance: "Instance", worker: str, fence: int) -> None:
        self._instance = instance
        self._worker = worker
        self._fence = fence
        self.is_confirmed = False

    def close(self) -> None:
        self.is_confirmed = False

    def poll(
        self, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> PollResult:
        del wait_ms
        body: dict[str, Any] = {"LastSeen": acknowledged}
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        answer = self._call("/v1/hold", body)
        if answer is None:
            return CallFailure("no answer")
        if "Running" not in answer:
            return StaleFence()
        self.is_confirmed = True
        return WorkerRuns(
            answer["ClockMs"],
            answer["born"],
            tuple(
                RunningRow(_subtask(row[0]), *row[1:])
                for row in answer["Running"]
            ),
            tuple(
                EndedRow(n, _subtask(name), run, EndKind(how), saved)
                for n, name, run, how, saved in answer["Ended"]
            ),
        )

    def start(
        self, order: StartRun, deadline_ms: int, ticket: str
    ) -> StartResult:
        del ticket
        body = {
            "Task": str(order.subtask),
            "Run": order.run,
            "TaskSpec": order.payload,
            "DeadlineMs": deadline_ms,
            "Fence": self._fence,
        }
        if self._instance.slow:
            World.current.in_flight.append((self._worker, body))
            return StartResult(StartOutcome.UNANSWERED)
        if self._worker not in self._instance.reached:
            return StartResult(StartOutcome.UNANSWERED)
        answer = World.current.start(self._worker, body)
        outcome = {
            None: StartOutcome.STARTED,
            "fence": StartOutcome.FENCED,
            "old": StartOutcome.SUPERSEDED,
            "late": StartOutcome.LATE,
        }[answer.get("Reason")]
        return StartResult(outcome, answer["ClockMs"])

    def stop(
        self, subtask: SubtaskId, run: int
    ) -> StaleFence | CallFailure | None:
        answer = self._call("/v1/run-stop", {"Task": str(subtask), "Run": run})
        if answer is None:
            return CallFailure("no answer")
        return StaleFence() if answer.get("Reason") == "fence" else None

    def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        if self._worker not in self._instance.reached:
            return None
        return World.current.call(
            self._worker, path, {"Fence": self._fence, **body}
        )


class _NoAnswerError(Exception):
    """The store has not answered a call."""


class _Store:
    """Replaces the client that asks the store's group for what is held."""

    def __init__(self, address: str) -> None:
        self._instance = World.current.instances[address]

    def commit(
        self,
        group: str,
        member: str,
        topic: str,
        partition: int,
        generation: int,
    ) -> Committed | NotOwned:
        del group, topic
        if self._instance.link is Link.DOWN:
            raise _NoAnswerError
        world = World.current
        held = world.group.commit(
            member, generation, partition, 0, world.clock.now
        )
        if self._instance.link is Link.NO_ANSWERS:
            raise _NoAnswerError
        return Committed() if held else NotOwned()


def _start_task(name: str, target: Callable[[], None]) -> None:
    """Replaces the start of a thread that asks the store until it answers."""
    del name

    def advance() -> bool:
        try:
            target()
        except _NoAnswerError:
            return True
        return False

    World.current.acting.tasks.append(advance)
    World.current.busy = True


class _Session(WorkerSession):
    """A session without threads."""

    _client: _Client
    _instance: "Instance"

    def start(self) -> None:
        self._instance = World.current.acting
        self._client = self._make_client()
        self._order_client = self._make_client()
        self._instance.tasks.append(self.advance)

    def order(self, order: StartRun | StopRun | PaceRun) -> None:
        super().order(order)
        World.current.busy = True
        if isinstance(order, StartRun):
            World.current.note_placement(order)

    def acknowledge(self, end_number: int) -> None:
        super().acknowledge(end_number)
        World.current.busy = True

    def advance(self) -> bool:
        """Polls the worker and sends orders; returns whether it goes on."""
        if self._closed.is_set():
            return False
        if self._has_authority() and not self._poll_once():
            return False
        while not self._orders.empty():
            order = self._orders.get()
            if order is not None and not self._closed.is_set():
                self._execute(self._order_client, order)
        return True

    def _make_client(self) -> Any:
        return _Client(
            self._instance, self._incarnation.worker, self._key.fence
        )

    def _poll_once(self) -> bool:
        """Polls as `_poll_worker`; returns whether the session goes on."""
        now = World.current.clock.now
        grant = self._clock.grant(now) if self._client.is_confirmed else None
        result = self._client.poll(self._acknowledged, grant, 0)
        if isinstance(result, WorkerRuns):
            # No records become durable while it waits.
            self._acknowledged_event.set()
            return self._handle_poll(result, now, grant is None) >= 0
        if self._report_session_end(result):
            return False
        self._send_message(
            WorkerUnreachable(self._incarnation, self._clock.lease_until)
        )
        self._client.close()
        return True


class Instance:
    """An instance: its engine, its membership and its links.

    Attributes:
        name: Its name in the group.
        link: What is disturbed between it and the store.
        reached: Workers that its calls reach.
        slow: Whether its starts arrive late, without an answer.
        stalled: Whether its process is paused.
        tasks: Advance its readers, writers and sessions; each returns whether
            it goes on.
    """

    def __init__(self, name: str, workers: tuple[Worker, ...]) -> None:
        """Begins its first process."""
        self.name = name
        self.link = Link.UP
        self.reached = {w.incarnation.worker for w in workers}
        self.slow = False
        self.stalled = False
        self.tasks: list[Callable[[], bool]] = []
        self._workers = workers
        self.begin()

    def begin(self) -> None:
        """Begins a process that knows nothing."""
        self.tasks.clear()
        self._membership = Membership()
        self._late_answer: JoinAnswer | None = None
        self.engine = Engine(
            self.name,
            self.name,
            _PARTITIONS,
            _RETENTION_S,
            _RETENTION_S,
            _MAX_LEASE_S,
            StoreLimits(),
        )
        self.engine.send(ConfigurationRead(make_configuration()))
        self.engine.send(WorkerListRead(self._workers))
        self.engine.send(WorkerListConfirmed(World.current.clock.now))

    def join(self) -> bool:
        """Renews the membership; returns whether cells are to be released."""
        now, late = World.current.clock.now, self._late_answer
        if late is not None:
            self._late_answer = None
            if now - late.requested_at <= SLOW_JOIN_TIMEOUT_S:
                return self._receive(late)
        if self.link in (Link.DOWN, Link.NO_JOINS):
            return False
        assignment = World.current.group.join(
            self.name, self._membership.generation, MEMBER_TTL_MS / 1000, now
        )
        answer = JoinAnswer(assignment.generation, assignment.partitions, now)
        if self.link is Link.LATE:
            self._late_answer = answer
        if self.link in (Link.LATE, Link.NO_ANSWERS):
            return False
        return self._receive(answer)

    def _receive(self, answer: JoinAnswer) -> bool:
        """Handles an answer to a join as the membership's task does."""
        before = self._membership
        self._membership = before.renew(answer, MEMBER_TTL_MS / 1000)
        if (before.generation, before.partitions) != (
            self._membership.generation,
            self._membership.partitions,
        ):
            World.current.note(
                f"{self.name} joins: generation {answer.generation},"
                f" partitions {list(answer.partitions)}"
            )
        self.engine.send(_to_message(self._membership))
        return bool(before.partitions - self._membership.partitions)

    def cycle(self) -> None:
        """Runs one cycle of the engine's loop."""
        inbox: Any = self.engine._inbox
        inbox.cycles = 1
        try:
            self.engine._run()
        except _CycleEndError:
            return

    def advance(self) -> None:
        """Lets all tasks go on until they wait."""
        for _ in range(_MAX_ROUNDS):
            World.current.busy = False
            self.cycle()
            for task in list(self.tasks):
                if not task() and task in self.tasks:
                    self.tasks.remove(task)
            self.cycle()
            if not World.current.busy:
                break

    def completed(self, job: str) -> bool:
        """Whether it reports a job as completed."""
        held = self.engine._cells.get(0)
        return held is not None and held.cell.state(job) == "completed"


def _to_message(membership: Membership) -> PartitionsAssigned:
    """Returns what the membership's task tells the engine of an answer."""
    return PartitionsAssigned(
        membership.partitions,
        membership.generation,
        membership.confirmed_at,
        membership.first_generation,
    )


class World:
    """Instances, workers and a store, and the rules that they must keep.

    Attributes:
        current: The world that the replaced parts belong to.
        acting: The instance that acts.
        busy: Whether a task was given something to do.
        in_flight: Starts that have not reached their worker yet.
        reverse: Whether the last instance acts first.
        steps: Number of times at which all instances have acted.
        history: What the engines have logged.
    """

    current: "World"
    acting: Instance

    def __init__(self, clock: Clock, instances: int, workers: int) -> None:
        """Begins with instances that nothing disturbs, and without jobs."""
        World.current = self
        self.clock = clock
        self.group = ConsumerGroup(_PARTITIONS)
        self.log = _Log()
        self.busy = False
        self.in_flight: list[tuple[str, dict[str, Any]]] = []
        self.history: list[str] = []
        self.reverse = False
        self.steps = 0
        self._starts: list[_Start] = []
        self._placed_by: dict[str, int] = {}
        self._jobs: list[str] = []
        self._workers = {
            f"w{n}": JobWorker(_RUN_S) for n in range(1, workers + 1)
        }
        listed = tuple(
            make_worker(name, born_ms=worker.born, cores=1)
            for name, worker in self._workers.items()
        )
        self.instances: dict[str, Instance] = {}
        for name in "abc"[:instances]:
            self.instances[name] = Instance(name, listed)

    def submit(self) -> None:
        """Submits a job of two subtasks."""
        job: Job = make_job(f"j{len(self._jobs) + 1}", Step(2, Resources(1000)))
        self._jobs.append(job.id)
        self.log.jobs.append(JobSubmitted(job, 0))

    def rebalance(self) -> None:
        """Deals all partitions anew."""
        self.group.rebalance(self.clock.now)

    def restart(self, name: str) -> None:
        """Ends a process and begins another one, which leaves the group."""
        self.group.leave(name, self.clock.now)
        self.instances[name].begin()

    def deliver(self) -> None:
        """Lets all starts arrive that are in flight."""
        in_flight, self.in_flight = self.in_flight, []
        for worker, body in in_flight:
            self.start(worker, body)

    def run(self, seconds: float) -> None:
        """Lets time pass; what isn't disturbed goes on meanwhile."""
        until = self.clock.now + seconds
        quantum_s = _QUANTUM_S if seconds < _LONG_RUN_S else _LONG_QUANTUM_S
        while self.clock.now < until - 1e-6:
            self.clock.now = min(until, self.clock.now + quantum_s)
            self.steps += 1
            order = sorted(self.instances, reverse=self.reverse)
            for instance in map(self.instances.__getitem__, order):
                if instance.stalled:
                    continue
                self.acting = instance
                releases = instance.join()
                instance.advance()
                if releases:
                    instance.join()
                    instance.advance()
            self._check_ends()

    def part_zones(self) -> None:
        """Lets each instance reach only its own worker, or ends that."""
        workers = sorted(self._workers)
        parted = any(
            len(i.reached) < len(workers) for i in self.instances.values()
        )
        for instance, worker in zip(
            self.instances.values(), workers, strict=True
        ):
            instance.reached = set(workers) if parted else {worker}

    def settle(self) -> None:
        """Ends all disturbances, of workers last; all jobs must complete."""
        for instance in self.instances.values():
            instance.link = Link.UP
            instance.slow = instance.stalled = False
        self.deliver()
        self.run(_LONG_QUANTUM_S)
        for instance in self.instances.values():
            instance.reached = set(self._workers)
        until = self.clock.now + _SETTLING_S
        while not self._all_completed():
            if self.clock.now > until:
                raise RuleBrokenError("LOST: a job doesn't complete")
            self.run(_LONG_QUANTUM_S)

    def call(
        self, worker: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Calls a worker."""
        _, _, answer = self._workers[worker].handle(
            "POST", path, {}, json.dumps(body).encode(), {}
        )
        values: dict[str, Any] = json.loads(answer)
        return values

    def start(self, worker: str, body: dict[str, Any]) -> dict[str, Any]:
        """Calls a worker to start a run, and checks what it has started."""
        called = self._workers[worker]
        count = len(called.starts)
        answer = self.call(worker, "/v1/run-start", body)
        for subtask, run in called.starts[count:]:
            started = _Start(subtask, run, worker, self.clock.now)
            self._starts.append(started)
            self.note(f"{worker} starts {subtask} {run}")
            self._check_start(started)
        return answer

    def note_placement(self, order: StartRun) -> None:
        """Notes that a holder has placed a run."""
        subtask = str(order.subtask)
        fence = order.run // RUN_NUMBERS_PER_FENCE
        self._placed_by[subtask] = max(fence, self._placed_by.get(subtask, 0))

    def note_event(self, name: str, values: dict[str, Any]) -> None:
        """Notes an event that an engine has logged."""
        if name in _LOGGED:
            shown = " ".join(
                f"{k}={values[k]}"
                for k in (
                    "fence",
                    "subtask",
                    "run",
                    "worker",
                    "how",
                    "reason",
                    "confirmed_s",
                )
                if k in values
            )
            self.note(f"{name} {shown}")

    def note(self, text: str) -> None:
        """Adds a line to the history."""
        self.history.append(f"{self.clock.now - _BEGIN_S:6.2f} {text}")

    def _check_start(self, started: _Start) -> None:
        self._check_ends()
        for name, worker in self._workers.items():
            # Ends the runs that are over.
            if worker.running and name != started.worker:
                running = worker._running.get(started.subtask)
                if running is not None:
                    raise RuleBrokenError(
                        f"TWICE: {started.subtask} runs on {name} and on"
                        f" {started.worker}"
                    )
        fence = started.run // RUN_NUMBERS_PER_FENCE
        if fence < self._placed_by.get(started.subtask, 0):
            raise RuleBrokenError(
                f"TWO HOLDERS: {started.subtask} starts under fence {fence}"
                " after a later holder has placed it"
            )

    def _check_ends(self) -> None:
        for worker in self._workers.values():
            for run in worker.ended_runs:
                if (run.subtask, run.run) not in worker.acknowledged:
                    continue
                for start in self._starts:
                    if start.subtask == run.subtask and start.at > run.ended_at:
                        raise RuleBrokenError(
                            f"TWICE: {start.subtask} started as {start.run}"
                            f" after {run.run} was done and acknowledged"
                        )

    def _all_completed(self) -> bool:
        return all(
            any(i.completed(job) for i in self.instances.values())
            for job in self._jobs
        )


class Event(NamedTuple):
    """A change of what is disturbed, and the time that passes after it.

    Attributes:
        name: What changes.
        change: Makes the change.
        seconds: Time that passes after it.
    """

    name: str
    change: Callable[[World], None]
    seconds: float

    def __repr__(self) -> str:
        """Returns the line of a trace."""
        return f"{self.name}, {self.seconds} s"


def replace_parts(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replaces threads, network and clock; returns the clock."""
    clock = Clock()

    def log_event(event: Enum, values: dict[str, Any]) -> None:
        World.current.note_event(event.name, values)

    monkeypatch.setattr(engine_module, "SimpleQueue", _Inbox)
    monkeypatch.setattr(engine_module, "TICK_INTERVAL_S", 0.0)
    monkeypatch.setattr(held_cell_module, "CellReader", _Reader)
    monkeypatch.setattr(held_cell_module, "CellWriter", _Writer)
    monkeypatch.setattr(held_cell_module, "WorkerSession", _Session)
    monkeypatch.setattr(job_worker, "time", clock)
    for module in (engine_module, held_cell_module, sessions_module):
        monkeypatch.setattr(module, "log_event", log_event)
    monkeypatch.setattr(holding_module, "start_task", _start_task)
    monkeypatch.setattr(holding_module, "Store", _Store)
    for module in (engine_module, held_cell_module, sessions_module):
        monkeypatch.setattr(module, "steady_s", clock.monotonic)
    for module in (engine_module, held_cell_module):
        monkeypatch.setattr(module, "unix_ms", lambda: int(clock.now * 1000))
    return clock


def _subtask(name: str) -> SubtaskId:
    subtask = parse_subtask_id(name)
    assert subtask is not None
    return subtask
