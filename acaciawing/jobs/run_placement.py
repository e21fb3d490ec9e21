"""Which waiting work a cell starts, and where."""

from acaciawing.jobs.actions import (
    AdviceRequest,
    AdviceResponse,
    StartRun,
)
from acaciawing.jobs.evacuation import CellEvacuation
from acaciawing.jobs.limits import CONFIRMED_S, GANG_START_S, RUNS_PER_FENCE
from acaciawing.jobs.model import Queue, Step, SubtaskId
from acaciawing.jobs.urgency import Rank, Urgency, urgency
from acaciawing.jobs.waiting import StepKey, WaitingStep
from acaciawing.jobs.worker_choice import choose_gang, choose_worker
from acaciawing.jobs.workers import CONTACT_S, Phase, Run, WorkerView


class CellPlacement(CellEvacuation):
    """Which waiting work a cell starts, and where."""

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

    def _place(self, now: float) -> None:
        if not self._waiting:
            return
        pools: dict[str, list[WorkerView]] = {}
        for view in self.views.values():
            if view.usable(now):
                pools.setdefault(view.listed.service, []).append(view)
        if not pools:
            return
        roomiest = {s: _most_free(views) for s, views in pools.items()}
        for group in sorted(self._waiting.steps, key=self._rank):
            queue = self._queues.get(group.progress.job.queue)
            if queue is None or queue.service not in pools:
                continue
            if group.step.charged.cpu > roomiest[queue.service]:
                continue
            # Copies of the others may run already; they may run twice.
            if self._uncertain(group.key[0]) and not group.step.speculative:
                continue
            if not self._place_step(group, queue, pools[queue.service], now):
                roomiest[queue.service] = _most_free(pools[queue.service])

    def _place_step(
        self,
        group: WaitingStep,
        queue: Queue,
        views: list[WorkerView],
        now: float,
    ) -> bool:
        """Starts what finds room; returns whether all of the step did."""
        for subtask in list(group.since):
            if queue.advice:
                views = self._advised(subtask, views, now)
            if group.step.gang:
                self._place_gang(subtask, group, views, now)
                return True
            chosen = choose_worker(
                views, group.step, subtask, self._avoid.get(subtask, "")
            )
            if chosen is None:
                return False
            self._start(chosen, subtask, group, now)
        return True

    def receive_advice(self, advice: AdviceResponse) -> None:
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
            self._actions.append(AdviceRequest(step, asked))
        return [
            v
            for v in views
            if self._tickets.ticket(step, v.life.worker, now) is not None
        ]

    def _rank(self, group: WaitingStep) -> tuple[Rank, StepKey]:
        progress = group.progress
        queue = self._queues.get(progress.job.queue)
        priority = queue.priority if queue is not None else 0
        standing = Urgency.IN_TIME
        _, occurrence, step = group.key
        if queue is not None and not group.step.lasting:
            since_ms = progress.due_ms(occurrence) or progress.at_ms
            standing = urgency(
                progress.chains_ms, queue, since_ms, step, self._unix_ms
            )
        rank = Rank(
            priority,
            not group.step.lasting,
            standing,
            not progress.started,
            progress.at_ms,
        )
        return rank, group.key

    def _uncertain(self, job: str) -> bool:
        """Whether it may still run by an order of an earlier holder."""
        return bool(self._takeover.until) and job in self._takeover.jobs

    def _place_gang(
        self,
        subtask: SubtaskId,
        entry: WaitingStep,
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
        self,
        view: WorkerView,
        subtask: SubtaskId,
        entry: WaitingStep,
        now: float,
    ) -> None:
        waited_s = now - entry.since.get(subtask, now)
        self._waiting.discard(subtask)
        run = self._order_run(view, subtask, entry.step, now)
        self._active[subtask] = view
        self.table.jobs[subtask.job].started = True
        self._log(
            "RUN_PLACED",
            subtask=str(subtask),
            run=run.number,
            worker=view.life.worker,
            waited_ms=round(waited_s * 1000),
            free_cpu=view.free.cpu,
        )

    def _order_run(
        self, view: WorkerView, subtask: SubtaskId, step: Step, now: float
    ) -> Run:
        """Charges a new run to a worker and orders its start."""
        count = self._run_counts.get(subtask, 0) + 1
        self._run_counts[subtask] = count
        run = Run(subtask, self.fence * RUNS_PER_FENCE + count, step, now)
        view.add(run)
        checkpoint = (
            self._gang_checkpoint(subtask)
            if step.gang
            else self._checkpoints.get(subtask, "")
        )
        self._actions.append(
            StartRun(
                view.life,
                subtask,
                run.number,
                self.table.jobs[subtask.job].job.payload,
                checkpoint,
                self._tickets.ticket(subtask[:3], view.life.worker, now) or "",
            )
        )
        return run

    def _gang_checkpoint(self, subtask: SubtaskId) -> str:
        saved = [self._checkpoints.get(m, "") for m in self._members(subtask)]
        return max(saved)


def _most_free(views: list[WorkerView]) -> int:
    """Returns the most cpu that a worker has left, in thousandths."""
    return max(view.listed.capacity.cpu - view.used.cpu for view in views)
