"""Promises of the system, from what callers and workers have seen."""

import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from standins.job_worker import EndedRun, JobWorker

# Two clocks of the stand-ins may be read this far apart, in seconds.
_SLACK_S = 0.02


@dataclass
class JobStory:
    """What callers have seen of a job.

    Attributes:
        statuses: Answers to its submissions; 0 for none.
        states: States that were told after it was accepted, in order.
        accepted_at: When its last submission was answered, in seconds.
    """

    statuses: list[int] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    accepted_at: float = 0.0

    @property
    def accepted(self) -> bool:
        """Whether a submission was answered with success."""
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether every submission was answered as not run."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


def broken_promises(
    stories: dict[str, JobStory], workers: Sequence[JobWorker]
) -> list[str]:
    """Returns a line for each promise that was broken."""
    runs = _runs(workers)
    noted = {key for worker in workers for key in worker.acknowledged}
    found = [f"worker doubled {n}" for w in workers for n in w.duplicate_starts]
    for job, story in sorted(stories.items()):
        found += _story_faults(job, story)
        if story.refused and any(name.startswith(job) for name in runs):
            found.append(f"{job}: refused as not run, and has run")
    for name, past in sorted(runs.items()):
        if name.partition(".")[0] not in stories:
            found.append(f"{name}: nobody asked for it")
        found += _run_faults(name, past, noted)
    return found


def _runs(workers: Iterable[JobWorker]) -> dict[str, list[EndedRun]]:
    runs: dict[str, list[EndedRun]] = defaultdict(list)
    for worker in workers:
        for past in worker.ended_runs:
            runs[past.subtask].append(past)
    for past_runs in runs.values():
        past_runs.sort(key=lambda run: run.started_at)
    return runs


def _story_faults(job: str, story: JobStory) -> list[str]:
    if not story.accepted:
        return []
    faults = []
    if "gone" in story.states:
        faults.append(f"{job}: accepted, and later not known")
    if not story.states or story.states[-1] != "completed":
        faults.append(f"{job}: not completed: {story.states[-3:]}")
    if "completed" in story.states[:-1]:
        after = story.states[story.states.index("completed") :]
        if set(after) != {"completed"}:
            faults.append(f"{job}: completed, and then {set(after)}")
    return faults


def _run_faults(
    name: str, past: list[EndedRun], noted: set[tuple[str, int]]
) -> list[str]:
    faults = []
    done = [
        r for r in past if r.end_reason == "done" and (name, r.run) in noted
    ]
    for before, after in zip(past, past[1:], strict=False):
        if after.started_at < before.ended_at - _SLACK_S:
            faults.append(f"{name}: two runs at the same time")
    if done:
        first = min(run.ended_at for run in done)
        if any(run.started_at > first + _SLACK_S for run in past):
            faults.append(f"{name}: started after an end that was noted")
    return faults


def settle(workers: Iterable[JobWorker], seconds: float) -> None:
    """Waits until nothing runs, at most for a time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until and any(w.running for w in workers):
        time.sleep(0.05)
