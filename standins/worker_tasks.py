"""Tasks on the workers of the platform stand-in."""

import threading
from dataclasses import dataclass, replace
from typing import Any

_CONTACT_TIMEOUT_S = 600.0
_THROTTLED_SPEED_SHARE = 0.5


@dataclass(frozen=True)
class WorkerTask:
    """An attempt to run a task on a worker."""

    task: str
    attempt: int
    state: str = "running"
    reason: str = ""
    throttled: bool = False
    ends_at: float = 0.0


class WorkerTasks:
    """Task attempts on all workers; safe for several threads.

    An ended attempt is never started again, so a start that arrives after its
    stop has no effect. A task finishes after its expected run time.
    """

    def __init__(self) -> None:
        """Starts without tasks."""
        self._lock = threading.Lock()
        self._tasks: dict[str, dict[tuple[str, int], WorkerTask]] = {}
        self._last_contact_at: dict[str, float] = {}

    def start(
        self, worker: str, arguments: dict[str, Any], now: float, fails: bool
    ) -> None:
        """Starts an attempt unless the worker already knows it."""
        key = str(arguments["task"]), int(arguments["attempt"])
        ends_at = now + float(arguments["expected_s"])
        started = WorkerTask(*key, ends_at=ends_at)
        if fails:
            started = replace(started, state="failed", reason="exit-1")
        with self._lock:
            self._record_contact(worker, now)
            self._tasks.setdefault(worker, {}).setdefault(key, started)

    def change(
        self, worker: str, operation: str, attempts: list[Any], now: float
    ) -> None:
        """Stops, checkpoints or throttles attempts."""
        with self._lock:
            self._record_contact(worker, now)
            tasks = self._tasks.setdefault(worker, {})
            for task, attempt in attempts:
                key = str(task), int(attempt)
                current = _finish_if_due(tasks.get(key), now)
                if current is not None and current.state != "running":
                    continue
                if operation != "throttle":
                    tasks[key] = WorkerTask(*key, state="stopped")
                elif current is not None and not current.throttled:
                    remaining_s = (
                        current.ends_at - now
                    ) / _THROTTLED_SPEED_SHARE
                    tasks[key] = replace(
                        current, throttled=True, ends_at=now + remaining_s
                    )

    def fail_after_restart(self, worker: str) -> None:
        """Marks the running attempts of a rebooted worker as failed."""
        with self._lock:
            self._fail(worker, "worker-restarted")

    def report(self, worker: str, now: float) -> list[dict[str, Any]]:
        """Reports all attempts; the contact keeps running ones from failing."""
        with self._lock:
            self._record_contact(worker, now)
            tasks = self._tasks.get(worker, {})
            for key, current in tasks.items():
                tasks[key] = _finish_if_due(current, now) or current
            return [
                {
                    "task": t.task,
                    "attempt": t.attempt,
                    "state": t.state,
                    "reason": t.reason,
                    "throttled": t.throttled,
                }
                for t in tasks.values()
            ]

    def running(self, worker: str, now: float) -> list[tuple[str, int]]:
        """Returns the running attempts; doesn't count as a contact."""
        with self._lock:
            if (
                now - self._last_contact_at.get(worker, now)
                > _CONTACT_TIMEOUT_S
            ):
                return []
            found = [
                _finish_if_due(t, now) for t in self._tasks[worker].values()
            ]
            return [
                (t.task, t.attempt) for t in found if t and t.state == "running"
            ]

    def _record_contact(self, worker: str, now: float) -> None:
        """Records a contact; fails running attempts after a contact timeout."""
        if now - self._last_contact_at.get(worker, now) > _CONTACT_TIMEOUT_S:
            self._fail(worker, "not-kept")
        self._last_contact_at[worker] = now

    def _fail(self, worker: str, reason: str) -> None:
        tasks = self._tasks.get(worker, {})
        for key, current in tasks.items():
            if current.state == "running":
                tasks[key] = replace(current, state="failed", reason=reason)


def _finish_if_due(current: WorkerTask | None, now: float) -> WorkerTask | None:
    if current is None or current.state != "running" or now < current.ends_at:
        return current
    return replace(current, state="finished")
