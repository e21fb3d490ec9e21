"""Which workers a cell uses, and when one has surely ended."""

from collections.abc import Iterable, Set

from acaciawing.jobs.actions import (
    ConnectWorker,
    DisconnectWorker,
)
from acaciawing.jobs.limits import STOP_REPEAT_S
from acaciawing.jobs.model import (
    Incarnation,
    Worker,
)
from acaciawing.jobs.records import (
    WorkerEngaged,
    WorkerReleased,
)
from acaciawing.jobs.run_tracking import CellRuns
from acaciawing.jobs.workers import CONTACT_S, Phase, Run, WorkerView


class CellWorkers(CellRuns):
    """Which workers a cell uses, and when one has surely ended."""

    def update_workers(self, workers: Iterable[Worker], now: float) -> None:
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
                successor = Incarnation(life.worker, newest[life.worker])
                self._succeed(life, successor, now)
        for life in list(self._takeover.until):
            if newest.get(life.worker, 0) > life.born_ms:
                successor = Incarnation(life.worker, newest[life.worker])
                self._succeed(life, successor, now)

    def in_doubt(self) -> bool:
        """Whether runs may be on workers that do not answer."""
        return bool(self._takeover.until) or any(
            view.contacted and view.runs and not view.reachable
            for view in self.views.values()
        )

    def update_machines(
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
            silent = view.contacted and not view.reachable
            known = view.contact_at < asked_at
            if silent and known and view.life.worker not in workers:
                self._end_life(view.life, now)

    def _open(self, worker: Worker) -> WorkerView:
        view = WorkerView(worker)
        view.engaged = self.recovered and (
            worker.incarnation in self.table.engaged
        )
        self.views[worker.incarnation] = view
        self._actions.append(ConnectWorker(worker.incarnation, worker.address))
        return view

    def _engage(self, view: WorkerView) -> None:
        if view.life in self.table.engaged:
            view.engaged = True
            return
        record = WorkerEngaged(*view.life, view.listed.address, self._unix_ms)
        self.table.apply(record)
        self._engaging[self._save(record)] = view.life

    def _succeed(
        self, life: Incarnation, successor: Incarnation, now: float
    ) -> None:
        """A worker has started again under its id.

        Orders name the worker by its id, so that a start which the old
        incarnation has not listed may have reached the new one.
        """
        until = self._takeover.until.pop(life, None)
        if (
            until is not None
            and successor not in self.views
            or until is not None
            and not self.views[successor].contacted
        ):
            self._takeover.until[successor] = until
        old, new = self.views.get(life), self.views.get(successor)
        if old is not None and new is not None:
            for run in [r for r in old.runs.values() if not r.listed]:
                self._carry_over(run, old, new, now)
        self._end_life(life, now)

    def _carry_over(
        self, run: Run, old: WorkerView, new: WorkerView, now: float
    ) -> None:
        old.remove(run.subtask)
        ending = run.phase in (Phase.CLOSING, Phase.STOPPING)
        run.enter(Phase.CLOSING if ending else Phase.UNCONFIRMED, now, now)
        new.add(run)
        for placed in (self._active, self._copies):
            if placed.get(run.subtask) is old:
                placed[run.subtask] = new

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
        self._actions.append(DisconnectWorker(life))
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
            for run in list(view.runs.values()):
                if run.phase is Phase.ORDERED:
                    # The order may still wait to be sent, with a new lease.
                    self._stop(view, run, now)
                self._free(view, run.subtask, now)
        unknown = view.life in self._takeover.until
        if not view.present and lapsed and not view.runs and not unknown:
            self._depart(view.life, now)
            return
        for run in view.runs.values():
            overdue = now - run.since > STOP_REPEAT_S
            if run.phase in (Phase.CLOSING, Phase.STOPPING) and overdue:
                self._stop(view, run, now)
