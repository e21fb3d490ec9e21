"""A fleet whose entry instances die right after an append."""

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
from acaciawing.control.loan_rounds import lend
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

SIZES = {"portal": 5, "visits": 3}
_ZONES = ("koper", "ljubljana", "maribor")
_COUNTED = (
    *(BudgetReleased, BudgetReserved, WavePlanned, WaveStep),
    *(LoanBegun, LoanClosed, LoanExtended, LoanReturnBegun),
    *(InstanceReturned, MoveBegun, MoveFinished),
)
# Longer than a lease, so that another instance always takes over.
_DEAD_S = 15.0


class KilledError(Exception):
    """Ends a round where the process died."""


@dataclass
class KillingFleet(Fleet):
    """Kills the writer after the counted records that `kills` selects."""

    kills: Callable[[int], bool] = lambda number: False
    demand: Callable[[FleetState], dict[str, float]] = lambda state: {}
    counted: int = 0
    _back_at: dict[int, float] = field(default_factory=dict)

    def begin(self) -> "KillingFleet":
        number = 0
        for pool, size in SIZES.items():
            for _ in range(size):
                self.platform.put(number, pool, _ZONES[number % 3])
                number += 1
        self.order(ConfigurationPublished("p", -1, "ana", _CONFIGURATION))
        self.start()
        self.run(12.0)
        append = self.log.append

        def killing(stream: str, payload: bytes) -> AppendOutcome:
            outcome = append(stream, payload)
            envelope = decode(payload)
            assert isinstance(envelope, Envelope)
            if isinstance(envelope.record, _COUNTED):
                self.counted += 1
                if self.kills(self.counted):
                    raise KilledError
            return outcome

        self.log.append = killing  # type: ignore[method-assign]
        return self

    def order(self, record: object) -> None:
        self.log.append(CONTROL_STREAM, encode(record, "operator/0"))

    def turn(self, loop: ControlLoop) -> None:
        number = self.loops.index(loop)
        if self.demand(loop.state):
            loop.handle(DemandObserved(self.demand(loop.state)))
        try:
            super().turn(loop)
        except KilledError:
            self.calls = [c for c in self.calls if c[0] != number]
            incarnation = 2 + self.log.head(CONTROL_STREAM)
            self.loops[number] = self.started(number, incarnation)
            self.paused.add(number)
            self._back_at[number] = self.time + _DEAD_S

    def run_until(self, done: Callable[[FleetState], bool]) -> FleetState:
        """Runs until a state holds, at most for some simulated minutes."""
        for _ in range(900):
            self.run(1.0)
            for number, at in list(self._back_at.items()):
                if self.time >= at:
                    self.paused.discard(number)
                    del self._back_at[number]
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


def make_killing_fleet(
    kills: Callable[[int], bool] = lambda number: False, count: int = 3
) -> KillingFleet:
    decisions = (maintain, lend, begin_moves)
    fleet = KillingFleet(count, decisions, move_cost_s=2.0, kills=kills)
    return fleet.begin()


def check_each_record(fleet: Fleet) -> None:
    """Checks the invariants of section 1.1 at each offset of the log."""
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
