"""Two copies of one run are started at once, and one of them is forgotten."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import PREFIX, has_trouble, play, wait_for  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STRAGGLER = f"{JOB}.0.0.1"
STEP = {
    "Count": 2,
    "Cpu": 4000,
    "MemMb": 256,
    "EstimatedMs": 400,
    "AntiAffinity": 1,
    "Speculative": True,
    "run_s": [0.4, 60.0],
}
# Fills the pool, so that the straggler is copied only when this job has ended.
OTHER_JOB = "5c0e7a21d94b36f9"
OTHER_STEP = {
    "Count": 16,
    "Cpu": 14000,
    "MemMb": 256,
    "EstimatedMs": 3000,
    "run_s": 3.0,
}
CUT_AFTER_S, CUT_S = 1.5, 3.0
CALM_S = 5.0
CANCEL_S, STOP_GRACE_S = 3.0, 0.9
# For the transit of the last order.
SLACK_S = 0.5


def case(deployment):
    """Plays the case; returns why the rule is broken."""
    client = deployment.instances()[0]
    if deployment.submit(client, JOB, STEP) != 200:
        return ""
    worker = wait_for(lambda: deployment.worker_of(STRAGGLER), 10, "no run")
    if deployment.submit(client, OTHER_JOB, OTHER_STEP) != 200:
        return ""
    time.sleep(CUT_AFTER_S)
    if has_trouble():
        deployment.workers[worker].cut(True)
    time.sleep(CUT_S)
    if has_trouble():
        deployment.workers[worker].cut(False)
    time.sleep(CALM_S)
    deployment.note(f"straggler runs on {runs(deployment)}")
    status, _ = deployment.call(client, "DELETE", PREFIX + JOB)
    if status != 200:
        return ""
    time.sleep(CANCEL_S + STOP_GRACE_S + SLACK_S)
    left = runs(deployment)
    deployment.note(f"after the cancelling it runs on {left}")
    if left:
        time.sleep(10.0)
        deployment.note(f"10 s later it runs on {runs(deployment)}")
        return f"a cancelled subtask runs on: {left}"
    return ""


def runs(deployment):
    """Returns worker and run number of the straggler's runs."""
    return [
        (worker.name, worker.running[STRAGGLER].number)
        for worker in deployment.workers
        if STRAGGLER in worker.running
    ]


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
