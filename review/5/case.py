"""A worker with a subtask that lasts is lost while the others are full."""

import sys
import time
from pathlib import Path

from review.kit.deployment import Deployment, Record, play, trouble

LASTING = "5c0e7a21d94b36f8"
OTHERS = [f"5c0e7a21d94b{n:04x}" for n in range(150)]
CORES = 32
LASTING_STEP = {
    "Count": 1,
    "Cpu": 20_000,
    "MemMb": 64,
    "EstimatedMs": 500,
    "LongRunning": True,
    "MayMiss": 1,
}
LASTING_SPEC = "lasting cpu=20000"
STEP = {"Count": 8, "Cpu": 1000, "MemMb": 64, "EstimatedMs": 1000}
SPEC = "ms=1000 cpu=1000"

# A subtask that lasts runs again from 6 s after its last run on; the rule
# looks at stretches of 3 s.
AGAIN_S = 6.0
STRETCH_S = 3.0


def longest_pause(deployment: Deployment, until: float) -> tuple[float, str]:
    """Returns the longest time for which the lasting subtask did not run."""
    runs = [r for r in deployment.runs() if r.subtask.startswith(LASTING)]
    begun_at = [r.started_at for r in runs[1:]] + [until]
    pauses = [
        (begin - run.ended_at, run.how)
        for run, begin in zip(runs, begun_at, strict=True)
    ]
    return max(pauses)


def case(record: Record) -> list[str]:
    """Plays the case; returns the breaks of LOST."""
    deployment = Deployment(record, workers=3, worker_cpu=CORES * 1000)
    try:
        deployment.wait(lambda: deployment.holder() > 0, "a holder", 20.0)
        time.sleep(3.0)
        deployment.submit(2, LASTING, LASTING_STEP, spec=LASTING_SPEC)
        first = deployment.wait(deployment.runs, "a start", 5.0)[0]
        time.sleep(2.0)
        for number, job in enumerate(OTHERS):
            entry = deployment.numbers[number % len(deployment.numbers)]
            if deployment.submit(entry, job, STEP, spec=SPEC) != 200:
                raise OSError("not all jobs were accepted")
        time.sleep(2.0)
        if trouble():
            worker = next(w for w in deployment.workers if w.id == first.worker)
            record.write(f"disruption: {worker.id} is lost for good")
            worker.kill()
            deployment.machine_lives.pop(f"m-{worker.id[2:]}")
            time.sleep(4.5)
            deployment.store.put("keyed.servers", worker.id, None)
            record.write(f"platform: the entry of {worker.id} is removed")
        time.sleep(17.0)
        pause_s, how = longest_pause(deployment, time.monotonic())
        deployment.call(3, "GET", f"/next/{LASTING}")
        deployment.save_events()
        if pause_s <= AGAIN_S + STRETCH_S:
            return []
        return [
            f"the subtask that lasts does not run for {pause_s:.1f} s after "
            f"its last run ended ({how}), with two workers of {CORES} cores up"
        ]
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
