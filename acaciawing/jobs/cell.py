"""Scheduling of one cell: the jobs of some services and their workers.

A cell has one holder at a time; each new holder has a higher fence. The holder
folds the cell's records, adopts the runs that it finds on the workers, and
decides which runs start and stop there. A `Cell` makes these decisions: it is
given messages and the current time, and `take_actions` returns the actions to
carry out. It does no input or output of its own.
"""

import sys
from collections.abc import Iterable
from functools import singledispatchmethod

import msgspec

from acaciawing.jobs.actions import (
    Action,
    IncarnationEnded,
    StartOrderResult,
    StartOutcome,
    StopOrderResult,
    WorkerMessage,
    WorkerReport,
    WorkerUnreachable,
)
from acaciawing.jobs.limits import UNCONFIRMED_OUTCOMES
from acaciawing.jobs.model import (
    Incarnation,
    Resources,
    Worker,
)
from acaciawing.jobs.records import (
    JobSubmitted,
    Record,
)
from acaciawing.jobs.retention import expired_jobs, records_to_rewrite
from acaciawing.jobs.speculation import Speculation
from acaciawing.jobs.state import Takeover, UnconfirmedWorker
from acaciawing.jobs.worker_tracking import WorkerEnd
from acaciawing.jobs.workers import Phase


class Cell(Speculation):
    """Scheduling decisions of a cell's holder.

    Args:
        fence: Fence of this holder, higher than that of any earlier holder.
        leases: How long leases may last on the workers.
        on_event: Called with the name and the values of each event to log.
        is_own: Returns whether the cell runs the jobs of a service.
    """

    def fold(self, records: Iterable[Record], now: float, unix_ms: int) -> None:
        """Applies records that were read from the store."""
        self._unix_ms = unix_ms
        for record in records:
            if isinstance(record, JobSubmitted):
                self._note_job(record.job.id, now)
            progress = self.table.apply(record)
            if progress is None or not self.recovered:
                continue
            if progress.finished:
                if not progress.finished_at_ms:
                    self._end_job(progress, now)
            else:
                self._queue_ready_steps(progress, now)

    def _note_job(self, job: str, now: float) -> None:
        """Notes whether another holder may start a job that was read.

        A later holder holds back only the jobs that this one may have read
        before its last confirmation expired; this one holds back those that an
        earlier holder may have read.
        """
        if job in self.table.jobs:
            return
        if not self._is_job_confirmed(now):
            self._unconfirmed_jobs[job] = now
        if self._records_current_at < self._earlier_holder_reads_until:
            self._takeover.jobs.add(job)

    def finish_recovery(self, now: float, unconfirmed_s: float) -> None:
        """Starts scheduling after all records up to the takeover were folded.

        Args:
            now: Current time in seconds.
            unconfirmed_s: How long runs of an earlier holder may continue on a
                worker that can't be reached, in seconds.
        """
        self.recovered = True
        if self.table.suspects or self.table.started or self.table.explained:
            self._crash_seen_at = now
        # They were engaged, and so had started, before the takeover.
        unconfirmed = dict.fromkeys(
            self.table.engaged,
            UnconfirmedWorker(now + unconfirmed_s, float("-inf")),
        )
        self._takeover = Takeover(unconfirmed, set(self.table.jobs))
        for incarnation in self._ended_incarnations & unconfirmed.keys():
            self._end_engaged_incarnation(incarnation, now)
        for incarnation, record in self.table.engaged.items():
            if incarnation not in self.views:
                unregistered = _unregistered_worker(incarnation, record.address)
                self._add_view(unregistered, now).present = False
        for view in self.views.values():
            view.engaged = view.incarnation in self.table.engaged
        for progress in self.table.jobs.values():
            if progress.finished:
                progress.finished_at_ms = self._unix_ms
            else:
                self._queue_ready_steps(progress, now)
        # The record of an earlier holder's verdict may have been lost with it.
        self._give_up_deadly(tuple(self.table.suspects), now)
        early_reports, self._early_reports = self._early_reports, {}
        for report in early_reports.values():
            self.receive(report, now)

    def records_saved(self, number: int, now: float) -> None:
        """Updates the cell after the records up to `number` became durable."""
        self._last_durable_number = max(self._last_durable_number, number)
        for key in [k for k in self._pending_engagements if k <= number]:
            view = self.views.get(self._pending_engagements.pop(key))
            if view is not None:
                view.engaged = True
        for view in self.views.values():
            self._acknowledge(view)

    @singledispatchmethod
    def receive(self, message: WorkerMessage, now: float) -> None:
        """Handles a message about a worker."""
        raise TypeError(f"unknown message {message!r}")

    @receive.register
    def _(self, message: WorkerReport, now: float) -> None:
        if not self.recovered:
            # Until the records are folded, all runs and ends are unknown and
            # the runs would be stopped. The report is handled after recovery.
            self._early_reports[message.worker] = message
            return
        view = self.views.get(message.worker)
        if view is None:
            return
        view.last_contact_at = message.sent_at
        # A predecessor's orders may have granted longer leases.
        view.lease_until = max(view.lease_until, message.lease_until)
        if not view.contacted:
            view.contacted = True
            # An earlier holder may have granted a lease until now.
            view.lease_until = max(
                view.lease_until, now + self._leases.intended_s
            )
            self._engage_worker(view)
            self._log(
                "WORKER_CONTACTED",
                worker=view.incarnation.worker,
                running=len(message.running),
                ended=len(message.ended),
                engaged=view.engaged,
            )
        view.reachable = True
        self._silent_runs.pop(message.worker, None)
        self._process_ends(view, message, now)
        running = {row.subtask for row in message.running}
        if not view.ends_known:
            self._resolve_absent_starts(view, running, now)
        if view.ends_complete:
            view.ends_known = True
            self._takeover.unconfirmed.pop(message.worker, None)
        for running_row in message.running:
            self._process_running(view, running_row, now)
        for run in list(view.runs.values()):
            if run.subtask not in running:
                self._process_absent(view, run, message.sent_at, now)
        self._check_health(view, now)
        self._adjust_pace(view, now)

    @receive.register
    def _(self, message: WorkerUnreachable, now: float) -> None:
        view = self.views.get(message.worker)
        if view is None:
            return
        view.lease_until = max(view.lease_until, message.lease_until)
        if view.reachable:
            view.reachable = False
            self._log(
                "WORKER_LOST",
                worker=view.incarnation.worker,
                age_s=round(now - view.last_contact_at, 3),
            )

    @receive.register
    def _(self, message: IncarnationEnded, now: float) -> None:
        successor = message.successor
        view = self.views.get(message.worker)
        if successor is None or view is None:
            self._end_incarnation(message.worker, WorkerEnd.REPLACED, now)
            return
        if (
            successor not in self.views
            and successor not in self._ended_incarnations
        ):
            registration = msgspec.structs.replace(
                view.registration, incarnation=successor
            )
            # It may be of another kind; it gets new runs once it is listed.
            self._add_view(registration, now).present = False
        self._replace_incarnation(message.worker, successor, now)

    @receive.register
    def _(self, message: StartOrderResult, now: float) -> None:
        order = message.order
        if message.outcome is StartOutcome.FENCED:
            self.fenced = True
            return
        view = self.views.get(order.worker)
        run = view.runs.get(order.subtask) if view is not None else None
        if view is None or run is None or run.number != order.run:
            return
        if message.outcome is StartOutcome.STARTED:
            run.confirmed = True
            self.table.jobs[order.subtask.job].started = True
            if run.phase is Phase.ORDERED:
                run.enter(Phase.RUNNING, now, now)
        elif message.outcome in UNCONFIRMED_OUTCOMES:
            if run.phase is Phase.ORDERED:
                run.enter(Phase.UNCONFIRMED, now, now)
        else:
            self._refuse_start(view, run, message.outcome, now)

    @receive.register
    def _(self, message: StopOrderResult, now: float) -> None:
        if message.fenced:
            self.fenced = True
        view = self.views.get(message.order.worker)
        run = view.runs.get(message.order.subtask) if view else None
        if run is None or run.number != message.order.run:
            return
        if run.phase in (Phase.CLOSING, Phase.STOPPING) and message.done:
            run.answered_at = now

    def tick(self, now: float, unix_ms: int) -> None:
        """Handles lapsed leases, due occurrences, overdue stops and gangs."""
        self._unix_ms = unix_ms
        if not self.recovered:
            return
        self._settle_takeover(now)
        for view in list(self.views.values()):
            self._check_worker(view, now)
        for progress in self.table.jobs.values():
            if progress.job.schedule.repeat_count and not progress.finished:
                self._queue_ready_steps(progress, now)
        self._check_gangs(now)
        self._count_silent_crashes(now)
        self._clear_proven_suspects(now)
        self._release_isolated_workers(now)

    def retain(
        self,
        retention_ms: int,
        state_retention_ms: int,
        max_record_bytes: int = sys.maxsize,
    ) -> None:
        """Rewrites records that expire soon, and drops old finished jobs.

        Args:
            retention_ms: How long the store keeps a record.
            state_retention_ms: How long the state of a finished job can be
                queried.
            max_record_bytes: Largest record that the store accepts, in bytes.
        """
        if not self.recovered:
            return
        self.table.forget_foreign(self._unix_ms - retention_ms)
        running = self._runs.jobs()
        for job in expired_jobs(self.table, state_retention_ms, self._unix_ms):
            if job in running:
                continue
            self.table.forget(job)
            self._job_record_numbers.pop(job, None)
            self._final_record_numbers.pop(job, None)
            self._tickets.forget(job)
            for by_subtask in (
                self._checkpoints,
                self._run_counts,
                self._avoided_workers,
            ):
                for subtask in [s for s in by_subtask if s.job == job]:
                    by_subtask.pop(subtask)
        expiring = list(
            records_to_rewrite(
                self.table, retention_ms, self._unix_ms, max_record_bytes
            )
        )
        for record in expiring:
            self.table.apply(record)
            self._save_record(record)

    def take_actions(self, now: float) -> list[Action]:
        """Places waiting subtasks; returns all actions since the last call."""
        if self.recovered and not self.fenced and self._may_start_runs(now):
            self._place_waiting(now)
            self._place_copies(now)
        actions, self._actions = self._actions, []
        return actions


def _unregistered_worker(incarnation: Incarnation, address: str) -> Worker:
    """Returns a worker without a registration; it gets no new runs."""
    return Worker(incarnation, "", address, "", False, Resources(), frozenset())
