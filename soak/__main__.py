"""Runs seeds of the soak test: `python -m soak [--seeds N] [--seed S ...]`."""

import random
import sys
import tomllib
from pathlib import Path

import defopt

from soak.seed_run import SeedResult, Size, run_seed

_REGRESSIONS_PATH = Path(__file__).with_name("regressions.toml")


def _print_result(result: SeedResult) -> None:
    outcome = "held" if not result.violations else "BROKEN"
    print(
        f"seed {result.seed}: {result.jobs} jobs, {result.accepted} accepted,"
        f" {len(result.faults)} faults: {outcome}",
        flush=True,
    )
    if result.violations:
        print("\n".join([*result.faults, *result.violations]))
        print(f"logs: {result.logs}")


def main(
    *,
    seeds: int = 0,
    seed: list[int] | None = None,
    seconds: float = 10.0,
    instances: int = 3,
    workers: int = 4,
    clients: int = 3,
    moves_queue: bool = False,
    parts_store: bool = False,
) -> int:
    """Runs seeds and checks the guarantees given to callers.

    Args:
        seeds: Number of new random seeds.
        seed: Seeds to run; without any seeds, the regression cases run.
        seconds: Time for which each seed injects faults, in seconds.
        instances: Number of job server processes.
        workers: Number of stand-in workers.
        clients: Number of concurrent callers.
        moves_queue: Whether the queue moves between two services.
        parts_store: Whether instances are parted from the store and from
            workers for seconds.
    """
    size = Size(
        instances,
        workers,
        clients,
        seconds,
        moves_queue=moves_queue,
        parts_store=parts_store,
    )
    chosen = list(seed or [])
    if not chosen and not seeds:
        cases = tomllib.loads(_REGRESSIONS_PATH.read_text("utf-8"))
        chosen = [case["seed"] for case in cases.get("case", [])]
    chosen += [random.SystemRandom().randrange(2**31) for _ in range(seeds)]
    failed = 0
    for number in chosen:
        result = run_seed(number, size)
        _print_result(result)
        failed += bool(result.violations)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
