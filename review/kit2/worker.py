"""Stand-in for a worker (PROTOCOL.md, "Running subtasks")."""

import json
import threading
import time

POLL_INTERVAL_S = 0.01
MAX_LEASE_MS = 10_000
STOP_S = 0.1
CPU = 32_000
MEMORY_MB = 131_072
CONFLICT = 409
# After this time a long-running subtask is at work.
STARTUP_S = 0.5
# How late an order is carried out that got no answer.
LATE_S = 2.5


class Run:
    """A run on a worker.

    Attributes:
        number: Its run number.
        step: Fields of its step.
        started_at: When it began, in monotonic seconds.
        ends_at: When its work is done, in monotonic seconds.
        stops_at: When it stops because of an order; None without one.
    """

    def __init__(self, number, step, now):
        """Starts a run."""
        self.number = number
        self.step = step
        self.started_at = now
        lasts = step.get("LongRunning")
        self.ends_at = float("inf") if lasts else now + step["run_s"]
        self.stops_at = None


class Worker:
    """One life after another of a machine's worker.

    Args:
        name: Id of the worker and, with a prefix, of its machine.
        service: Service that it runs subtasks for.
        rack: Label of its rack.
        find_step: Returns the fields of a subtask's step by its name; the work
            is in ``run_s``, in seconds.
        record: Called with a line for each start and end.
    """

    def __init__(self, name, service, rack, find_step, record):
        """Starts the first life."""
        self.name = name
        self.service = service
        self.rack = rack
        self._find_step = find_step
        self._record = record
        self._lock = threading.RLock()
        self.starts = []
        self.ends = []
        self.crashes = 0
        self.running = {}
        self.noted = {}
        self.late_starts = set()
        self._loses_orders = False
        self._order_count = 0
        self.is_up = True
        self._reachable = threading.Event()
        self._reachable.set()
        self._begin()

    def _begin(self):
        self.born = time.time_ns() // 1_000_000
        self._began_at = time.monotonic()
        self._lease_ms = 0
        self._fence = 0
        self._ended = []
        # Ends up to this number were followed by a lapse of the lease, so that
        # they don't count as taken note of, whenever they are.
        self._last_lapsed = 0
        self._last_number = 0
        self._past_runs = {}

    def entry(self, address, sequence):
        """Returns the worker's entry in the platform's list."""
        return json.dumps(
            {
                "Service": self.service,
                "Address": address,
                "Zone": "a",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": sequence,
                "Capacity": {"Cpu": CPU, "MemMb": MEMORY_MB},
                "Labels": ["c32", self.rack],
                "born": self.born,
            }
        ).encode()

    def crash(self):
        """Ends this life; nothing runs any more."""
        with self._lock:
            self.is_up = False
            self.crashes += 1
            for name, run in self.running.items():
                self._note("crashed", name, run.number)
                self.ends.append(
                    (name, run.number, "crashed", time.monotonic())
                )
            self.running.clear()

    def cut(self, is_cut):
        """Cuts the worker off, or ends that; it runs on meanwhile."""
        self._record(f"worker {self.name} is {'cut off' if is_cut else 'back'}")
        if is_cut:
            self._reachable.clear()
        else:
            self._reachable.set()

    def lose_orders(self, loses):
        """Leaves each second start unanswered and carries it out late."""
        self._record(f"worker {self.name} carries out orders late: {loses}")
        self._loses_orders = loses

    def restart(self):
        """Begins the next life."""
        with self._lock:
            self._begin()
            self.is_up = True

    def _note(self, what, name, number):
        self._record(f"worker {self.name} {what} {name} run {number}")

    def _clock_ms(self):
        return int((time.monotonic() - self._began_at) * 1000)

    def _answer(self, status, **values):
        return status, {
            "ClockMs": self._clock_ms(),
            "born": self.born,
            **values,
        }

    def handle(self, method, path, query, body, headers):
        """Answers one request; none that a cut holds up, on either way."""
        if not self._is_reachable():
            return None
        if path == "/v1/run-start" and self._is_lost_order():
            time.sleep(LATE_S)
            self.late_starts.add((body["Task"], body["Run"]))
            self._handle(method, path, query, body, headers)
            return None
        answer = self._handle(method, path, query, body, headers)
        return answer if self._is_reachable() else None

    def _is_lost_order(self):
        if not self._loses_orders:
            return False
        self._order_count += 1
        return self._order_count % 2 == 1

    def _is_reachable(self):
        """Whether there is no cut; otherwise waits for its end first."""
        if self._reachable.is_set():
            return True
        self._reachable.wait()
        return False

    def _handle(self, method, path, query, body, headers):
        if headers.get("Target-Instance") != self.name:
            return 421, {}
        with self._lock:
            if not self.is_up:
                return None
            self._advance()
            if body.get("Fence", 0) < self._fence:
                return self._answer(CONFLICT, Reason="fence")
            self._fence = body.get("Fence", 0)
            if path == "/v1/run-start":
                return self._start(body)
            self._extend(body)
            if path == "/v1/run-stop":
                return self._stop(body)
            if path == "/v1/pace":
                return self._answer(200)
        if path == "/v1/hold":
            return self._hold(body)
        return 404, {}

    def _extend(self, body):
        if "DeadlineMs" in body:
            limit = self._clock_ms() + MAX_LEASE_MS
            self._lease_ms = max(self._lease_ms, min(body["DeadlineMs"], limit))

    def _advance(self):
        """Ends the runs that are done, stopped or without a lease."""
        now = time.monotonic()
        lapse_at = self._began_at + self._lease_ms / 1000
        for name, run in list(self.running.items()):
            stops_at = float("inf") if run.stops_at is None else run.stops_at
            if run.ends_at <= min(now, lapse_at, stops_at):
                self._end(name, "done", run.ends_at)
            elif lapse_at < now:
                self._end(name, "lapsed", lapse_at)
            elif stops_at <= now:
                self._end(name, "stopped", stops_at)
        if lapse_at < now:
            self._last_lapsed = self._last_number

    def _end(self, name, how, at):
        run = self.running.pop(name)
        self._last_number += 1
        self._ended.append([self._last_number, name, run.number, how, ""])
        self._past_runs[name] = max(self._past_runs.get(name, 0), run.number)
        self.ends.append((name, run.number, how, at))
        self._note(how, name, run.number)

    def _start(self, body):
        name, number = body["Task"], body["Run"]
        active = self.running.get(name)
        if active is not None and active.number == number:
            self._extend(body)
            return self._answer(200)
        if number <= self._past_runs.get(name, 0) or active is not None:
            self._extend(body)
            return self._answer(CONFLICT, Reason="old")
        if body["DeadlineMs"] < self._clock_ms():
            return self._answer(CONFLICT, Reason="late")
        self._extend(body)
        step = self._find_step(name)
        used = sum(r.step.get("Cpu", 0) for r in self.running.values())
        if used + step.get("Cpu", 0) > CPU:
            return self._answer(CONFLICT, Reason="room")
        now = time.monotonic()
        self.running[name] = Run(number, step, now)
        self.starts.append((name, number, now))
        self._note("starts", name, number)
        return self._answer(200)

    def _stop(self, body):
        name, number = body["Task"], body["Run"]
        run = self.running.get(name)
        if run is not None and run.number <= number:
            if run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_S
        else:
            self._past_runs[name] = max(self._past_runs.get(name, 0), number)
        return self._answer(200)

    def _hold(self, body):
        born = self.born
        until = time.monotonic() + body.get("WaitMs", 0) / 1000
        while True:
            with self._lock:
                if not self.is_up or self.born != born:
                    return None
                self._advance()
                self._forget(body.get("LastSeen", 0))
                if self._ended or time.monotonic() >= until:
                    return self._answer(
                        200,
                        Running=[
                            [name, run.number, "", self._percent(run), 500]
                            for name, run in self.running.items()
                        ],
                        Ended=self._ended[:500],
                    )
            time.sleep(POLL_INTERVAL_S)

    def _forget(self, seen):
        """Forgets the ends that the holder has taken note of."""
        noted = [row for row in self._ended if row[0] <= seen]
        if noted:
            self._record(f"worker {self.name} ends noted up to {seen}")
        now = time.monotonic()
        for row in noted:
            if row[0] > self._last_lapsed:
                self.noted.setdefault((row[1], row[2]), now)
        self._ended = [row for row in self._ended if row[0] > seen]

    def _percent(self, run):
        age = time.monotonic() - run.started_at
        if run.ends_at == float("inf"):
            return 100 if age > STARTUP_S else 0
        return min(99, int(100 * age / max(0.001, run.step["run_s"])))
