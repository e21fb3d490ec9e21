"""More than 500 ends wait at a worker while the store is down."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

from deployment import has_trouble, play, wait_for  # noqa: E402

JOB = "5c0e7a21d94b36f8"
COUNT = 1500
# The work of the subtasks is spread evenly, in no order of their numbers.
SHORTEST_S, SPREAD_S, STRIDE = 5.0, 4.0, 701
STEP = {
    "Count": COUNT,
    "Cpu": 40,
    "MemMb": 16,
    "EstimatedMs": 7000,
    "run_s": [
        SHORTEST_S + SPREAD_S * (STRIDE * n % COUNT) / COUNT
        for n in range(COUNT)
    ],
}
# When the store goes down, measured from the first start, and for how long.
DOWN_AFTER_S, DOWN_S = 5.0, 4.2


def case(deployment):
    """Plays the case; returns why the rule is broken."""
    client = deployment.instances()[0]
    status = deployment.submit(client, JOB, STEP)
    if status != 200:
        return ""
    wait_for(lambda: len(deployment.starts(JOB)) >= COUNT, 30, "no runs")
    first_at = deployment.starts(JOB)[0][2]
    if has_trouble():
        time.sleep(max(0.0, first_at + DOWN_AFTER_S - time.monotonic()))
        deployment.store.refuses = True
        deployment.note("store: answers 503")
        time.sleep(DOWN_S)
        deployment.store.refuses = False
        deployment.note("store: answers again")
    asked = deployment.instances()[-1]
    until = time.monotonic() + 40
    while time.monotonic() < until:
        if deployment.state(asked, JOB)[1] in ("completed", "failed"):
            break
        time.sleep(0.5)
    return started_again(deployment)


def started_again(deployment):
    """Returns which subtasks were started after a noted end `done`."""
    done_at = {}
    for name, number, how, at in deployment.ends(JOB):
        if how == "done" and deployment.is_noted(name, number):
            done_at[name] = min(at, done_at.get(name, at))
    again = [
        (name, run, at - done_at[name])
        for name, run, at, _ in deployment.starts(JOB)
        if at > done_at.get(name, float("inf"))
    ]
    for name, run, late_s in again:
        deployment.note(f"{name} run {run} starts {late_s:.2f} s after done")
    if not again:
        return ""
    return f"{len(again)} starts after the subtask had ended done"


if __name__ == "__main__":
    sys.exit(play(FOLDER, case, workers=2))
