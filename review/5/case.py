"""A worker crashes and starts again behind a cut, and is then lost for good."""

import sys
import time
from pathlib import Path

from review.kit.deployment import (
    SERVICE,
    Deployment,
    Record,
    play,
    trouble,
)

JOB = "5c0e7a21d94b36f8"
STEP = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimatedMs": 2000}
SPEC = "ms=2000 cpu=1000"

# Cuts of workers last up to 5.5 s on the sites.
CUT_S = 5.5

# A worker's entry is removed after three heartbeats of silence.
ENTRY_LAPSE_S = 4.5

FINISH_S = 14.0
IDLE_S = 3.0


def lose_worker(deployment: Deployment, record: Record) -> None:
    """Cuts off the worker that runs the job, and loses it behind the cut."""
    started = deployment.wait(deployment.runs, "a start", 5.0)[0]
    worker = next(w for w in deployment.workers if w.id == started.worker)
    record.write(f"disruption: {worker.id} is cut off, and crashes")
    worker.command("cut on")
    deployment.restart_workers([worker])
    record.write(f"disruption: {worker.id} is up again, behind the cut")
    time.sleep(CUT_S / 2)
    record.write(f"disruption: {worker.id} is lost for good")
    worker.kill()
    deployment.machine_lives.pop(f"m-{worker.id[2:]}")
    time.sleep(ENTRY_LAPSE_S)
    deployment.store.put("keyed.servers", worker.id, None)
    record.write(f"platform: the entry of {worker.id} is removed")


def case(record: Record) -> list[str]:
    """Plays the case; returns the breaks of LOST."""
    deployment = Deployment(record, workers=8)
    try:
        deployment.wait(lambda: deployment.holder() > 0, "a holder", 20.0)
        time.sleep(3.0)
        deployment.submit(2, JOB, STEP, spec=SPEC)
        if trouble():
            lose_worker(deployment, record)
        time.sleep(FINISH_S)
        breaks = []
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < IDLE_S:
            runs = deployment.runs()
            state = deployment.state(3, JOB)
            if state != "running" or any(r.how == "running" for r in runs):
                break
            time.sleep(0.5)
        else:
            breaks.append(
                f"{FINISH_S} s after the traffic and for {IDLE_S} s more, the "
                f"job is shown as {state!r}, nothing of it runs, and the other "
                f"workers of {SERVICE} are idle"
            )
        deployment.save_events()
        return breaks
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
