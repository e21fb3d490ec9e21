"""In-memory fleet and log for maintenance tests; time is advanced by hand."""

from dataclasses import dataclass, field

from acaciawing.budgets import BudgetSnapshot, PlanCount, PlanCounts
from acaciawing.configuration import Plan
from acaciawing.fold import FleetState, step
from acaciawing.leases import (
    LEASE_S,
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesRenewed,
    pool_subject,
)
from acaciawing.maintenance import (
    Bounds,
    MaintenanceSnapshot,
    ObservedInstance,
    Place,
    PlatformCall,
    RoundRequest,
    decide,
)
from acaciawing.outcomes import Accepted, Verdict
from acaciawing.records import LogPosition, encode

POOL = "visits"
SUBJECT = pool_subject(POOL)
PLAN = Plan("gold", 0.99, 3600.0, 5.0, 100.0, 10, 10, (POOL,))
ROUND_S = 5.0


@dataclass
class FakeInstance:
    """A worker with its status."""

    place: Place
    in_flight: int = 3
    serving: bool = True
    draining: bool = False
    rebooted: int = 0
    returns_at: float = 0.0
    drains: bool = True


@dataclass
class FakeFleet:
    """Workers, the log and its fold."""

    bounds: Bounds
    instances: dict[str, FakeInstance]
    state: FleetState = FleetState()
    now: float = 0.0
    offset: int = 0
    controller: int = 1
    fence: Fence = Fence(SUBJECT, -1)
    requests: int = 100_000
    failed: int = 0
    done: set[str] = field(default_factory=set)
    log: list[tuple[object, Verdict]] = field(default_factory=list)

    def append(self, record: object) -> Verdict:
        """Appends and folds one record."""
        position = LogPosition(self.offset, self.now)
        payload = encode(record, self.writer)
        folded = step(self.state, payload, position)
        self.state = folded.state
        self.offset += 1
        self.log.append((record, folded.outcome))
        return folded.outcome

    @property
    def writer(self) -> str:
        """The present controller."""
        return f"entry-{self.controller}/1"

    def claim(self) -> None:
        """Claims the lease of the pool for the present controller."""
        known = self.state.leases.leases.get(SUBJECT)
        replaces = NO_LEASE if known is None else known.token
        claim = LeaseClaimed(SUBJECT, self.writer, replaces, LEASE_S)
        self.fence = Fence(SUBJECT, self.offset)
        assert self.append(claim) == Accepted()

    def take_over(self) -> None:
        """Another controller claims the lease once it has ended."""
        self.controller += 1
        self.now += LEASE_S + 1.0
        self.claim()

    def request(self) -> RoundRequest:
        """The request of the present controller."""
        return RoundRequest(POOL, self.bounds, self.fence)

    def report(self) -> None:
        """Appends counts of the one entry instance."""
        count = PlanCount("gold", self.requests, self.failed)
        record = PlanCounts("entry-1", 1, int(self.now / 10), (count,))
        self.append(record)

    def snapshot(self) -> MaintenanceSnapshot:
        observed = {
            name: ObservedInstance(
                i.place,
                POOL,
                i.serving,
                i.draining,
                in_flight=i.in_flight,
                verified=i.serving,
            )
            for name, i in self.instances.items()
        }
        budgets = BudgetSnapshot(
            self.state.budgets, {"gold": PLAN}, frozenset({"entry-1"})
        )
        impact = {name: {"gold": 2.0} for name in observed}
        return MaintenanceSnapshot(self.state.waves, budgets, observed, impact)

    def round(self, killed_after: int | None = None) -> bool:
        """Runs one round; the controller may die after some appends.

        Returns:
            Whether the controller was killed.
        """
        self.now += ROUND_S
        if not self.fence.token >= 0:
            self.claim()
        self.append(LeasesRenewed(self.writer, self.offset, LEASE_S))
        self.report()
        self._progress()
        decision = decide(self.snapshot(), self.request(), self.now)
        for call in decision.calls:
            self.call(call)
        for count, record in enumerate(decision.records, 1):
            self.append(record)
            if count == killed_after:
                return True
        return False

    def call(self, call: PlatformCall) -> None:
        """Takes a call of the worker interface, once for each id."""
        if call.request_id in self.done:
            return
        self.done.add(call.request_id)
        instance = self.instances[call.instance]
        if call.operation == "reboot":
            assert instance.in_flight == 0, "work was interrupted"
            instance.rebooted += 1
            instance.serving = False
            instance.returns_at = self.now + 60.0
        else:
            instance.draining = call.operation == "drain"

    def fail(self, name: str, repair_s: float) -> None:
        """Fails an instance; its replacement starts after the repair."""
        instance = self.instances[name]
        instance.serving = False
        instance.returns_at = self.now + repair_s

    def _progress(self) -> None:
        for instance in self.instances.values():
            if not instance.serving:
                if self.now >= instance.returns_at:
                    place = instance.place
                    instance.place = Place(
                        place.instance,
                        place.incarnation + 1,
                        place.zone,
                        place.rack,
                    )
                    instance.serving, instance.draining = True, False
                    instance.in_flight = 3
            elif instance.draining and instance.drains:
                instance.in_flight = max(0, instance.in_flight - 1)
            elif not instance.draining:
                instance.in_flight = 3


def fleet(size: int = 8, bounds: Bounds | None = None) -> FakeFleet:
    """Workers over four zones, two racks a zone."""
    instances = {}
    for number in range(size):
        name = f"w{number}"
        zone, rack = f"z{number % 4}", f"r{number // 4 % 2}"
        instances[name] = FakeInstance(Place(name, 1, zone, rack))
    return FakeFleet(bounds or Bounds(2, 1, 1), instances)
