"""Workers crash and start again behind a cut, and are cut off once more."""

import sys
import time
from pathlib import Path

from review.kit.deployment import (
    ZONES,
    Deployment,
    Record,
    find_doubles,
    play,
    trouble,
)

JOB = "5c0e7a21d94b36f8"
CPU = 1000
WORKERS = 8
RUNS_EACH = 10
RUN_MS = 8000
STEP = {
    "Count": 70,
    "Cpu": CPU,
    "MemMb": 64,
    "EstimatedMs": RUN_MS,
}
SPEC = f"ms={RUN_MS} cpu={CPU}"

# Workers of the zone that is cut off.
CUT = (0, 1, 2, 3)

FIRST_CUT_S = 2.5
BETWEEN_S = 1.0

# A zone of the site is cut off for up to 6.5 s.
SECOND_CUT_S = 6.3


def case(record: Record) -> list[str]:
    """Plays the case; returns the breaks of TWICE."""
    deployment = Deployment(
        record,
        workers=WORKERS,
        worker_cpu=RUNS_EACH * CPU,
        zones=ZONES[:2],
        worker_zones=[
            ZONES[2] if n in CUT else ZONES[n % 2] for n in range(WORKERS)
        ],
        racks=["r1-0" if n in CUT else "r1-1" for n in range(WORKERS)],
    )
    try:
        deployment.wait(lambda: deployment.holder() > 0, "a holder", 20.0)
        time.sleep(12.0)
        cut = [deployment.workers[n] for n in CUT] if trouble() else []
        for worker in cut:
            worker.command("zone on")
        deployment.submit(2, JOB, STEP, spec=SPEC)
        if cut:
            deployment.restart_workers(cut)
        time.sleep(FIRST_CUT_S)
        for worker in cut:
            worker.command("zone off")
        time.sleep(BETWEEN_S)
        for worker in cut:
            worker.command("zone on")
        time.sleep(SECOND_CUT_S)
        for worker in cut:
            worker.command("zone off")
        deployment.wait(
            lambda: (
                time.sleep(0.5)
                or deployment.state(2, JOB) in ("completed", "failed")
            ),
            "the end of the job",
            60.0,
        )
        deployment.save_events()
        return find_doubles(deployment.runs())
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
