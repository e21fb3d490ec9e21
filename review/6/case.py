"""A copy that was forgotten is started after its subtask's end was noted."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import has_trouble, play, wait_for  # noqa: E402

JOB = "5c0e7a21d94b36f8"
SECOND = f"{JOB}.0.0.1"
STEP = {
    "Count": 2,
    "Cpu": 1000,
    "MemMb": 256,
    "EstimatedMs": 1000,
    "AntiAffinity": 1,
    "Speculative": True,
    "run_s": 1.0,
}
# Label of the first four workers.
RACK = "r1-0"
# Fills these, so that another job waits, and nothing is copied meanwhile.
FULL_JOB = "5c0e7a21d94b36f9"
FULL_STEP = {
    "Count": 2,
    "MemMb": 256,
    "EstimatedMs": 3000,
    "Requirements": RACK,
    "run_s": 3.0,
}
FULL_STEPS = ({**FULL_STEP, "Cpu": 31000}, {**FULL_STEP, "Cpu": 32000})
# Waits, and then fills one of these workers and a part of the next one.
SMALL_JOB = "5c0e7a21d94b36fa"
SMALL_STEP = {
    "Count": 34,
    "Cpu": 1500,
    "MemMb": 256,
    "EstimatedMs": 2000,
    "Requirements": RACK,
    "run_s": 2.0,
}
CUT_S = 4.0
# Within the cut, orders begin to be carried out late, for this time.
LATE_AFTER_S, LATE_FOR_S = 2.0, 5.5
WATCH_S = 5.0
# The rule's "over a second after such an end was taken note of".
NOTED_SLACK_S = 1.0


def case(deployment):
    """Plays the case; returns why the rule is broken."""
    client = deployment.instances()[0]
    if deployment.submit(client, JOB, STEP) != 200:
        return ""
    cut = wait_for(lambda: deployment.worker_of(SECOND), 10, "no run")
    for job, steps in ((FULL_JOB, FULL_STEPS), (SMALL_JOB, [SMALL_STEP])):
        if deployment.submit(client, job, *steps) != 200:
            return ""
    wait_for(lambda: len(deployment.starts(FULL_JOB)) == 4, 10, "not full")
    if has_trouble():
        deployment.workers[cut].cut(True)
    time.sleep(LATE_AFTER_S)
    lose_orders(deployment, has_trouble())
    time.sleep(CUT_S - LATE_AFTER_S)
    if has_trouble():
        deployment.workers[cut].cut(False)
    time.sleep(LATE_AFTER_S + LATE_FOR_S - CUT_S)
    lose_orders(deployment, False)
    time.sleep(WATCH_S)
    return started_late(deployment)


def lose_orders(deployment, loses):
    """Begins or ends that workers carry out each second start late."""
    for worker in deployment.workers:
        worker.lose_orders(loses)


def started_late(deployment):
    """Returns how long after the noted end the subtask was started again."""
    late = {key for worker in deployment.workers for key in worker.late_starts}
    done = {end[:2] for end in deployment.ends(JOB) if end[2] == "done"}
    noted_at = min(
        (
            at
            for worker in deployment.workers
            for key, at in list(worker.noted.items())
            if key in done and key[0] == SECOND
        ),
        default=float("inf"),
    )
    for name, run, at, worker in deployment.starts(JOB):
        after_s = at - noted_at
        if name != SECOND or after_s <= NOTED_SLACK_S:
            continue
        if (name, run) in late:
            deployment.note(f"{name} run {run}: an order carried out late")
            continue
        return f"run {run} starts on w-{worker} {after_s:.2f} s after the note"
    return ""


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
