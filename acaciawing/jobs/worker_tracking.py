"""Tracking of a cell's workers and of the end of their incarnations."""

from collections.abc import Iterable, Set
from enum import Enum

from acaciawing.jobs.actions import (
    ConnectWorker,
    DisconnectWorker,
)
from acaciawing.jobs.crash_tracking import CrashTracking
from acaciawing.jobs.limits import STOP_RETRY_S
from acaciawing.jobs.model import (
    Incarnation,
    Worker,
)
from acaciawing.jobs.records import (
    WorkerEngaged,
    WorkerReleased,
)
from acaciawing.jobs.state import UnconfirmedWorker
from acaciawing.jobs.workers import (
    CONTACT_TIMEOUT_S,
    Phase,
    Run,
    StopReason,
    WorkerView,
)


class WorkerEnd(Enum):
    """How it is known that nothing runs on a worker's incarnation any more.

    Attributes:
        RESTARTED: A later incarnation of the worker exists.
        REPLACED: Another worker answers at its address.
        NO_MACHINE: It is silent, and no machine runs it.
        LAPSED: All leases that it may have held have lapsed.
    """

    RESTARTED = "restarted"
    REPLACED = "replaced"
    NO_MACHINE = "no machine runs it"
    LAPSED = "leases lapsed"


class WorkerTracking(CrashTracking):
    """Tracking of a cell's workers and of the end of their incarnations."""

    def update_workers(self, workers: Iterable[Worker], now: float) -> None:
        """Updates the cell with the platform's list of its workers."""
        listed = {w.incarnation: w for w in workers}
        newest_born_ms: dict[str, int] = {}
        for incarnation in listed:
            newest_born_ms[incarnation.worker] = max(
                incarnation.born_ms,
                newest_born_ms.get(incarnation.worker, incarnation.born_ms),
            )
        for incarnation, worker in listed.items():
            view = self.views.get(incarnation)
            if incarnation in self._ended_incarnations:
                continue
            if view is None:
                self._add_view(worker, now)
            else:
                view.registration = worker
                view.present = True
        for incarnation, view in list(self.views.items()):
            if incarnation in listed:
                continue
            view.present = False
            if newest_born_ms.get(incarnation.worker, 0) > incarnation.born_ms:
                successor = Incarnation(
                    incarnation.worker, newest_born_ms[incarnation.worker]
                )
                self._replace_incarnation(incarnation, successor, now)
        for incarnation in [
            *self._takeover.unconfirmed,
            *self._silent_runs,
        ]:
            if newest_born_ms.get(incarnation.worker, 0) > incarnation.born_ms:
                successor = Incarnation(
                    incarnation.worker, newest_born_ms[incarnation.worker]
                )
                self._replace_incarnation(incarnation, successor, now)

    def has_unconfirmed_runs(self) -> bool:
        """Whether workers that don't answer may still have runs."""
        return (
            bool(self._takeover.unconfirmed)
            or bool(self._silent_runs)
            or any(
                view.runs and not view.reachable for view in self.views.values()
            )
        )

    def update_machines(
        self, workers: Set[str], requested_at: float, now: float
    ) -> None:
        """Updates the cell with the platform's list of the machines' workers.

        The list shows which silent workers have ended: a machine that moved,
        was maintained, crashed or was removed no longer runs its worker.

        Args:
            workers: Ids of the workers that machines run.
            requested_at: When the list was requested, in seconds.
            now: Current time in seconds.
        """
        for incarnation, worker in list(self._takeover.unconfirmed.items()):
            view = self.views.get(incarnation)
            if (
                (view is None or not view.contacted)
                and worker.started_before < requested_at
                and incarnation.worker not in workers
            ):
                self._end_incarnation(incarnation, WorkerEnd.NO_MACHINE, now)
        for incarnation, lost in list(self._silent_runs.items()):
            if lost.since > requested_at:
                continue
            if incarnation.worker not in workers:
                self._end_incarnation(incarnation, WorkerEnd.NO_MACHINE, now)
            else:
                # Its machine is up, so it could only not be reached.
                del self._silent_runs[incarnation]
        for view in list(self.views.values()):
            if (
                self._was_silent(view, requested_at)
                and view.incarnation.worker not in workers
            ):
                self._end_incarnation(
                    view.incarnation, WorkerEnd.NO_MACHINE, now
                )

    def _was_silent(self, view: WorkerView, requested_at: float) -> bool:
        """Whether a list of machines may tell that a silent worker has ended.

        A worker that was never reached matters only if it may have runs of its
        predecessor. It may be listed some time after its start.

        Args:
            view: The worker.
            requested_at: When the list was requested, in seconds.
        """
        if view.contacted:
            return not view.reachable and view.last_contact_at < requested_at
        return bool(view.runs) and _is_listed_by(view) < requested_at

    def _add_view(self, worker: Worker, now: float) -> WorkerView:
        view = WorkerView(worker, now)
        view.capacity_valid_until = self._capacity_valid_until(worker.service)
        view.engaged = self.recovered and (
            worker.incarnation in self.table.engaged
        )
        # An order for its machine may follow before the next request.
        self._mark_evacuation(view, now)
        self.views[worker.incarnation] = view
        self._actions.append(ConnectWorker(worker.incarnation, worker.address))
        return view

    def _mark_evacuation(self, view: WorkerView, now: float) -> None:
        """Marks whether a worker is to be evacuated, by the last request."""
        worker = view.incarnation.worker
        requested = worker in self._evacuation.workers
        if requested and not view.evacuating:
            view.evacuating_since = now
        view.evacuating = requested
        view.maintenance_pending = worker in self._evacuation.due

    def _engage_worker(self, view: WorkerView) -> None:
        if view.incarnation in self._pending_engagements.values():
            return
        if view.incarnation in self.table.engaged:
            view.engaged = True
            return
        record = WorkerEngaged(
            *view.incarnation, view.registration.address, self._unix_ms
        )
        self.table.apply(record)
        self._pending_engagements[self._save_record(record)] = view.incarnation

    def _replace_incarnation(
        self, incarnation: Incarnation, successor: Incarnation, now: float
    ) -> None:
        """Handles a worker that has restarted under the same id.

        Orders name the worker by its id, so a start that the old incarnation
        has not reported may have reached the new one.
        """
        unconfirmed = self._takeover.unconfirmed.pop(incarnation, None)
        old, new = self.views.get(incarnation), self.views.get(successor)
        # Such a start may be an earlier holder's, so the successor must list all
        # its ends as well before its runs are known.
        if unconfirmed is not None and (new is None or not new.ends_known):
            self._takeover.unconfirmed[successor] = UnconfirmedWorker(
                unconfirmed.until + self._leases.excess_s,
                now if new is None else _is_listed_by(new),
            )
            if new is not None:
                # A next holder has to ask the successor as well.
                self._engage_worker(new)
        if new is not None:
            new.lease_until = max(new.lease_until, now + self._leases.longest_s)
        if old is not None and new is not None:
            unreported = [r for r in old.runs.values() if r.reported_at is None]
            subtasks = {run.subtask for run in unreported}
            self._count_crash(incarnation, now, unconfirmed=subtasks)
            if unreported:
                # A next holder has to ask the successor for these runs.
                self._engage_worker(new)
            for run in unreported:
                self._transfer_run(run, old, new, now)
            self._save_unconfirmed_crashes(unreported, successor)
        self._end_incarnation(incarnation, WorkerEnd.RESTARTED, now)

    def _end_engaged_incarnation(
        self, incarnation: Incarnation, now: float
    ) -> None:
        """Handles the end of an incarnation that was known before recovery.

        Orders of an earlier holder may have reached its successor.
        """
        successors = [
            other
            for other in self.views
            if other.worker == incarnation.worker
            and other.born_ms > incarnation.born_ms
        ]
        if successors:
            self._replace_incarnation(incarnation, max(successors), now)
        else:
            self._end_incarnation(incarnation, WorkerEnd.REPLACED, now)

    def _transfer_run(
        self, run: Run, old: WorkerView, new: WorkerView, now: float
    ) -> None:
        other = new.runs.get(run.subtask)
        if other is not None:
            # A worker has one run of a subtask at a time. If it has started
            # the earlier one, it refuses the later one and reports the other.
            self._remove_run(old, run.subtask, now, settled=False)
            return
        ending = run.phase in (Phase.CLOSING, Phase.STOPPING)
        run.enter(Phase.CLOSING if ending else Phase.UNCONFIRMED, now, now)
        self._runs.move(run, old, new)
        self._log(
            "RUN_IN_DOUBT",
            subtask=str(run.subtask),
            run=run.number,
            worker=new.incarnation.worker,
            born_ms=new.incarnation.born_ms,
            contacted=new.contacted,
            phase=run.phase.value,
        )

    def _end_incarnation(
        self, incarnation: Incarnation, reason: WorkerEnd, now: float
    ) -> None:
        """Handles the end of an incarnation; its registration may remain."""
        self._ended_incarnations.add(incarnation)
        self._count_crash(incarnation, now)
        self._remove_worker(incarnation, reason, now)

    def _remove_worker(
        self, incarnation: Incarnation, reason: WorkerEnd, now: float
    ) -> None:
        """Removes an incarnation that has ended or whose leases have lapsed."""
        self._takeover.unconfirmed.pop(incarnation, None)
        view = self.views.pop(incarnation, None)
        if view is not None:
            if view.engaged:
                self._engaged_removed_at = now
            self._log_lost_runs(view, now)
            for subtask in list(view.runs):
                self._remove_run(view, subtask, now)
        self._actions.append(DisconnectWorker(incarnation))
        if incarnation in self.table.engaged:
            record = WorkerReleased(*incarnation)
            self.table.apply(record)
            self._save_record(record)
            self._pending_engagements = {
                number: engaged
                for number, engaged in self._pending_engagements.items()
                if engaged != incarnation
            }
        self._log(
            "WORKER_GONE",
            worker=incarnation.worker,
            born_ms=incarnation.born_ms,
            reason=reason.value,
            planned=view is not None and view.leaving,
        )

    def _log_lost_runs(self, view: WorkerView, now: float) -> None:
        for run in view.runs.values():
            self._log(
                "RUN_LOST",
                subtask=str(run.subtask),
                run=run.number,
                worker=view.incarnation.worker,
                age_s=round(now - run.ordered_at, 3),
                beside=len(view.runs) - 1,
            )

    def _settle_takeover(self, now: float) -> None:
        """Gives up unconfirmed workers whose leases have lapsed."""
        for incarnation, worker in list(self._takeover.unconfirmed.items()):
            if self._confirmed_at < worker.until:
                continue
            view = self.views.get(incarnation)
            if view is None or not view.contacted:
                self._remove_worker(incarnation, WorkerEnd.LAPSED, now)
            elif self._leases_lapsed(view, now):
                del self._takeover.unconfirmed[incarnation]

    def _leases_lapsed(self, view: WorkerView, now: float) -> bool:
        """Whether all leases of a silent worker have lapsed.

        A later holder may have renewed the leases of a worker that only this
        holder can't reach. They are treated as lapsed only when this holder was
        confirmed after their end.
        """
        return (
            now - view.last_contact_at > CONTACT_TIMEOUT_S
            and self._confirmed_at >= view.lease_until
        )

    def _check_worker(self, view: WorkerView, now: float) -> None:
        lapsed = self._leases_lapsed(view, now)
        if lapsed and view.runs:
            self._log(
                "LEASES_LAPSED",
                worker=view.incarnation.worker,
                runs=len(view.runs),
                age_s=round(now - view.silent_since, 3),
            )
            self._keep_silent_runs(view, now)
            for run in list(view.runs.values()):
                if run.phase is Phase.ORDERED:
                    # The order may still be queued and would be sent with a
                    # new lease; the stop withdraws it.
                    self._stop_run(view, run, StopReason.LEASE_LAPSED, now)
                # The worker may have crashed, which is not known yet.
                self._remove_run(view, run.subtask, now, settled=False)
        unconfirmed = view.incarnation in self._takeover.unconfirmed
        if not view.present and lapsed and not view.runs and not unconfirmed:
            self._remove_worker(view.incarnation, WorkerEnd.LAPSED, now)
            return
        for run in view.runs.values():
            overdue = now - run.since > STOP_RETRY_S
            if run.phase in (Phase.CLOSING, Phase.STOPPING) and overdue:
                self._repeat_stop(view, run, now)

    def _repeat_stop(self, view: WorkerView, run: Run, now: float) -> None:
        """Repeats an order to stop a run that had no effect, or withdraws it."""
        if not self._should_continue(view, run, now):
            self._stop_run(view, run, StopReason.REPEATED, now)
            return
        run.enter(Phase.RUNNING, now, now)
        self._log(
            "STOP_WITHDRAWN",
            subtask=str(run.subtask),
            run=run.number,
            worker=view.incarnation.worker,
            percent=run.percent,
        )

    def _should_continue(self, view: WorkerView, run: Run, now: float) -> bool:
        """Whether a long-running run that an order did not stop should go on.

        A run that was only closed as unconfirmed should, once its worker
        reports it; any other one if the disruption budget of its step does not
        allow the interruption any more.
        """
        needed = (
            run.step.lasting
            and self._runs.active_view(run.subtask) is view
            and self._still_needed(run.subtask)
        )
        if not needed or not view.reports(run):
            return False
        return run.phase is Phase.CLOSING or not self._within_disruption_budget(
            run, now
        )


def _is_listed_by(view: WorkerView) -> float:
    """Returns when the list of machines certainly has a running worker.

    Returns:
        The time in seconds, for a worker that was never reached.
    """
    return view.known_since + CONTACT_TIMEOUT_S
