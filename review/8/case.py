"""A queue is removed and added again for another service."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import has_trouble, play, wait_for  # noqa: E402

JOBS = [f"5c0e7a21d94b36f{n}" for n in range(4)]
RUN_S = 20.0
STEP = {"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 20000}
# Longer than `ConfigApplyMs` and than `visible_ms`.
PAUSE_S = 4.0
ASKED_S = 12.0


def case(deployment):
    """Plays the case; returns why the rule is broken."""
    client = deployment.instances()[0]
    for job in JOBS:
        if deployment.submit(client, job, {**STEP, "run_s": RUN_S}) != 200:
            return ""
    wait_for(
        lambda: all(len(deployment.starts(j)) >= 2 for j in JOBS), 10, "no runs"
    )
    time.sleep(PAUSE_S)
    deployment.configure("care-home-roster")
    time.sleep(PAUSE_S)
    if has_trouble():
        deployment.configure("care-home-roster", next_visit="routing")
    else:
        deployment.configure("care-home-roster", "next-visit")
    time.sleep(PAUSE_S)
    gone = {}
    until = time.monotonic() + ASKED_S
    while time.monotonic() < until:
        for number in deployment.instances():
            for job in JOBS:
                status, _ = deployment.state(number, job)
                if status == 410:
                    gone[job] = gone.get(job, 0) + 1
        time.sleep(1.0)
    if gone:
        return f"accepted jobs are answered 410: {gone}"
    return ""


if __name__ == "__main__":
    sys.exit(play(FOLDER, case, workers=8, both_services=True))
