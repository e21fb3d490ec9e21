"""Runs a maintenance wave and a loan while requests are served.

The wave covers the pool portal. The entry instance that holds the lease of the
pool is killed once the first instance is maintained, so another one has to
finish the wave. Meanwhile the load on the pool accounts causes a loan of an
instance of portal, which is returned after the load ends.
"""

import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from acaciawing.entry.observers import catch_up
from acaciawing.fold import FleetState, Step
from acaciawing.lending import LoanBegun, LoanClosed
from acaciawing.maintenance import Stage, WaveStep
from acaciawing.outcomes import Accepted
from acaciawing.ownership import InstanceReturned, MoveFinished
from acaciawing.platform import LogClient
from demo.fleet import SERVICES, WORKERS_PER_SERVICE, Fleet
from demo.load import Balancer, Caller, CallerProfile, SentRequest
from demo.operator import HTTP, call
from demo.processes import Processes
from demo.report import Row, duration_row

_POOL = "portal"
_BORROWER = "accounts"
_WAVE_CONCURRENCY = 3
_TIMEOUT_S = 45.0

# Concurrent requests; they need more than 90 % of the 48 slots of the borrower,
# but with those of the other callers at most 90 % of 56 slots.
_BORROWER_CALLERS = 45
_BORROWER_RUN_MS = 1000


@dataclass
class FleetWorkProgress:
    """Progress of the wave and the loan, read from the control stream.

    Attributes:
        state: State of the fold.
        accepted: Number of accepted records, by type.
        maintained_by: Writer of the step that ended the maintenance of an
            instance, by instance.
        restarted_by_move: Instances that a move has restarted.
    """

    state: FleetState = FleetState()
    accepted: Counter[type] = field(default_factory=Counter)
    maintained_by: dict[str, str] = field(default_factory=dict)
    restarted_by_move: set[str] = field(default_factory=set)

    def read(self, log: LogClient) -> None:
        """Folds the new entries of the log."""
        result = catch_up(log, self.state)
        self.state = result.state
        for step in result.steps:
            self._record(step)

    def _record(self, step: Step) -> None:
        if not isinstance(step.outcome, Accepted):
            return
        self.accepted[type(step.record)] += 1
        record = step.record
        if isinstance(record, InstanceReturned):
            self.restarted_by_move.add(record.instance)
        if isinstance(record, WaveStep) and record.stage is Stage.RETURNED:
            writer = step.writer.rpartition("/")[0]
            self.maintained_by[record.instance] = writer


class FleetWork(threading.Thread):
    """Runs the wave and the loan; `rows` returns the results.

    Attributes:
        killed: Name of the killed entry instance; empty before the kill.
    """

    def __init__(
        self, processes: Processes, fleet: Fleet, balancer: Balancer
    ) -> None:
        """Prepares the thread; `start` starts it."""
        super().__init__(name="fleet-work", daemon=True)
        self._processes = processes
        self._fleet = fleet
        self._balancer = balancer
        self._progress = FleetWorkProgress()
        self._callers: list[Caller] = []
        self._wave_s: float | None = None
        self._loan_s: float | None = None
        self.killed = ""

    @property
    def sent(self) -> list[SentRequest]:
        """Requests of the load on the borrowing pool."""
        return [request for caller in self._callers for request in caller.sent]

    def run(self) -> None:
        """Waits until the wave and the loan have ended, or times out."""
        self._start_load()
        _start_wave(self._fleet)
        log = LogClient(self._fleet.log)
        started_at = time.monotonic()
        while time.monotonic() - started_at < _TIMEOUT_S:
            self._progress.read(log)
            elapsed_s = time.monotonic() - started_at
            if self._progress.maintained_by and not self.killed:
                self._kill_lease_holder()
            if self._has_borrowed():
                self._stop_load()
            if self._wave_s is None and _has_wave_ended(self._progress.state):
                self._wave_s = elapsed_s
            if self._loan_s is None and self._has_loan_ended():
                self._loan_s = elapsed_s
            if self._wave_s is not None and self._loan_s is not None:
                break
            time.sleep(0.1)
        self._stop_load()

    def _start_load(self) -> None:
        profile = CallerProfile(
            *("accounting", "office", (_BORROWER,), 0.01, 0.0, 1.0),
            _BORROWER_RUN_MS,
        )
        self._callers = [
            Caller(1000 + number, profile, self._balancer)
            for number in range(_BORROWER_CALLERS)
        ]
        for caller in self._callers:
            caller.start()

    def _stop_load(self) -> None:
        for caller in self._callers:
            caller.stop()

    def _has_borrowed(self) -> bool:
        instances = self._progress.state.ownership.instances.values()
        borrower_instances = [i for i in instances if i.pool == _BORROWER]
        serving = [i for i in borrower_instances if i.phase == "serving"]
        return len(serving) > WORKERS_PER_SERVICE

    def _has_loan_ended(self) -> bool:
        state = self._progress.state
        phases = {i.phase for i in state.ownership.instances.values()}
        closed = bool(self._progress.accepted[LoanClosed])
        return closed and not state.loans.active and phases == {"serving"}

    def _kill_lease_holder(self) -> None:
        lease = self._progress.state.leases.leases[f"pool:{_POOL}"]
        holder = lease.holder.rpartition("/")[0]
        self._processes.signal(holder, signal.SIGKILL)
        self._balancer.check(HTTP)
        # The platform removes the killed instance from its list.
        self._fleet.entries.pop(holder)
        call(
            "DELETE",
            f"{self._fleet.instance_list}/standin/instances/{holder}",
        )
        self.killed = holder

    def rows(self, sent: list[SentRequest], killed_address: str) -> list[Row]:
        """Returns the rows of the result table.

        Args:
            sent: All requests of all callers.
            killed_address: Address for callers of the killed entry instance.
        """
        progress = self._progress
        cut_by_kill = broken_by_kill(sent, killed_address)
        broken = [s for s in sent if s.outcome.startswith("broken")]
        maintained_count = len(progress.maintained_by)
        restarted_count = len(
            progress.restarted_by_move - set(progress.maintained_by)
        )
        other_writers = set(progress.maintained_by.values()) - {self.killed}
        loan_count = progress.accepted[LoanBegun]
        move_count = progress.accepted[MoveFinished]
        pools = progress.state.ownership.counts
        expected_sizes = dict.fromkeys(SERVICES, WORKERS_PER_SERVICE)
        pools_restored = dict(pools) == expected_sizes
        return [
            Row(
                f"instances of {_POOL} maintained",
                str(WORKERS_PER_SERVICE),
                f"{maintained_count} by the wave,"
                f" {restarted_count} restarted by its move",
                maintained_count + restarted_count == WORKERS_PER_SERVICE,
            ),
            Row(
                "wave ended by another entry instance",
                "yes",
                "yes" if other_writers and self.killed else "no",
                bool(other_writers and self.killed),
            ),
            duration_row(
                "wave, with its holder killed", _TIMEOUT_S, self._wave_s
            ),
            duration_row("loan and its return", _TIMEOUT_S, self._loan_s),
            Row(
                f"moves of {loan_count} loans, there and back",
                str(2 * loan_count),
                str(move_count),
                0 < move_count == 2 * loan_count,
            ),
            Row(
                "instances of each pool after it",
                str(WORKERS_PER_SERVICE),
                ", ".join(f"{n} {c}" for n, c in sorted(pools.items())),
                pools_restored,
            ),
            Row(
                "requests cut by planned work",
                "0",
                str(len(broken) - len(cut_by_kill)),
                len(broken) == len(cut_by_kill),
            ),
            Row(
                "requests cut by the killed entry instance",
                "",
                str(len(cut_by_kill)),
                True,
            ),
        ]


def broken_by_kill(
    sent: list[SentRequest], killed_address: str
) -> list[SentRequest]:
    """Returns the requests whose connection broke with the killed instance."""
    return [
        s
        for s in sent
        if s.outcome.startswith("broken") and s.entry_address == killed_address
    ]


def _has_wave_ended(state: FleetState) -> bool:
    return state.waves.epochs.get(_POOL, 0) > 0


def _start_wave(fleet: Fleet) -> None:
    completed = subprocess.run(
        [
            *(sys.executable, "-m", "acaciawing", "wave", _POOL, "start"),
            *("--log", fleet.log, "--author", "demo"),
            *("--at-once", str(_WAVE_CONCURRENCY)),
        ],
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        raise RuntimeError(
            f"wave ended with {completed.returncode}: {completed.stderr}"
        )
