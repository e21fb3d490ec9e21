"""Scheduling of one cell: the jobs of some services and their workers.

A cell has one holder at a time, whose fence rises with each change. The holder
folds the cell's records, adopts what runs on the workers, and decides all that
starts and stops there. A `Cell` makes these decisions: messages go in with the
present time, and `take_actions` returns what is to be done. It does no input
or output of its own.
"""

from collections.abc import Callable, Iterable, Set
from functools import singledispatchmethod
from typing import NamedTuple

from acaciawing.jobs.actions import (
    Acknowledge,
    Action,
    AdviceGiven,
    AskAdvice,
    CloseWorker,
    Departed,
    EndedRow,
    EndKind,
    OpenWorker,
    PaceRun,
    Report,
    RunningRow,
    SaveRecord,
    StartAnswered,
    StartOutcome,
    StartRun,
    StopAnswered,
    StopRun,
    Unreachable,
    WorkerMessage,
)
from acaciawing.jobs.choice import choose_gang, choose_worker
from acaciawing.jobs.fleet import CellReport, PoolLoad, WorkerLoad
from acaciawing.jobs.model import (
    Configuration,
    Incarnation,
    Queue,
    Resources,
    Step,
    SubtaskId,
    Worker,
)
from acaciawing.jobs.order import Rank, Urgency, urgency
from acaciawing.jobs.progress import JobProgress, JobTable
from acaciawing.jobs.records import (
    JobFailed,
    Record,
    RunFailed,
    SubtaskDone,
    WorkerEngaged,
    WorkerReleased,
)
from acaciawing.jobs.retention import due_records, expired_jobs
from acaciawing.jobs.sharing import SLOW_ABOVE, STEP_S, next_pace, strain
from acaciawing.jobs.tickets import TicketBook
from acaciawing.jobs.workers import CONTACT_S, Phase, Run, WorkerView

# Run numbers of a fence start at this multiple of it, so that every run of a
# later holder is higher than all runs of earlier ones.
RUNS_PER_FENCE = 100_000

# A worker that refused a start for want of room is left alone for this time,
# in seconds: about one renewal, after which its runs are known again.
HELD_BACK_S = 0.15

# A worker that refused a start for its own health is left alone for this time,
# in seconds.
UNHEALTHY_S = 0.6

# Outcomes after which a run may be there, or may begin later.
_UNDECIDED_STARTS = (StartOutcome.UNANSWERED, StartOutcome.SUPERSEDED)

# An order to stop is repeated after this time without an end, in seconds;
# above the 0.9 s that a worker may take to stop a run.
STOP_REPEAT_S = 1.2

# A gang whose members have not all begun after this time is stopped, in
# seconds; below the 3 s after which waiting members give up by themselves.
GANG_START_S = 1.5


# Runs on a worker that is to be emptied are waited for this long, in seconds:
# most end by then, and stragglers lose little by their checkpoints.
EVACUATION_PATIENCE_S = 2.0

# A worker that has not answered for this time may be gone, in seconds; above
# the longest wait of a renewal.
SILENT_S = 1.0

# Runs are started without a further condition for this time after the group
# has confirmed the holder, in seconds; below the 1.5 s after which the cell may
# be dealt to another instance.
CONFIRMED_S = 1.2

# Percent that a run at full work is listed with.
FULL_WORK = 100

# A lasting run counts as at work this long after it was started or adopted, in
# seconds: an earlier holder's order to stop it takes up to 0.9 s, and the run
# is listed as at full work meanwhile.
SETTLED_S = 2.0


class Takeover(NamedTuple):
    """What is not known yet of workers that an earlier holder used.

    Attributes:
        until: Time after which nothing that it started can still run, for
            each worker that was not reached yet.
        jobs: Jobs that existed at the takeover.
    """

    until: dict[Incarnation, float]
    jobs: frozenset[str]


class Waiting(NamedTuple):
    """A subtask or gang whose turn has come."""

    since: float
    step: Step


class Cell:
    """Decisions of a cell's holder.

    Args:
        fence: Higher than that of any earlier holder.
        on_event: Called with a name and values for each decision to log.
    """

    def __init__(
        self, fence: int, on_event: Callable[..., None] = lambda *_, **__: None
    ) -> None:
        """Starts before the records are read."""
        self.fence = fence
        self.table = JobTable()
        self.views: dict[Incarnation, WorkerView] = {}
        self.recovered = False
        self.fenced = False
        self._log = on_event
        self._queues: dict[str, Queue] = {}
        self._actions: list[Action] = []
        self._takeover = Takeover({}, frozenset())
        self._waiting: dict[SubtaskId, Waiting] = {}
        self._active: dict[SubtaskId, WorkerView] = {}
        self._gangs: dict[tuple[str, int, int], float] = {}
        self._checkpoints: dict[SubtaskId, str] = {}
        self._run_counts: dict[SubtaskId, int] = {}
        self._saved = 0
        self._numbered = 0
        self._job_saves: dict[str, int] = {}
        self._engaging: dict[int, Incarnation] = {}
        self._unix_ms = 0
        self._confirmed_at = float("-inf")
        self._early: dict[Incarnation, Report] = {}
        self._ended: set[Incarnation] = set()
        self._tickets = TicketBook()

    # Messages of the other tasks.

    def configure(self, configuration: Configuration) -> None:
        """Takes a configuration into use."""
        # Jobs of a removed queue go on as their queue last said.
        self._queues.update(configuration.queues)

    def confirm(self, confirmed_at: float) -> None:
        """Takes note that no other holder existed at a time, in seconds."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def fold(self, records: Iterable[Record], now: float, unix_ms: int) -> None:
        """Folds records that were read from the store."""
        self._unix_ms = unix_ms
        for record in records:
            progress = self.table.apply(record)
            if progress is None or not self.recovered:
                continue
            if progress.finished:
                if not progress.finished_at_ms:
                    self._end_job(progress, now)
            else:
                self._release(progress, now)

    def finish_recovery(self, now: float, uncertain_s: float) -> None:
        """Begins to act: all records up to the takeover are folded.

        Args:
            now: Present time in seconds.
            uncertain_s: How long runs of an earlier holder may go on on a
                worker that can't be reached.
        """
        self.recovered = True
        until = dict.fromkeys(self.table.engaged, now + uncertain_s)
        self._takeover = Takeover(until, frozenset(self.table.jobs))
        for life in self._ended & until.keys():
            self._depart(life, now)
        for life, record in self.table.engaged.items():
            if life not in self.views:
                unlisted = _unlisted(life, record.address)
                self._open(unlisted).present = False
        for view in self.views.values():
            view.engaged = view.life in self.table.engaged
        for progress in self.table.jobs.values():
            if progress.finished:
                progress.finished_at_ms = self._unix_ms
            else:
                self._release(progress, now)
        early, self._early = self._early, {}
        for report in early.values():
            self.receive(report, now)

    def list_workers(self, workers: Iterable[Worker], now: float) -> None:
        """Takes the platform's list of this cell's workers."""
        listed = {w.incarnation: w for w in workers}
        newest: dict[str, int] = {}
        for life in listed:
            newest[life.worker] = max(
                life.born_ms, newest.get(life.worker, life.born_ms)
            )
        for life, worker in listed.items():
            view = self.views.get(life)
            if life in self._ended:
                continue
            if view is None:
                self._open(worker)
            else:
                view.listed = worker
                view.present = True
        for life, view in list(self.views.items()):
            if life in listed:
                continue
            view.present = False
            if newest.get(life.worker, 0) > life.born_ms:
                self._end_life(life, now)
        for life in list(self._takeover.until):
            if newest.get(life.worker, 0) > life.born_ms:
                self._end_life(life, now)

    def in_doubt(self, now: float) -> bool:
        """Whether runs may be on workers that do not answer."""
        return bool(self._takeover.until) or any(
            view.runs and now - view.contact_at > SILENT_S
            for view in self.views.values()
        )

    def list_machines(
        self, workers: Set[str], asked_at: float, now: float
    ) -> None:
        """Takes the platform's list of which worker each machine runs.

        The list knows what a silent worker can't tell: a machine that moved,
        was maintained, crashed or left no longer runs it.

        Args:
            workers: Ids of the workers that run.
            asked_at: When the list was asked for, in seconds.
            now: Present time in seconds.
        """
        for life in list(self._takeover.until):
            if life.worker not in workers:
                self._end_life(life, now)
        for view in list(self.views.values()):
            silent = asked_at - view.contact_at > SILENT_S
            if view.contacted and silent and view.life.worker not in workers:
                self._end_life(view.life, now)

    def saved(self, number: int, now: float) -> None:
        """Takes note that records up to `number` are durable."""
        self._saved = max(self._saved, number)
        for key in [k for k in self._engaging if k <= number]:
            view = self.views.get(self._engaging.pop(key))
            if view is not None:
                view.engaged = True
        for view in self.views.values():
            self._acknowledge(view)

    @singledispatchmethod
    def receive(self, message: WorkerMessage, now: float) -> None:
        """Takes a message about a worker."""
        raise TypeError(f"unknown message {message!r}")

    @receive.register
    def _(self, message: Report, now: float) -> None:
        if not self.recovered:
            # Without the records, every run and end there looks unknown.
            self._early[message.worker] = message
            return
        view = self.views.get(message.worker)
        if view is None:
            return
        self._takeover.until.pop(message.worker, None)
        view.contact_at = message.sent_at
        view.lease_until = message.lease_until
        if not view.contacted:
            view.contacted = True
            self._engage(view)
            self._log(
                "WORKER_CONTACTED",
                worker=view.life.worker,
                running=len(message.running),
                ended=len(message.ended),
                engaged=view.engaged,
            )
        view.reachable = True
        ended: set[SubtaskId] = set()
        for row in message.ended:
            ended.add(row.subtask)
            if row.number > view.newest_end:
                view.newest_end = row.number
                self._end_run(view, row, now)
        self._acknowledge(view)
        running = {row.subtask for row in message.running}
        for listed in message.running:
            self._see_running(view, listed, now)
        for run in list(view.runs.values()):
            if run.subtask not in running:
                self._see_absent(view, run, message.sent_at, now)
        self._pace(view, now)

    @receive.register
    def _(self, message: Unreachable, now: float) -> None:
        view = self.views.get(message.worker)
        if view is None:
            return
        view.lease_until = max(view.lease_until, message.lease_until)
        if view.reachable:
            view.reachable = False
            self._log(
                "WORKER_LOST",
                worker=view.life.worker,
                age_s=round(now - view.contact_at, 3),
            )

    @receive.register
    def _(self, message: Departed, now: float) -> None:
        self._end_life(message.worker, now)

    @receive.register
    def _(self, message: StartAnswered, now: float) -> None:
        order = message.order
        if message.outcome is StartOutcome.FENCED:
            self.fenced = True
            return
        view = self.views.get(order.worker)
        run = view.runs.get(order.subtask) if view is not None else None
        if view is None or run is None or run.number != order.run:
            return
        if message.outcome is StartOutcome.STARTED:
            if run.phase is Phase.ORDERED:
                run.enter(Phase.RUNNING, now, now)
        elif message.outcome in _UNDECIDED_STARTS:
            if run.phase is Phase.ORDERED:
                run.enter(Phase.UNCONFIRMED, now, now)
        else:
            self._refuse_start(view, run, message.outcome, now)

    @receive.register
    def _(self, message: StopAnswered, now: float) -> None:
        if message.fenced:
            self.fenced = True
        view = self.views.get(message.order.worker)
        run = view.runs.get(message.order.subtask) if view else None
        if run is None or run.number != message.order.run:
            return
        if run.phase in (Phase.CLOSING, Phase.STOPPING) and message.done:
            run.settled_at = now

    def tick(self, now: float, unix_ms: int) -> None:
        """Lets time pass: lapsed leases, due occurrences, repeated stops."""
        self._unix_ms = unix_ms
        if not self.recovered:
            return
        for life, until in list(self._takeover.until.items()):
            if self._confirmed_at >= until:
                self._depart(life, now)
        for view in list(self.views.values()):
            self._check_view(view, now)
        for progress in self.table.jobs.values():
            if progress.job.schedule.repeat_count and not progress.finished:
                self._release(progress, now)
        self._check_gangs(now)

    def retain(self, retention_ms: int, told_ms: int) -> None:
        """Writes records again that expire soon, and drops old jobs.

        Args:
            retention_ms: How long the store keeps a record.
            told_ms: How long states of finished jobs are told.
        """
        if not self.recovered:
            return
        for job in expired_jobs(self.table, told_ms, self._unix_ms):
            self.table.forget(job)
            self._job_saves.pop(job, None)
            self._tickets.forget(job)
            for known in (self._checkpoints, self._run_counts):
                for subtask in [s for s in known if s.job == job]:
                    known.pop(subtask)
        due = list(due_records(self.table, retention_ms, self._unix_ms))
        for record in due:
            self.table.apply(record)
            self._save(record)

    def take_actions(self, now: float) -> list[Action]:
        """Places what waits, and returns all actions since the last call."""
        if self.recovered and not self.fenced and self._may_start(now):
            self._place(now)
        actions, self._actions = self._actions, []
        return actions

    def _may_start(self, now: float) -> bool:
        """Whether no later holder can have started the same subtasks.

        Past the confirmed time a later holder may exist. It starts nothing of
        ours before it has fenced each worker that we use, which we see at all
        workers only as long as all of them answer us.
        """
        if now - self._confirmed_at < CONFIRMED_S:
            return True
        return all(
            now - view.contact_at < CONTACT_S
            for view in self.views.values()
            if view.engaged
        )

    # Questions of the callers' side.

    def state(self, job: str) -> str | None:
        """Returns the state that clients may be told, or None if unknown."""
        progress = self.table.jobs.get(job)
        if progress is None:
            return None
        if self._job_saves.get(job, 0) > self._saved and (
            progress.completed or progress.failed
        ):
            return "running"
        return progress.state

    def waiting_jobs(self, queue: str) -> int:
        """Returns the queue's accepted jobs of which nothing has started."""
        return sum(
            1
            for progress in self.table.jobs.values()
            if progress.job.queue == queue
            and not progress.started
            and not progress.finished
        )

    @property
    def waiting(self) -> dict[SubtaskId, Waiting]:
        """Subtasks whose turn has come and that do not run."""
        return self._waiting

    def evacuate(self, workers: Set[str], now: float) -> None:
        """Empties workers for an order of the fleet; all others are released.

        Runs that end soon are waited for. A lasting run moves when its step
        can miss it and another worker has room.
        """
        for view in self.views.values():
            wanted = view.life.worker in workers
            if wanted and not view.evacuating:
                view.evacuating_since = now
            view.evacuating = wanted
            if wanted:
                self._empty(view, now)

    def report(self, now: float) -> CellReport:
        """Returns the load of the cell's pools and workers."""
        used: dict[str, Resources] = {}
        capacity: dict[str, Resources] = {}
        waiting: dict[str, Resources] = {}
        none = Resources()
        for view in self.views.values():
            service = view.listed.service
            if not service:
                continue
            used[service] = used.get(service, none) + view.used
            if view.usable(now):
                known = capacity.get(service, none)
                capacity[service] = known + view.listed.capacity
        for subtask, entry in self._waiting.items():
            queue = self._queue_of(subtask)
            if queue is not None:
                known = waiting.get(queue.service, none)
                waiting[queue.service] = known + entry.step.charged
        pools = {
            service: PoolLoad(
                waiting.get(service, none),
                used.get(service, none),
                capacity.get(service, none),
            )
            for service in {*used, *waiting}
        }
        return CellReport(
            self.recovered,
            pools,
            {v.life.worker: _load_of(v) for v in self.views.values()},
            tuple(v.life.worker for v in self.views.values() if v.evacuating),
        )

    # Workers.

    def _empty(self, view: WorkerView, now: float) -> None:
        waited = now - view.evacuating_since
        for run in view.runs.values():
            if run.phase is not Phase.RUNNING:
                continue
            if run.step.lasting:
                if self._can_miss(run, now) and self._has_room_elsewhere(
                    view, run, now
                ):
                    self._stop(view, run, now)
            elif waited > EVACUATION_PATIENCE_S:
                self._stop(view, run, now)

    def _pace(self, view: WorkerView, now: float) -> None:
        """Slows down what fills on a worker while others need the room."""
        fills = [
            run
            for run in view.runs.values()
            if run.step.fills and run.phase is Phase.RUNNING
        ]
        if not fills:
            return
        strained = strain(view.runs.values())
        if now - view.paced_at >= STEP_S:
            pace = next_pace(view.fill_pace, strained)
            if pace != view.fill_pace:
                view.fill_pace, view.paced_at = pace, now
        slow = strained is not None and strained > SLOW_ABOVE
        for run in fills:
            # An order may be lost; it is repeated while it matters.
            if run.pace == view.fill_pace and not slow:
                continue
            run.pace = view.fill_pace
            self._actions.append(
                PaceRun(view.life, run.subtask, run.number, run.pace)
            )
            self._log(
                "RUN_PACED",
                subtask=str(run.subtask),
                run=run.number,
                worker=view.life.worker,
                percent=run.pace,
                strain=strained,
            )

    def _can_miss(self, run: Run, now: float) -> bool:
        """Whether a lasting run may be stopped by our own order."""
        away = 0
        for member in self._members(run.subtask):
            view = self._active.get(member)
            if (
                view is None
                or now - view.contact_at > SILENT_S
                or not _at_work(view.runs[member], now)
            ):
                away += 1
        return not self._takeover.until and away < max(1, run.step.may_miss)

    def _has_room_elsewhere(
        self, view: WorkerView, run: Run, now: float
    ) -> bool:
        service = view.listed.service
        others = [
            v
            for v in self.views.values()
            if v is not view and v.usable(now) and v.listed.service == service
        ]
        return choose_worker(others, run.step, run.subtask) is not None

    def _open(self, worker: Worker) -> WorkerView:
        view = WorkerView(worker)
        view.engaged = self.recovered and (
            worker.incarnation in self.table.engaged
        )
        self.views[worker.incarnation] = view
        self._actions.append(OpenWorker(worker.incarnation, worker.address))
        return view

    def _engage(self, view: WorkerView) -> None:
        if view.life in self.table.engaged:
            view.engaged = True
            return
        record = WorkerEngaged(*view.life, view.listed.address, self._unix_ms)
        self.table.apply(record)
        self._engaging[self._save(record)] = view.life

    def _end_life(self, life: Incarnation, now: float) -> None:
        """An incarnation has ended for good; a stale entry may remain."""
        self._ended.add(life)
        self._depart(life, now)

    def _depart(self, life: Incarnation, now: float) -> None:
        """A worker's incarnation has ended, or all its leases have lapsed."""
        self._takeover.until.pop(life, None)
        view = self.views.pop(life, None)
        if view is not None:
            for subtask in list(view.runs):
                self._free(view, subtask, now)
        self._actions.append(CloseWorker(life))
        if life in self.table.engaged:
            record = WorkerReleased(*life)
            self.table.apply(record)
            self._save(record)
        self._log("WORKER_GONE", worker=life.worker, born_ms=life.born_ms)

    def _check_view(self, view: WorkerView, now: float) -> None:
        # A later holder may have renewed the leases of a worker that only we
        # can't reach, so the lapse needs a confirmation from after it.
        lapsed = (
            now - view.contact_at > CONTACT_S
            and self._confirmed_at >= view.lease_until
        )
        if lapsed and view.runs and view.contacted:
            self._log(
                "LEASES_LAPSED",
                worker=view.life.worker,
                runs=len(view.runs),
                age_s=round(now - view.contact_at, 3),
            )
            for subtask in list(view.runs):
                self._free(view, subtask, now)
        unknown = view.life in self._takeover.until
        if not view.present and lapsed and not view.runs and not unknown:
            self._depart(view.life, now)
            return
        for run in view.runs.values():
            overdue = now - run.since > STOP_REPEAT_S
            if run.phase in (Phase.CLOSING, Phase.STOPPING) and overdue:
                self._stop(view, run, now)

    def _acknowledge(self, view: WorkerView) -> None:
        newest = 0
        while view.unacknowledged and view.unacknowledged[0][1] <= self._saved:
            newest = view.unacknowledged.popleft()[0]
        if newest:
            self._actions.append(Acknowledge(view.life, newest))

    # Runs.

    def _refuse_start(
        self, view: WorkerView, run: Run, outcome: StartOutcome, now: float
    ) -> None:
        """A worker has certainly not started a run."""
        if outcome is StartOutcome.NO_ROOM:
            view.held_back_until = now + HELD_BACK_S
        elif outcome is StartOutcome.REFUSED:
            view.held_back_until = now + UNHEALTHY_S
        elif outcome is StartOutcome.NO_TICKET:
            self._tickets.drop(run.subtask[:3], view.life.worker)
        self._log(
            "START_REFUSED",
            subtask=str(run.subtask),
            run=run.number,
            worker=view.life.worker,
            outcome=outcome.value,
        )
        self._free(view, run.subtask, now)

    def _see_running(
        self, view: WorkerView, row: RunningRow, now: float
    ) -> None:
        run = view.runs.get(row.subtask)
        if row.checkpoint:
            self._checkpoints[row.subtask] = row.checkpoint
        if run is not None and run.number == row.run:
            run.percent, run.reading = row.percent, row.reading
            if run.phase in (Phase.ORDERED, Phase.UNCONFIRMED):
                run.enter(Phase.RUNNING, now, now)
            return
        if run is not None and run.number > row.run:
            return
        if self._wanted(row.subtask) and row.subtask not in self._active:
            step = self.table.step_of(row.subtask)
            assert step is not None
            adopted = Run(row.subtask, row.run, step, now)
            adopted.enter(Phase.RUNNING, now, now)
            adopted.percent, adopted.reading = row.percent, row.reading
            view.add(adopted)
            self._active[row.subtask] = view
            self._waiting.pop(row.subtask, None)
            self.table.jobs[row.subtask.job].started = True
            self._log(
                "RUN_ADOPTED",
                subtask=str(row.subtask),
                run=row.run,
                worker=view.life.worker,
            )
            return
        self._actions.append(StopRun(view.life, row.subtask, row.run))

    def _see_absent(
        self, view: WorkerView, run: Run, asked_at: float, now: float
    ) -> None:
        if run.settled_at is None or run.settled_at >= asked_at:
            return
        if run.phase is Phase.UNCONFIRMED:
            run.enter(Phase.CLOSING, now, None)
            self._actions.append(StopRun(view.life, run.subtask, run.number))
            return
        self._log(
            "RUN_ABSENT",
            subtask=str(run.subtask),
            run=run.number,
            worker=view.life.worker,
            phase=run.phase.value,
        )
        self._free(view, run.subtask, now)

    def _end_run(self, view: WorkerView, row: EndedRow, now: float) -> None:
        before = self._numbered
        self._note_end(row, now)
        needed = self._numbered if self._numbered > before else 0
        if not needed and row.kind in (EndKind.DONE, EndKind.FAILED):
            needed = self._job_saves.get(row.subtask.job, 0)
        view.unacknowledged.append((row.number, needed))
        run = view.runs.get(row.subtask)
        if run is None or run.number != row.run:
            return
        if row.kind is EndKind.FAILED:
            view.faults.append(now)
            view.successes = 0
        elif row.kind is EndKind.DONE:
            view.successes += 1
            view.faults.clear()
        self._free(view, row.subtask, now)

    def _note_end(self, row: EndedRow, now: float) -> None:
        """Notes durably what an end changes."""
        step = self.table.step_of(row.subtask)
        if step is None:
            return
        progress = self.table.jobs[row.subtask.job]
        if row.checkpoint:
            self._checkpoints[row.subtask] = row.checkpoint
        self._log(
            "RUN_ENDED",
            subtask=str(row.subtask),
            run=row.run,
            how=row.kind.value,
        )
        if step.lasting:
            return
        if row.kind is EndKind.DONE and not progress.is_done(row.subtask):
            self._note_done(progress, row, now)
        elif row.kind is EndKind.FAILED:
            self._note_failed(progress, row, now)

    def _note_done(
        self, progress: JobProgress, row: EndedRow, now: float
    ) -> None:
        record = SubtaskDone(str(row.subtask), row.run)
        self.table.apply(record)
        self._save(record, progress)
        gang = progress.job.steps[row.subtask.step].gang
        members = self._members(row.subtask) if gang else [row.subtask]
        for member in members:
            self._waiting.pop(member, None)
            other = self._active.get(member)
            if other is not None and not gang:
                run = other.runs[member]
                if run.number != row.run:
                    self._stop(other, run, now)
        if progress.finished:
            self._end_job(progress, now)
        else:
            self._release(progress, now)

    def _note_failed(
        self, progress: JobProgress, row: EndedRow, now: float
    ) -> None:
        known = progress.failed_runs.get(row.subtask, set())
        if row.run not in known:
            record = RunFailed(str(row.subtask), row.run)
            self.table.apply(record)
            self._save(record, progress)
        queue = self._queues.get(progress.job.queue)
        limit = queue.max_attempts if queue is not None else 1
        if progress.attempts(row.subtask) >= limit and not progress.finished:
            failure = JobFailed(progress.job.id)
            self.table.apply(failure)
            self._save(failure, progress)
            self._end_job(progress, now)

    def _free(self, view: WorkerView, subtask: SubtaskId, now: float) -> None:
        """Frees a run's capacity and lets its subtask wait again if due."""
        view.remove(subtask)
        if self._active.get(subtask) is view:
            del self._active[subtask]
        if self._wanted(subtask):
            self._wait(subtask, now)

    def _wanted(self, subtask: SubtaskId) -> bool:
        progress = self.table.jobs.get(subtask.job)
        return (
            progress is not None
            and not progress.finished
            and self.table.step_of(subtask) is not None
            and not progress.is_done(subtask)
        )

    def _stop(self, view: WorkerView, run: Run, now: float) -> None:
        phase = Phase.CLOSING if run.phase is Phase.CLOSING else Phase.STOPPING
        run.enter(phase, now, None)
        self._actions.append(StopRun(view.life, run.subtask, run.number))

    # Jobs.

    def _release(self, progress: JobProgress, now: float) -> None:
        """Lets the subtasks of all steps wait whose turn has come."""
        for number in range(progress.times):
            if progress.due_ms(number) > self._unix_ms:
                break
            for step in list(progress.next_steps(number)):
                progress.occurrence(number).released.add(step)
                for index in range(progress.job.steps[step].count):
                    subtask = SubtaskId(progress.job.id, number, step, index)
                    if not progress.is_done(subtask):
                        self._wait(subtask, now)

    def _wait(self, subtask: SubtaskId, now: float) -> None:
        if subtask in self._active or subtask in self._waiting:
            return
        progress = self.table.jobs[subtask.job]
        self._waiting[subtask] = Waiting(now, progress.job.steps[subtask.step])

    def _end_job(self, progress: JobProgress, now: float) -> None:
        """Stops all that still runs of a finished job."""
        job = progress.job.id
        progress.finished_at_ms = self._unix_ms
        for subtask in [s for s in self._waiting if s.job == job]:
            del self._waiting[subtask]
        for subtask, view in list(self._active.items()):
            if subtask.job != job:
                continue
            run = view.runs[subtask]
            gang_done = run.step.gang and progress.is_done(subtask)
            if run.phase is not Phase.STOPPING and not gang_done:
                self._stop(view, run, now)
        self._log("JOB_ENDED", job=job, state=progress.state)

    def _members(self, subtask: SubtaskId) -> list[SubtaskId]:
        step = self.table.step_of(subtask)
        assert step is not None
        return [subtask._replace(index=i) for i in range(step.count)]

    def _save(self, record: Record, progress: JobProgress | None = None) -> int:
        self._numbered += 1
        self._actions.append(SaveRecord(self._numbered, record))
        if progress is not None:
            self._job_saves[progress.job.id] = self._numbered
        return self._numbered

    # Placement.

    def _place(self, now: float) -> None:
        if not self._waiting:
            return
        usable = [v for v in self.views.values() if v.usable(now)]
        if not usable:
            return
        pools: dict[str, list[WorkerView]] = {}
        for view in usable:
            pools.setdefault(view.listed.service, []).append(view)
        for subtask in sorted(self._waiting, key=self._order):
            entry = self._waiting.get(subtask)
            queue = self._queue_of(subtask)
            if entry is None or queue is None or self._uncertain(subtask):
                continue
            views = pools.get(queue.service)
            if views and queue.advice:
                views = self._advised(subtask, views, now)
            if not views:
                continue
            if entry.step.gang:
                self._place_gang(subtask, entry, views, now)
                continue
            chosen = choose_worker(views, entry.step, subtask)
            if chosen is not None:
                self._start(chosen, subtask, entry, now)

    def advise(self, advice: AdviceGiven) -> None:
        """Takes tickets for a step."""
        self._tickets.answer(advice.step, advice.tickets, advice.until)

    def _advised(
        self, subtask: SubtaskId, views: list[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns the workers with a ticket for a step; asks about others."""
        step = subtask[:3]
        workers = [v.life.worker for v in views]
        asked = self._tickets.question(step, workers, now)
        if asked:
            self._actions.append(AskAdvice(step, asked))
        return [
            v
            for v in views
            if self._tickets.ticket(step, v.life.worker, now) is not None
        ]

    def _order(self, subtask: SubtaskId) -> tuple[Rank, SubtaskId]:
        entry = self._waiting[subtask]
        progress = self.table.jobs[subtask.job]
        queue = self._queue_of(subtask)
        priority = queue.priority if queue is not None else 0
        standing = Urgency.IN_TIME
        if queue is not None and not entry.step.lasting:
            since_ms = progress.due_ms(subtask.occurrence) or progress.at_ms
            standing = urgency(
                progress.job, queue, since_ms, subtask.step, self._unix_ms
            )
        rank = Rank(
            priority,
            not entry.step.lasting,
            standing,
            not progress.started,
            progress.at_ms,
        )
        return rank, subtask

    def _queue_of(self, subtask: SubtaskId) -> Queue | None:
        return self._queues.get(self.table.jobs[subtask.job].job.queue)

    def _uncertain(self, subtask: SubtaskId) -> bool:
        """Whether it may still run by an order of an earlier holder."""
        return bool(self._takeover.until) and subtask.job in self._takeover.jobs

    def _place_gang(
        self,
        subtask: SubtaskId,
        entry: Waiting,
        views: list[WorkerView],
        now: float,
    ) -> None:
        members = self._members(subtask)
        missing = [m for m in members if m not in self._active]
        if len(missing) < len(members):
            return
        chosen = choose_gang(views, entry.step, members, racks_apart=True)
        if chosen is None:
            return
        count = 1 + max(self._run_counts.get(m, 0) for m in members)
        for member, chosen_view in zip(members, chosen, strict=True):
            self._run_counts[member] = count - 1
            self._start(chosen_view, member, entry, now)
        self._gangs[subtask[:3]] = now

    def _check_gangs(self, now: float) -> None:
        """Stops gangs that can't begin because a member did not start."""
        groups: dict[tuple[str, int, int], list[tuple[WorkerView, Run]]] = {}
        for subtask, view in self._active.items():
            run = view.runs[subtask]
            if run.step.gang:
                groups.setdefault(subtask[:3], []).append((view, run))
        for key, members in groups.items():
            job, number, step = key
            progress = self.table.jobs[job]
            if progress.finished or progress.step_done(number, step):
                continue
            whole = len(members) == members[0][1].step.count
            oldest = min(run.ordered_at for _, run in members)
            if whole or now - oldest < GANG_START_S or self._takeover.until:
                continue
            for member_view, run in members:
                if run.phase is Phase.RUNNING:
                    self._stop(member_view, run, now)

    def _start(
        self, view: WorkerView, subtask: SubtaskId, entry: Waiting, now: float
    ) -> None:
        count = self._run_counts.get(subtask, 0) + 1
        self._run_counts[subtask] = count
        number = self.fence * RUNS_PER_FENCE + count
        self._waiting.pop(subtask, None)
        run = Run(subtask, number, entry.step, now)
        view.add(run)
        self._active[subtask] = view
        progress = self.table.jobs[subtask.job]
        progress.started = True
        checkpoint = (
            self._gang_checkpoint(subtask)
            if entry.step.gang
            else self._checkpoints.get(subtask, "")
        )
        self._actions.append(
            StartRun(
                view.life,
                subtask,
                number,
                progress.job.payload,
                checkpoint,
                self._tickets.ticket(subtask[:3], view.life.worker, now) or "",
            )
        )
        self._log(
            "RUN_PLACED",
            subtask=str(subtask),
            run=number,
            worker=view.life.worker,
            waited_ms=round((now - entry.since) * 1000),
            free_cpu=view.free.cpu,
        )

    def _gang_checkpoint(self, subtask: SubtaskId) -> str:
        saved = [self._checkpoints.get(m, "") for m in self._members(subtask)]
        return max(saved)


def _at_work(run: Run, now: float) -> bool:
    """Whether a lasting run serves its users, and has for a moment."""
    return (
        run.phase is Phase.RUNNING
        and run.percent >= FULL_WORK
        and now - run.since > SETTLED_S
    )


def _load_of(view: WorkerView) -> WorkerLoad:
    lasting = sum(1 for run in view.runs.values() if run.step.lasting)
    return WorkerLoad(len(view.runs), lasting, view.used.cpu)


def _unlisted(life: Incarnation, address: str) -> Worker:
    """A worker whose entry has lapsed; it takes no new work."""
    return Worker(life, "", address, "", True, Resources(), frozenset())
