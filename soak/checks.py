"""Checks the guarantees against the observations of callers and workers."""

import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from standins.job_worker import EndedRun, JobWorker

# Tolerance for the delay between the clock readings of two stand-ins.
_CLOCK_TOLERANCE_S = 0.02

# Time after a job was shown as completed from which no subtask may start.
_SHOWN_TOLERANCE_S = 1.0

# Crashes after which a subtask may be given up, and after which it must be: it
# may be started twice more after it has crashed three workers.
MIN_CRASHES = 2
MAX_CRASHES = 5

FINAL_STATES = frozenset({"completed", "failed"})


@dataclass
class JobObservations:
    """What callers observed of a job.

    Attributes:
        statuses: HTTP statuses of its submissions; 0 for no answer.
        states: States that were returned after it was accepted, in order;
            ``gone`` if the job was unknown.
        last_submission_at: Monotonic time at which its last submission
            ended, in seconds.
        deadly: Whether its first subtask crashes its workers.
        subtasks: Number of its subtasks; 0 if it isn't known.
        completed_at: Monotonic time at which it was first shown as completed,
            in seconds.
    """

    statuses: list[int] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    last_submission_at: float = 0.0
    deadly: bool = False
    subtasks: int = 0
    completed_at: float = float("inf")
    _ended_at: float = float("inf")

    def record_state(
        self, state: str, requested_at: float, answered_at: float
    ) -> None:
        """Records a state that was returned.

        An answer to a request that was sent before the job was shown as ended
        may be older than that and may arrive later.

        Args:
            state: The state; ``gone`` if the job was unknown.
            requested_at: Monotonic time of the request, in seconds.
            answered_at: Monotonic time of the answer, in seconds.
        """
        if requested_at < self._ended_at and answered_at > self._ended_at:
            return
        self.states.append(state)
        if state in FINAL_STATES:
            self._ended_at = min(self._ended_at, answered_at)
        if state == "completed":
            self.completed_at = min(self.completed_at, answered_at)

    @property
    def accepted(self) -> bool:
        """Whether a submission was accepted."""
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether every submission was refused as not run."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


def find_violations(
    observations: dict[str, JobObservations], workers: Sequence[JobWorker]
) -> list[str]:
    """Returns a message for each violated guarantee."""
    runs = _runs_by_subtask(workers)
    acknowledged = {key for worker in workers for key in worker.acknowledged}
    violations = [
        f"worker doubled {n}" for w in workers for n in w.duplicate_starts
    ]
    violations += [
        f"worker overloaded {n}" for w in workers for n in w.overloads
    ]
    for job, observed in sorted(observations.items()):
        subtasks = [r for n, r in runs.items() if n.partition(".")[0] == job]
        violations += _job_violations(job, observed, subtasks)
        if observed.refused and any(name.startswith(job) for name in runs):
            violations.append(f"{job}: refused as not run, and has run")
    for name, subtask_runs in sorted(runs.items()):
        if name.partition(".")[0] not in observations:
            violations.append(f"{name}: nobody asked for it")
        violations += _run_violations(name, subtask_runs, acknowledged)
    return violations


def _runs_by_subtask(workers: Iterable[JobWorker]) -> dict[str, list[EndedRun]]:
    runs: dict[str, list[EndedRun]] = defaultdict(list)
    for worker in workers:
        for ended_run in worker.ended_runs:
            runs[ended_run.subtask].append(ended_run)
    for subtask_runs in runs.values():
        subtask_runs.sort(key=lambda run: run.started_at)
    return runs


def _job_violations(
    job: str, observed: JobObservations, subtasks: Sequence[list[EndedRun]]
) -> list[str]:
    if not observed.accepted:
        return []
    violations = []
    if "gone" in observed.states:
        violations.append(f"{job}: accepted, and later not known")
    violations += _outcome_violations(job, observed, subtasks)
    if "completed" in observed.states:
        violations += _completion_violations(job, observed, subtasks)
    for state in FINAL_STATES & set(observed.states[:-1]):
        after = observed.states[observed.states.index(state) :]
        if set(after) != {state}:
            violations.append(f"{job}: {state}, and then {set(after)}")
    return violations


def _completion_violations(
    job: str, observed: JobObservations, subtasks: Sequence[list[EndedRun]]
) -> list[str]:
    """Compares the runs with when the job was shown as completed."""
    done = sum(
        any(run.end_reason == "done" for run in runs) for runs in subtasks
    )
    violations = []
    if done < observed.subtasks:
        violations.append(
            f"{job}: completed, and {observed.subtasks - done} never done"
        )
    latest_start = max(
        (run.started_at for runs in subtasks for run in runs), default=0.0
    )
    if latest_start > observed.completed_at + _SHOWN_TOLERANCE_S:
        violations.append(f"{job}: started after it was shown as completed")
    return violations


def _outcome_violations(
    job: str, observed: JobObservations, subtasks: Sequence[list[EndedRun]]
) -> list[str]:
    crashed = [
        [run for run in runs if run.end_reason == "crashed"]
        for runs in subtasks
    ]
    crashes = max(map(len, crashed), default=0)
    # A worker whose answers are lost is not in touch: its starts don't count.
    counted = max(
        (sum(not run.disturbed for run in runs) for runs in crashed), default=0
    )
    final = observed.states[-1] if observed.states else ""
    violations = []
    if observed.deadly and counted > MAX_CRASHES:
        violations.append(f"{job}: crashed {counted} workers")
    if observed.deadly and final != "failed":
        violations.append(f"{job}: not given up: {observed.states[-3:]}")
    elif final not in FINAL_STATES:
        violations.append(f"{job}: not completed: {observed.states[-3:]}")
    elif final == "failed" and crashes < MIN_CRASHES:
        violations.append(f"{job}: given up without cause")
    return violations


def _run_violations(
    name: str, subtask_runs: list[EndedRun], acknowledged: set[tuple[str, int]]
) -> list[str]:
    violations = []
    acknowledged_done = [
        r
        for r in subtask_runs
        if r.end_reason == "done" and (name, r.run) in acknowledged
    ]
    for before, after in zip(subtask_runs, subtask_runs[1:], strict=False):
        if after.started_at < before.ended_at - _CLOCK_TOLERANCE_S:
            violations.append(f"{name}: two runs at the same time")
    if acknowledged_done:
        first_end = min(run.ended_at for run in acknowledged_done)
        if any(
            run.started_at > first_end + _CLOCK_TOLERANCE_S
            for run in subtask_runs
        ):
            violations.append(f"{name}: started after an end that was noted")
    return violations


def wait_until_idle(workers: Iterable[JobWorker], timeout_s: float) -> None:
    """Waits until no worker runs anything, or until the timeout."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until and any(w.running for w in workers):
        time.sleep(0.05)
