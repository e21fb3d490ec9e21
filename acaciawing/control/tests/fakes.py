"""Fake platform and a fleet of control loops that share a log."""

from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from acaciawing.control import (
    ControlLoop,
    ControlView,
    DecisionFunction,
    ListingRead,
    LiveInstancesChanged,
    Proposal,
    Round,
    StepsFolded,
    TimedCall,
    make_call,
)
from acaciawing.control.move_cost import DEFAULT_MOVE_COST_S
from acaciawing.control.tests.fake_tasks import FakeTasks
from acaciawing.fold import FleetState, step
from acaciawing.leases import is_held, pool_subject
from acaciawing.ownership import MoveBegun
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    ListedInstance,
    Listing,
    OperationDone,
    OperationNotDone,
    OperationOutcome,
    OperationUnknown,
)
from acaciawing.records import Envelope, decode
from acaciawing.snapshots.tests.fake_log import FakeLog


@dataclass
class FakePlatform(FakeTasks):
    """A `WorkerInterface` that applies each operation id once."""

    instances: dict[str, ListedInstance] = field(default_factory=dict)
    effects: Counter[str] = field(default_factory=Counter)
    done: set[str] = field(default_factory=set)
    lose_answers: int = 0

    def add_instance(self, number: int, pool: str, zone: str = "zone") -> None:
        name = f"worker-{number}"
        place = (zone, "rack", "192.0.2.1:80", "live")
        self.instances[name] = ListedInstance(name, 1, pool, *place)

    def listing(self, as_of: float) -> Listing:
        on_list = [
            i for i in self.instances.values() if i.state in ("live", "leaving")
        ]
        return Listing(as_of, tuple(on_list))

    def drain(self, instance: str, operation_id: str) -> OperationOutcome:
        return self._change(instance, operation_id, state="leaving")

    def reboot(self, instance: str, operation_id: str) -> OperationOutcome:
        before = self.instances.get(instance)
        number = 1 if before is None else before.incarnation + 1
        return self._change(
            instance, operation_id, state="rebooted", incarnation=number
        )

    def return_to(
        self, instance: str, pool: str, operation_id: str
    ) -> OperationOutcome:
        return self._change(instance, operation_id, state="live", pool=pool)

    def status(self, instance: str) -> OperationOutcome:
        found = self.instances.get(instance)
        if found is None:
            return OperationNotDone("status 404", instance_unknown=True)
        return OperationDone(found)

    def _change(
        self, instance: str, operation_id: str, **changes: object
    ) -> OperationOutcome:
        if instance not in self.instances:
            return OperationNotDone("status 404", instance_unknown=True)
        if operation_id not in self.done:
            self.done.add(operation_id)
            self.effects[operation_id] += 1
            changed = replace(self.instances[instance], **changes)  # type: ignore[arg-type]
            self.instances[instance] = changed
        if self.lose_answers:
            self.lose_answers -= 1
            return OperationUnknown("answer lost")
        return OperationDone(self.instances[instance])


@dataclass
class MoveInstance:
    """A decision function that moves one instance, in place of lending."""

    instance: str
    pool: str

    def __call__(
        self, state: FleetState, view: ControlView, now: float, random: Random
    ) -> Proposal:
        known = state.ownership.instances.get(self.instance)
        if known is None or known.pool == self.pool or known.phase != "serving":
            return Proposal()
        fence = view.fence(pool_subject(known.pool), now)
        if fence is None:
            return Proposal()
        name, epoch = known.instance, known.epoch
        move = MoveBegun(name, epoch, self.pool, "lent", fence)
        return Proposal(records=(move,))


@dataclass
class Fleet:
    """Entry instances that share a simulated time, a log and a platform."""

    count: int = 3
    decisions: tuple[DecisionFunction, ...] = ()
    loop_type: type[ControlLoop] = ControlLoop
    log: FakeLog = field(default_factory=FakeLog)
    platform: FakePlatform = field(default_factory=FakePlatform)
    time: float = 0.0
    paused: set[int] = field(default_factory=set)
    loops: list[ControlLoop] = field(default_factory=list)
    calls: list[tuple[int, TimedCall]] = field(default_factory=list)
    move_cost_s: float = DEFAULT_MOVE_COST_S

    def start(self) -> "Fleet":
        self.loops = [self.make_loop(number) for number in range(self.count)]
        return self

    def make_loop(self, number: int, incarnation: int = 1) -> ControlLoop:
        loop = self.loop_type(
            f"entry-{number}/{incarnation}",
            self.log,
            lambda: self.time + 1000.0 * number,
            Random(number),
            lambda timed: self.calls.append((number, timed)),
            self.decisions,
            self.move_cost_s,
        )
        live = tuple(f"entry-{n}" for n in range(self.count))
        loop.handle(LiveInstancesChanged(live))
        return loop

    def run(self, seconds: float) -> None:
        """Runs rounds of all instances that are not paused."""
        for _ in range(int(seconds * 2)):
            self.time += 0.5
            self.log.time = self.platform.time = 100.0 + self.time
            running = [
                loop
                for number, loop in enumerate(self.loops)
                if number not in self.paused
            ]
            for loop in running:  # All read before any of them appends.
                self.read(loop)
            for loop in running:
                self.run_round(loop)
            self.make_calls()

    def run_round(self, loop: ControlLoop) -> None:
        loop.handle(ListingRead(self.platform.listing(self.log.time)))
        loop.round()

    def read(self, loop: ControlLoop) -> None:
        outcome = self.log.read(CONTROL_STREAM, loop.state.offset, 10_000)
        if not isinstance(outcome, Batch):
            return
        state, steps = loop.state, []
        for entry in outcome.entries:
            steps.append(step(state, entry.payload, entry.position))
            state = steps[-1].state
        loop.handle(StepsFolded(state, tuple(steps)))

    def make_calls(self) -> None:
        waiting = [c for c in self.calls if c[0] in self.paused]
        ready = [c for c in self.calls if c[0] not in self.paused]
        self.calls = waiting
        for number, timed in ready:
            clock = self.time + 1000.0 * number
            ended = make_call(timed, self.platform, lambda now=clock: now)  # type: ignore[misc]
            self.loops[number].handle(ended)

    def folded(self) -> FleetState:
        """Folds the whole log as an independent reader does."""
        state = FleetState()
        for entry in self.log.entries(CONTROL_STREAM):
            state = step(state, entry.payload, entry.position).state
        return state


POOLS = ("visits", "routing", "portal")


def make_fleet(count: int = 3, *decisions: MoveInstance) -> Fleet:
    fleet = Fleet(count, decisions)
    for number in range(12):
        fleet.platform.add_instance(number, POOLS[number % 3])
    return fleet.start()


def holders(state: FleetState, at: float) -> dict[str, str]:
    leases = state.leases
    return {
        subject: lease.holder
        for subject, lease in leases.leases.items()
        if is_held(leases, subject, at)
    }


def count_types(log: FakeLog) -> Counter[str]:
    found = [decode(entry.payload) for entry in log.entries(CONTROL_STREAM)]
    records = [e.record for e in found if isinstance(e, Envelope)]
    return Counter(type(record).__name__ for record in records)


def fenced_records(decided: Round) -> list[object]:
    return [r for r in decided.records if hasattr(r, "fence")]


def round_with_new_instance(fleet: Fleet) -> Round:
    """Runs a round of the first loop with a new instance on the list."""
    fleet.platform.add_instance(20, "visits")
    listing = fleet.platform.listing(fleet.log.time)
    fleet.loops[0].handle(ListingRead(listing))
    return fleet.loops[0].round()


def unaccepted_effects(fleet: Fleet) -> set[str]:
    """Returns operations on instances for records that were not accepted."""
    state, epochs = FleetState(), set()
    for entry in fleet.log.entries(CONTROL_STREAM):
        state = step(state, entry.payload, entry.position).state
        epochs |= {
            (i.instance, str(i.epoch))
            for i in state.ownership.instances.values()
        }
    return {
        operation
        for operation in fleet.platform.effects
        if tuple(operation.split("/")[:2]) not in epochs
    }
