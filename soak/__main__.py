"""Plays seeds of the soak: `python -m soak [--seeds N] [--seed S ...]`."""

import random
import sys
import tomllib
from pathlib import Path

import defopt

from soak.play import Result, Size, play

_REGRESSIONS = Path(__file__).with_name("regressions.toml")


def _report(result: Result) -> None:
    verdict = "held" if not result.broken else "BROKEN"
    print(
        f"seed {result.seed}: {result.jobs} jobs, {result.accepted} accepted,"
        f" {len(result.faults)} faults: {verdict}",
        flush=True,
    )
    if result.broken:
        print("\n".join([*result.faults, *result.broken]))
        print(f"logs: {result.logs}")


def main(
    *,
    seeds: int = 0,
    seed: list[int] | None = None,
    seconds: float = 10.0,
    instances: int = 3,
    workers: int = 4,
    clients: int = 3,
) -> int:
    """Plays seeds and checks the promises to callers.

    Args:
        seeds: Number of fresh seeds.
        seed: Seeds to play; the regression cases where none are given.
        seconds: How long each seed plays faults.
        instances: Processes of the job server.
        workers: Stand-in workers.
        clients: Callers at the same time.
    """
    size = Size(instances, workers, clients, seconds)
    chosen = list(seed or [])
    if not chosen and not seeds:
        cases = tomllib.loads(_REGRESSIONS.read_text("utf-8"))
        chosen = [case["seed"] for case in cases.get("case", [])]
    chosen += [random.SystemRandom().randrange(2**31) for _ in range(seeds)]
    broken = 0
    for number in chosen:
        result = play(number, size)
        _report(result)
        broken += bool(result.broken)
    print(f"{len(chosen) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
