"""A maintenance wave and a loan while requests are served.

The wave runs over the pool portal. The entry instance that holds the pool's
lease is killed once the first instance is maintained, so another one has to end
the wave. Meanwhile a load on the pool accounts borrows an instance of portal,
which goes back when the load is over.
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
from demo.load import Balancer, Caller, CallerProfile, Sent
from demo.operator import HTTP, call
from demo.processes import Processes
from demo.report import Row, timed_row

_POOL = "portal"
_BORROWER = "accounts"
_AT_ONCE = 3
_LIMIT_S = 45.0

# Requests at a time that need more than nine tenths of the 48 slots of the
# borrower, and with those of the other callers no more than that of 56.
_BORROWER_CALLERS = 45
_BORROWER_RUN_MS = 1000


@dataclass
class Followed:
    """What the control stream says of the fleet work.

    Attributes:
        state: State of the fold.
        accepted: Accepted records by type.
        returned: Writer of the step that ended an instance's maintenance, by
            instance.
        moved: Instances that a move has restarted.
    """

    state: FleetState = FleetState()
    accepted: Counter[type] = field(default_factory=Counter)
    returned: dict[str, str] = field(default_factory=dict)
    moved: set[str] = field(default_factory=set)

    def read(self, log: LogClient) -> None:
        """Folds what the log has got since."""
        result = catch_up(log, self.state)
        self.state = result.state
        for step in result.steps:
            self._note(step)

    def _note(self, step: Step) -> None:
        if not isinstance(step.outcome, Accepted):
            return
        self.accepted[type(step.record)] += 1
        record = step.record
        if isinstance(record, InstanceReturned):
            self.moved.add(record.instance)
        if isinstance(record, WaveStep) and record.stage is Stage.RETURNED:
            writer = step.writer.rpartition("/")[0]
            self.returned[record.instance] = writer


class FleetWork(threading.Thread):
    """Runs the wave and the loan; `rows` tells what came of them."""

    def __init__(
        self, processes: Processes, fleet: Fleet, balancer: Balancer
    ) -> None:
        """Keeps the arguments; `start` begins."""
        super().__init__(name="fleet-work", daemon=True)
        self._processes = processes
        self._fleet = fleet
        self._balancer = balancer
        self._followed = Followed()
        self._callers: list[Caller] = []
        self._wave_s: float | None = None
        self._loan_s: float | None = None
        self.killed = ""

    @property
    def sent(self) -> list[Sent]:
        """Requests of the load on the borrower."""
        return [entry for caller in self._callers for entry in caller.sent]

    def run(self) -> None:
        """Works until both have ended or the limit is over."""
        self._start_load()
        _start_wave(self._fleet)
        log = LogClient(self._fleet.log)
        begun = time.monotonic()
        while time.monotonic() - begun < _LIMIT_S:
            self._followed.read(log)
            took = time.monotonic() - begun
            if self._followed.returned and not self.killed:
                self._kill_holder()
            if self._lent():
                self._stop_load()
            if self._wave_s is None and _wave_ended(self._followed.state):
                self._wave_s = took
            if self._loan_s is None and self._returned():
                self._loan_s = took
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

    def _lent(self) -> bool:
        instances = self._followed.state.ownership.instances.values()
        here = [i for i in instances if i.pool == _BORROWER]
        serving = [i for i in here if i.phase == "serving"]
        return len(serving) > WORKERS_PER_SERVICE

    def _returned(self) -> bool:
        state = self._followed.state
        phases = {i.phase for i in state.ownership.instances.values()}
        closed = bool(self._followed.accepted[LoanClosed])
        return closed and not state.loans.active and phases == {"serving"}

    def _kill_holder(self) -> None:
        lease = self._followed.state.leases.leases[f"pool:{_POOL}"]
        holder = lease.holder.rpartition("/")[0]
        self._processes.signal(holder, signal.SIGKILL)
        self._balancer.check(HTTP)
        # The platform notices that the instance is gone.
        self._fleet.entries.pop(holder)
        call(
            "DELETE",
            f"{self._fleet.instance_list}/standin/instances/{holder}",
        )
        self.killed = holder

    def rows(self, sent: list[Sent], killed_address: str) -> list[Row]:
        """The lines of the table.

        Args:
            sent: All requests of all callers.
            killed_address: Callers' address of the killed entry instance.
        """
        followed = self._followed
        cut = cut_by_kill(sent, killed_address)
        broken = [s for s in sent if s.outcome.startswith("broken")]
        waved = len(followed.returned)
        moved = len(followed.moved - set(followed.returned))
        others = set(followed.returned.values()) - {self.killed}
        loans = followed.accepted[LoanBegun]
        moves = followed.accepted[MoveFinished]
        pools = followed.state.ownership.counts
        sizes = dict.fromkeys(SERVICES, WORKERS_PER_SERVICE)
        whole = dict(pools) == sizes
        return [
            Row(
                f"instances of {_POOL} maintained",
                str(WORKERS_PER_SERVICE),
                f"{waved} by the wave, {moved} restarted by its move",
                waved + moved == WORKERS_PER_SERVICE,
            ),
            Row(
                "wave ended by another entry instance",
                "yes",
                "yes" if others and self.killed else "no",
                bool(others and self.killed),
            ),
            timed_row("wave, with its holder killed", _LIMIT_S, self._wave_s),
            timed_row("loan and its return", _LIMIT_S, self._loan_s),
            Row(
                f"moves of {loans} loans, there and back",
                str(2 * loans),
                str(moves),
                0 < moves == 2 * loans,
            ),
            Row(
                "instances of each pool after it",
                str(WORKERS_PER_SERVICE),
                ", ".join(f"{n} {c}" for n, c in sorted(pools.items())),
                whole,
            ),
            Row(
                "requests cut by planned work",
                "0",
                str(len(broken) - len(cut)),
                len(broken) == len(cut),
            ),
            Row(
                "requests cut by the killed entry instance",
                "",
                str(len(cut)),
                True,
            ),
        ]


def cut_by_kill(sent: list[Sent], killed_address: str) -> list[Sent]:
    """Requests whose connection to the killed entry instance broke."""
    return [
        s
        for s in sent
        if s.outcome.startswith("broken") and s.entry == killed_address
    ]


def _wave_ended(state: FleetState) -> bool:
    return state.waves.epochs.get(_POOL, 0) > 0


def _start_wave(fleet: Fleet) -> None:
    done = subprocess.run(
        [
            *(sys.executable, "-m", "acaciawing", "wave", _POOL, "start"),
            *("--log", fleet.log, "--author", "demo"),
            *("--at-once", str(_AT_ONCE)),
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise RuntimeError(f"wave ended with {done.returncode}: {done.stderr}")
