"""Fleet whose entry instances crash right after an append."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from acaciawing.budgets import BudgetReleased, BudgetReserved
from acaciawing.configuration import (
    Configuration,
    ConfigurationPublished,
    Plan,
    Service,
)
from acaciawing.control import (
    ControlLoop,
    DemandObserved,
    begin_moves,
    maintain,
)
from acaciawing.control.loan_decisions import lend
from acaciawing.control.tests.fakes import Fleet
from acaciawing.fold import FleetState, step
from acaciawing.lending import (
    LoanBegun,
    LoanClosed,
    LoanExtended,
    LoanReturnBegun,
)
from acaciawing.maintenance import WavePlanned, WaveStep
from acaciawing.ownership import (
    SERVING,
    InstanceReturned,
    MoveBegun,
    MoveFinished,
)
from acaciawing.platform import CONTROL_STREAM, AppendOutcome
from acaciawing.records import Envelope, decode, encode

POOL_SIZES = {"portal": 5, "visits": 3}
_ZONES = ("koper", "ljubljana", "maribor")
_COUNTED_RECORDS = (
    *(BudgetReleased, BudgetReserved, WavePlanned, WaveStep),
    *(LoanBegun, LoanClosed, LoanExtended, LoanReturnBegun),
    *(InstanceReturned, MoveBegun, MoveFinished),
)
# Longer than a lease, so that another instance always takes over.
_CRASH_DOWNTIME_S = 15.0


class SimulatedCrashError(Exception):
    """Ends a round at the point where the process crashes."""


@dataclass
class CrashingFleet(Fleet):
    """Crashes the writer after the records that `crashes_at` selects."""

    crashes_at: Callable[[int], bool] = lambda number: False
    demand: Callable[[FleetState], dict[str, float]] = lambda state: {}
    record_count: int = 0
    _restart_at: dict[int, float] = field(default_factory=dict)

    def begin(self) -> "CrashingFleet":
        number = 0
        for pool, size in POOL_SIZES.items():
            for _ in range(size):
                self.platform.add_instance(number, pool, _ZONES[number % 3])
                number += 1
        self.append_record(
            ConfigurationPublished("p", -1, "ana", _CONFIGURATION)
        )
        self.start()
        self.run(12.0)
        append = self.log.append

        def crashing_append(stream: str, payload: bytes) -> AppendOutcome:
            outcome = append(stream, payload)
            envelope = decode(payload)
            assert isinstance(envelope, Envelope)
            if isinstance(envelope.record, _COUNTED_RECORDS):
                self.record_count += 1
                if self.crashes_at(self.record_count):
                    raise SimulatedCrashError
            return outcome

        self.log.append = crashing_append  # type: ignore[method-assign]
        return self

    def append_record(self, record: object) -> None:
        self.log.append(CONTROL_STREAM, encode(record, "operator/0"))

    def run_round(self, loop: ControlLoop) -> None:
        number = self.loops.index(loop)
        if self.demand(loop.state):
            loop.handle(DemandObserved(self.demand(loop.state)))
        try:
            super().run_round(loop)
        except SimulatedCrashError:
            self.calls = [c for c in self.calls if c[0] != number]
            incarnation = 2 + self.log.head(CONTROL_STREAM)
            self.loops[number] = self.make_loop(number, incarnation)
            self.paused.add(number)
            self._restart_at[number] = self.time + _CRASH_DOWNTIME_S

    def run_until(self, done: Callable[[FleetState], bool]) -> FleetState:
        """Runs until a condition holds, for at most 900 simulated seconds."""
        for _ in range(900):
            self.run(1.0)
            for number, at in list(self._restart_at.items()):
                if self.time >= at:
                    self.paused.discard(number)
                    del self._restart_at[number]
            if done(self.folded()):
                break
        return self.folded()


_CONFIGURATION = Configuration(
    (),
    (Plan("gold", 0.99, 3600.0, 1.0, 100.0, 10, 10, ("visits", "portal")),),
    (
        Service("visits", "visits", slots=2, spill=True),
        Service("portal", "portal", slots=2, spare=True),
    ),
)


def make_crashing_fleet(
    crashes_at: Callable[[int], bool] = lambda number: False, count: int = 3
) -> CrashingFleet:
    decisions = (maintain, lend, begin_moves)
    fleet = CrashingFleet(
        count, decisions, move_cost_s=2.0, crashes_at=crashes_at
    )
    return fleet.begin()


def check_each_record(fleet: Fleet) -> None:
    """Checks at each offset of the log that no instance is lost.

    Also checks the counts of the pools, the bounds of waves, and that no
    instance moves during its maintenance (invariants of section 1.1).
    """
    state = FleetState()
    for entry in fleet.log.entries(CONTROL_STREAM):
        folded = step(state, entry.payload, entry.position)
        known = set(state.ownership.instances)
        state = folded.state
        instances = state.ownership.instances
        assert known <= set(instances), "an instance was lost"
        pools = Counter(i.pool for i in instances.values())
        assert pools == dict(state.ownership.counts)
        _check_bounds(state)
        for name in state.waves.in_progress:
            phase = instances[name].phase
            assert phase == SERVING, "moved while being maintained"


def _check_bounds(state: FleetState) -> None:
    down = {**dict(state.waves.outages), **dict(state.waves.in_progress)}
    zones = Counter(d.place.zone for d in down.values())
    for pool, wave in state.waves.active.items():
        out = sum(d.pool == pool for d in down.values())
        assert out <= wave.bounds.pool
        assert max(zones.values(), default=0) <= wave.bounds.zone
