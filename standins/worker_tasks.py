"""Tasks of the platform stand-in's workers."""

import threading
from dataclasses import dataclass, replace
from typing import Any

_KEPT_S = 600.0
_THROTTLED_SHARE = 0.5


@dataclass(frozen=True)
class WorkerTask:
    """A placement on a worker."""

    task: str
    attempt: int
    state: str = "running"
    reason: str = ""
    throttled: bool = False
    ends_at: float = 0.0


class WorkerTasks:
    """Placements on all workers; safe for several threads.

    A placement that ended stays ended, so a start call that arrives after its
    stop runs nothing. A task ends after its expected run time.
    """

    def __init__(self) -> None:
        """Starts without tasks."""
        self._lock = threading.Lock()
        self._tasks: dict[str, dict[tuple[str, int], WorkerTask]] = {}
        self._seen_at: dict[str, float] = {}

    def start(
        self, worker: str, arguments: dict[str, Any], now: float, fails: bool
    ) -> None:
        """Starts a placement unless the worker has had it already."""
        key = str(arguments["task"]), int(arguments["attempt"])
        ends_at = now + float(arguments["expected_s"])
        started = WorkerTask(*key, ends_at=ends_at)
        if fails:
            started = replace(started, state="failed", reason="exit-1")
        with self._lock:
            self._contact(worker, now)
            self._tasks.setdefault(worker, {}).setdefault(key, started)

    def change(
        self, worker: str, operation: str, attempts: list[Any], now: float
    ) -> None:
        """Stops, checkpoints or throttles placements."""
        with self._lock:
            self._contact(worker, now)
            held = self._tasks.setdefault(worker, {})
            for task, attempt in attempts:
                key = str(task), int(attempt)
                known = _ended(held.get(key), now)
                if known is not None and known.state != "running":
                    continue
                if operation != "throttle":
                    held[key] = WorkerTask(*key, state="stopped")
                elif known is not None and not known.throttled:
                    left = (known.ends_at - now) / _THROTTLED_SHARE
                    held[key] = replace(
                        known, throttled=True, ends_at=now + left
                    )

    def restarted(self, worker: str) -> None:
        """Ends what a worker ran when it rebooted."""
        with self._lock:
            self._fail(worker, "worker-restarted")

    def report(self, worker: str, now: float) -> list[dict[str, Any]]:
        """Reports the placements, and keeps those that run for a time."""
        with self._lock:
            self._contact(worker, now)
            held = self._tasks.get(worker, {})
            for key, known in held.items():
                held[key] = _ended(known, now) or known
            return [
                {
                    "task": t.task,
                    "attempt": t.attempt,
                    "state": t.state,
                    "reason": t.reason,
                    "throttled": t.throttled,
                }
                for t in held.values()
            ]

    def running(self, worker: str, now: float) -> list[tuple[str, int]]:
        """Placements that run; looking at them does not keep them."""
        with self._lock:
            if now - self._seen_at.get(worker, now) > _KEPT_S:
                return []
            found = [_ended(t, now) for t in self._tasks[worker].values()]
            return [
                (t.task, t.attempt) for t in found if t and t.state == "running"
            ]

    def _contact(self, worker: str, now: float) -> None:
        """Ends what ran if the last call is too long ago."""
        if now - self._seen_at.get(worker, now) > _KEPT_S:
            self._fail(worker, "not-kept")
        self._seen_at[worker] = now

    def _fail(self, worker: str, reason: str) -> None:
        held = self._tasks.get(worker, {})
        for key, known in held.items():
            if known.state == "running":
                held[key] = replace(known, state="failed", reason=reason)


def _ended(known: WorkerTask | None, now: float) -> WorkerTask | None:
    if known is None or known.state != "running" or now < known.ends_at:
        return known
    return replace(known, state="finished")
