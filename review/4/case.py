"""A worker comes back while advice on a step is late."""

import sys
import time
from pathlib import Path

from review.kit.deployment import (
    AdviceService,
    Deployment,
    Record,
    play,
    trouble,
)

JOB = "5c0e7a21d94b36f8"
ALLOWED = "w-3"
STEP = {"Count": 24, "Cpu": 4000, "MemMb": 64, "EstimatedMs": 1500}
SPEC = "ticketed ms=1500 cpu=4000"

# Jobs whose steps are advised on before, which takes 0.55 s to 0.6 s each.
OTHERS = [f"5c0e7a21d94b{n:04x}" for n in range(8)]
OTHER_STEP = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimatedMs": 200}
OTHER_SPEC = "ticketed ms=200 cpu=1000"

# The worker is back this long after its crash.
DOWN_S = 3.5
SUBMIT_AFTER_S = 2.5

FINISH_S = 14.0
IDLE_S = 3.0


def case(record: Record) -> list[str]:
    """Plays the case; returns the breaks of LOST."""
    advice = AdviceService(record, {JOB: {ALLOWED}})
    deployment = Deployment(record, workers=8, advice=advice)
    try:
        deployment.wait(lambda: deployment.holder() > 0, "a holder", 20.0)
        time.sleep(3.0)
        worker = next(w for w in deployment.workers if w.id == ALLOWED)
        machine = f"m-{ALLOWED[2:]}"
        if trouble():
            record.write(f"disruption: {ALLOWED} crashes")
            worker.kill()
            deployment.machine_lives[machine] = ""
        time.sleep(SUBMIT_AFTER_S)
        for job in OTHERS:
            deployment.submit(2, job, OTHER_STEP, spec=OTHER_SPEC)
        deployment.submit(2, JOB, STEP, spec=SPEC)
        time.sleep(DOWN_S - SUBMIT_AFTER_S)
        if trouble():
            worker.start()
            deployment.machine_lives[machine] = ALLOWED
            record.write(f"disruption: {ALLOWED} is up again")
        time.sleep(2.0 * FINISH_S)
        breaks = []
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < IDLE_S:
            runs = deployment.runs()
            state = deployment.state(3, JOB)
            if state != "running" or any(r.how == "running" for r in runs):
                break
            time.sleep(0.5)
        else:
            done = {
                r.subtask
                for r in runs
                if r.how == "done" and r.subtask.startswith(JOB)
            }
            breaks.append(
                f"{2 * FINISH_S} s after the traffic and for {IDLE_S} s more, "
                f"the job is shown as {state!r}, {len(done)} of its "
                f"{STEP['Count']} subtasks are done, nothing of it runs, and "
                f"{ALLOWED}, which may run it, is up and idle"
            )
        deployment.save_events()
        return breaks
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
