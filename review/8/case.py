"""A queue is removed, the cell changes its holder, and its jobs stand still."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import (  # noqa: E402
    has_trouble,
    play,
    wait_for,
)

JOBS = [f"5c0e7a21d94b36f{n}" for n in range(4)]
FIRST_RUN_S, SECOND_RUN_S = 14.0, 1.0
IDLE_LIMIT_S = 3.0
CALM_BEFORE_S = 4.0
WATCH_S = 20.0
STEP = {"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 14000}


def case(deployment):
    """Plays the case; returns why the rule is broken."""
    first = deployment.instances()[0]
    for job in JOBS:
        status = deployment.submit(
            first,
            job,
            {**STEP, "run_s": FIRST_RUN_S},
            {**STEP, "DependsOn": [0], "run_s": SECOND_RUN_S},
        )
        if status != 200:
            return ""
    wait_for(
        lambda: all(len(deployment.starts(j)) >= 2 for j in JOBS), 10, "no runs"
    )
    deployment.configure("care-home-roster")
    if has_trouble():
        # One instance after the other, each replaced before the next one.
        for number in deployment.instances():
            deployment.stop_instance(number)
            deployment.start_instance(number)
            deployment.wait_ready()
    ended_at = wait_for(lambda: first_step_end(deployment), 30, "no ends")
    time.sleep(WATCH_S)
    reason = ""
    for job in JOBS:
        later = [s for s in deployment.starts(job) if s[0].split(".")[2] == "1"]
        waited_s = (later[0][2] if later else time.monotonic()) - ended_at
        deployment.note(f"{job}: second step waited {waited_s:.1f} s")
        if waited_s > CALM_BEFORE_S + IDLE_LIMIT_S and not reason:
            reason = f"{job} had nothing running for {waited_s:.1f} s"
    deployment.configure("care-home-roster", "next-visit")
    time.sleep(2.5)
    for job in JOBS:
        deployment.state(deployment.instances()[0], job)
    return reason


def first_step_end(deployment):
    """Returns when all first steps had ended done; None before."""
    ends = [
        end
        for job in JOBS
        for end in deployment.ends(job)
        if end[0].split(".")[2] == "0" and end[2] == "done"
    ]
    return max(e[3] for e in ends) if len(ends) == 2 * len(JOBS) else None


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
