"""Placement of waiting subtasks on workers."""

from collections.abc import Set
from functools import singledispatchmethod

from acaciawing.jobs.actions import (
    AdviceFailure,
    AdviceResponse,
    StartRun,
)
from acaciawing.jobs.disruptions import is_at_work
from acaciawing.jobs.limits import (
    GANG_START_TIMEOUT_S,
    RUN_NUMBERS_PER_FENCE,
    START_VALIDITY_S,
)
from acaciawing.jobs.model import Queue, Step, SubtaskId
from acaciawing.jobs.suspect_placement import SuspectPlacement
from acaciawing.jobs.urgency import Rank, Urgency
from acaciawing.jobs.waiting import StepKey, WaitingStep
from acaciawing.jobs.worker_choice import (
    choose_gang,
    choose_worker,
    choose_worker_for_suspect,
    fits,
)
from acaciawing.jobs.workers import (
    CONTACT_TIMEOUT_S,
    Phase,
    Run,
    StopReason,
    WorkerView,
)


class RunPlacement(SuspectPlacement):
    """Placement of waiting subtasks on workers."""

    def _may_start_runs(self, now: float) -> bool:
        """Whether no later holder can have started the same subtasks.

        Once the confirmation has expired, a later holder may exist. It starts
        subtasks of this cell only after it has fenced every engaged worker.
        A fenced worker stops answering this holder, so as long as all engaged
        workers answer, no later holder has started any. One that was removed
        since may have been fenced before.
        """
        if self._is_confirmed(now):
            return True
        return self._is_confirmed(self._engaged_removed_at) and all(
            now - view.last_contact_at < CONTACT_TIMEOUT_S
            for view in self.views.values()
            if view.engaged
        )

    def _place_waiting(self, now: float) -> None:
        if not self._waiting:
            return
        held_back = self._place_isolated(now)
        pools: dict[str, list[WorkerView]] = {}
        for view in self.views.values():
            if view.usable(now):
                pools.setdefault(view.registration.service, []).append(view)
        if not pools:
            return
        max_free_cpu = {s: _max_free_cpu(views) for s, views in pools.items()}
        for waiting_step in sorted(
            self._waiting.steps, key=self._placement_rank
        ):
            queue = self._queue_of(waiting_step.progress.job)
            if queue is None or queue.service not in pools:
                continue
            if waiting_step.step.reserved.cpu > max_free_cpu[queue.service]:
                continue
            if self._may_run_elsewhere(waiting_step.key[0], waiting_step.step):
                continue
            if not self._place_step(
                waiting_step, queue, pools[queue.service], held_back, now
            ):
                max_free_cpu[queue.service] = _max_free_cpu(
                    pools[queue.service]
                )

    def _place_step(
        self,
        waiting_step: WaitingStep,
        queue: Queue,
        views: list[WorkerView],
        held_back: Set[SubtaskId],
        now: float,
    ) -> bool:
        """Starts subtasks that find room; returns whether all of them did."""
        for subtask in list(waiting_step.since):
            if subtask in held_back:
                continue
            if queue.advice:
                views = self._workers_with_ticket(subtask, views, now)
            if waiting_step.step.gang:
                self._place_gang(subtask, waiting_step, views, now)
                return True
            chosen = self._choose_worker(views, waiting_step.step, subtask)
            if chosen is None:
                return False
            self._start(chosen, subtask, waiting_step, now)
        return True

    def _choose_worker(
        self, views: list[WorkerView], step: Step, subtask: SubtaskId
    ) -> WorkerView | None:
        if subtask in self.table.suspects:
            return choose_worker_for_suspect(
                views, step, subtask, self.table.suspects
            )
        avoided = self._avoided_workers.get(subtask, "")
        return choose_worker(views, step, subtask, avoided)

    def _place_isolated(self, now: float) -> Set[SubtaskId]:
        """Starts subtasks that need a worker of their own.

        Returns:
            Those that still wait for one, which may not be started elsewhere.
        """
        held_back: set[SubtaskId] = set()
        for subtask in self.table.suspects:
            if subtask in self._waiting and self._waits_for_store(subtask):
                held_back.update(self._started_together(subtask))
        for subtask in self._isolated_waiting():
            self._place_alone(subtask, now)
            if subtask in self._waiting and not (
                self._crashes_are_durable(subtask)
                and self._isolation_timed_out(subtask, now)
            ):
                held_back.update(self._started_together(subtask))
        return held_back

    def _place_alone(self, subtask: SubtaskId, now: float) -> None:
        """Starts a subtask on a worker of its own; reserves one meanwhile."""
        waiting_step = self._waiting.find(subtask[:3])
        queue = self._queue_of(self.table.jobs[subtask.job].job)
        if waiting_step is None or queue is None:
            return
        step = waiting_step.step
        may_start = self._crashes_are_durable(
            subtask
        ) and not self._may_run_elsewhere(subtask.job, step)
        if step.gang:
            views = self._empty_workers(queue.service, now)
            if may_start:
                self._place_gang(subtask, waiting_step, views, now)
            return
        view = self._worker_of_its_own(subtask, step, queue.service, now)
        if (
            view is None
            or not self._is_ready(view, subtask, now)
            or not fits(view, step, subtask)
        ):
            return
        views = [view]
        if queue.advice:
            views = self._workers_with_ticket(subtask, views, now)
        if views and may_start:
            self._start(view, subtask, waiting_step, now)

    def _started_together(self, subtask: SubtaskId) -> list[SubtaskId]:
        """Returns the members of a subtask's gang, or the subtask."""
        step = self.table.find_step(subtask)
        gang = step is not None and step.gang
        return self._step_subtasks(subtask) if gang else [subtask]

    def _empty_workers(self, service: str, now: float) -> list[WorkerView]:
        return [
            view
            for view in self.views.values()
            if view.registration.service == service
            and view.usable(now)
            and not view.runs
        ]

    @singledispatchmethod
    def receive_advice(self, advice: AdviceResponse | AdviceFailure) -> None:
        """Handles the end of a request to the advice service."""
        raise TypeError(f"unknown advice {advice!r}")

    @receive_advice.register
    def _(self, advice: AdviceResponse) -> None:
        refused = self._tickets.store_answer(advice)
        self._log(
            "TICKETS_RECEIVED",
            step=_format_step(advice.request.step),
            request=advice.request.number,
            granted=sorted(advice.tickets),
            refused=sorted(w.worker for w in refused),
        )

    @receive_advice.register
    def _(self, advice: AdviceFailure) -> None:
        self._tickets.store_failure(advice)

    def _workers_with_ticket(
        self, subtask: SubtaskId, views: list[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns workers with a ticket; requests tickets for the others."""
        step = subtask[:3]
        workers = [v.incarnation for v in views]
        request = self._tickets.next_request(step, workers, now)
        if request is not None:
            self._actions.append(request)
            self._log(
                "TICKETS_REQUESTED",
                step=_format_step(step),
                request=request.number,
                workers=[w.worker for w in request.workers],
            )
        return [
            v
            for v in views
            if self._tickets.ticket(step, v.incarnation, now) is not None
        ]

    def _placement_rank(
        self, waiting_step: WaitingStep
    ) -> tuple[Rank, StepKey]:
        """Returns the sort key of a waiting step; the smallest goes first."""
        progress = waiting_step.progress
        queue = self._queue_of(progress.job)
        priority = queue.priority if queue is not None else 0
        urgency = (
            self._urgency(progress, queue, waiting_step.key)
            if queue is not None
            else Urgency.ON_TIME
        )
        rank = Rank(
            priority,
            not waiting_step.step.lasting,
            urgency,
            not progress.started,
            progress.submitted_ms,
        )
        return rank, waiting_step.key

    def _may_run_elsewhere(self, job: str, step: Step) -> bool:
        """Whether a step must wait because another holder may have started it.

        Runs of an earlier holder may still exist, beside which only speculative
        subtasks may run. A later holder, of which this one does not know yet,
        starts the jobs that were submitted since.
        """
        if job in self._unconfirmed_jobs:
            return True
        return (
            not step.speculative
            and bool(self._takeover.unconfirmed)
            and job in self._takeover.jobs
        )

    def _place_gang(
        self,
        subtask: SubtaskId,
        waiting_step: WaitingStep,
        views: list[WorkerView],
        now: float,
    ) -> None:
        members = self._step_subtasks(subtask)
        missing = [m for m in members if m not in self._runs]
        if len(missing) < len(members):
            return
        chosen = choose_gang(
            views, waiting_step.step, members, allow_multiple_racks=True
        )
        if chosen is None:
            return
        count = 1 + max(self._run_counts.get(m, 0) for m in members)
        for member, chosen_view in zip(members, chosen, strict=True):
            self._run_counts[member] = count - 1
            self._start(chosen_view, member, waiting_step, now)

    def _check_gangs(self, now: float) -> None:
        """Stops gangs of which a member did not start in time."""
        gangs: dict[tuple[str, int, int], list[tuple[WorkerView, Run]]] = {}
        for view, run in self._runs.active_runs():
            if run.step.gang:
                gangs.setdefault(run.subtask[:3], []).append((view, run))
        for key, members in gangs.items():
            job, occurrence, step = key
            progress = self.table.jobs[job]
            if progress.finished or progress.step_done(occurrence, step):
                continue
            complete = len(members) == members[0][1].step.count
            oldest = min(run.ordered_at for _, run in members)
            if (
                complete
                or now - oldest < GANG_START_TIMEOUT_S
                or self._takeover.unconfirmed
            ):
                continue
            for member_view, run in members:
                at_work = run.step.lasting and is_at_work(member_view, run)
                if run.phase is Phase.RUNNING and not at_work:
                    self._stop_run(
                        member_view, run, StopReason.GANG_INCOMPLETE, now
                    )

    def _start(
        self,
        view: WorkerView,
        subtask: SubtaskId,
        waiting_step: WaitingStep,
        now: float,
    ) -> None:
        waited_s = now - waiting_step.since.get(subtask, now)
        self._waiting.discard(subtask)
        run = self._order_run(view, subtask, waiting_step.step, now)
        self._log(
            "RUN_PLACED",
            subtask=str(subtask),
            run=run.number,
            worker=view.incarnation.worker,
            waited_ms=round(waited_s * 1000),
            free_cpu=view.free.cpu,
            suspicion=self._suspicion(subtask).value,
            confirmed_s=round(now - self._confirmed_at, 3),
        )

    def _order_run(
        self, view: WorkerView, subtask: SubtaskId, step: Step, now: float
    ) -> Run:
        """Reserves a worker's capacity for a new run and orders its start."""
        count = self._run_counts.get(subtask, 0) + 1
        self._run_counts[subtask] = count
        run = Run(
            subtask, self.fence * RUN_NUMBERS_PER_FENCE + count, step, now
        )
        run.isolated = view.isolated_for == subtask
        self._runs.add(view, run)
        self._record_start(view, run, now)
        checkpoint = (
            self._gang_checkpoint(subtask)
            if step.gang
            else self._checkpoints.get(subtask, "")
        )
        self._actions.append(
            StartRun(
                view.incarnation,
                subtask,
                run.number,
                self.table.jobs[subtask.job].job.payload,
                checkpoint,
                self._tickets.ticket(subtask[:3], view.incarnation, now) or "",
                min(view.capacity_valid_until, now + START_VALIDITY_S),
            )
        )
        return run

    def _gang_checkpoint(self, subtask: SubtaskId) -> str:
        checkpoints = [
            self._checkpoints.get(m, "") for m in self._step_subtasks(subtask)
        ]
        return max(checkpoints)


def _format_step(step: StepKey) -> str:
    return ".".join(str(part) for part in step)


def _max_free_cpu(views: list[WorkerView]) -> int:
    """Returns the largest free cpu of a worker, in thousandths of a core."""
    return max(view.registration.capacity.cpu - view.used.cpu for view in views)
