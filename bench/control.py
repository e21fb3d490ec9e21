"""Appends, takeover time and processor time of control rounds.

The control loops of all entry instances run in one process, with one in-memory
log and one simulated clock; only `round_ms` is measured in real time.
"""

from dataclasses import dataclass, field
from random import Random
from time import perf_counter

from acaciawing.control import (
    ControlLoop,
    ListingRead,
    LiveInstancesChanged,
    StepsFolded,
)
from acaciawing.fold import FleetState, Step, step
from acaciawing.leases import is_held
from acaciawing.lending import LENDING_SUBJECT
from acaciawing.placement import PLACEMENT_SUBJECT
from acaciawing.platform import CONTROL_STREAM, ListedInstance, Listing
from bench.fold import SIZES, MemoryLog

_ROUND_S = 0.5
_STEADY_S = 60.0


@dataclass(frozen=True)
class ControlFigures:
    """Figures of one fleet size.

    Attributes:
        instances: Number of owned instances.
        pools: Number of pools; each is a lease subject beside the common ones.
        entries: Number of entry instances.
        settled_s: Time from an empty log until all subjects have a holder
            and all instances are adopted, in seconds.
        start_appends: Appends in that time.
        appends_per_s: Appends per second of all entry instances once
            nothing changes.
        max_leases: Leases of the entry instance that holds the most.
        orphaned_subjects: Subjects without a holder after that entry
            instance has failed.
        takeover_s: Time until the last of them has a holder again, in seconds.
        round_ms: Processor time of one round without changes, in milliseconds.
    """

    instances: int
    pools: int
    entries: int
    settled_s: float
    start_appends: int
    appends_per_s: float
    max_leases: int
    orphaned_subjects: int
    takeover_s: float
    round_ms: float


@dataclass
class _FleetSimulation:
    instances: int
    pools: int
    entries: int
    log: MemoryLog = field(default_factory=MemoryLog)
    time: float = 0.0
    state: FleetState = FleetState()
    loops: dict[str, ControlLoop] = field(default_factory=dict)
    round_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.log_start_s = self.log.time
        names = [f"entry-{n}" for n in range(self.entries)]
        for number, name in enumerate(names):
            self.loops[name] = ControlLoop(
                f"{name}/1",
                self.log,
                lambda: self.time,
                Random(number),
                lambda timed: None,
            )
        self.live = tuple(names)

    def listing(self) -> Listing:
        listed_instances = (
            ListedInstance(
                f"worker-{n:04}",
                1,
                f"pool-{n % self.pools:03}",
                f"zone-{n % 7}",
                f"rack-{n // 4}",
                f"192.0.2.1:{1024 + n}",
                "live",
            )
            for n in range(self.instances)
        )
        return Listing(self.log.time, tuple(listed_instances))

    @property
    def appended(self) -> int:
        return len(self.log.streams.get(CONTROL_STREAM, []))

    @property
    def held(self) -> dict[str, str]:
        table = self.state.leases
        return {
            subject: lease.holder
            for subject, lease in table.leases.items()
            if is_held(table, subject, self.log.time)
        }

    @property
    def settled(self) -> bool:
        owned = len(self.state.ownership.instances)
        common_subjects = {"snapshots", LENDING_SUBJECT, PLACEMENT_SUBJECT}
        expected_count = len(common_subjects) + self.pools
        common_held = common_subjects <= set(self.held)
        return (
            owned == self.instances
            and common_held
            and len(self.held) == expected_count
        )

    def tick(self) -> None:
        """Makes every entry instance read the log and run a round."""
        self.time += _ROUND_S
        self.log.time = self.log_start_s + self.time
        steps: list[Step] = []
        entries = self.log.streams.get(CONTROL_STREAM, [])
        for entry in entries[self.state.offset :]:
            steps.append(step(self.state, entry.payload, entry.position))
            self.state = steps[-1].state
        folded, listed = StepsFolded(self.state, tuple(steps)), self.listing()
        for loop in self.loops.values():
            loop.handle(LiveInstancesChanged(self.live))
            loop.handle(ListingRead(listed))
            started = perf_counter()
            loop.handle(folded)
            loop.round()
            self.round_s.append(perf_counter() - started)


def _measure(instances: int, pools: int, entries: int) -> ControlFigures:
    fleet = _FleetSimulation(instances, pools, entries)
    while not fleet.settled:
        fleet.tick()
    settled_s, start_appends = fleet.time, fleet.appended
    for _ in range(40):  # Repeated claims from start-up end in this time.
        fleet.tick()
    before, fleet.round_s = fleet.appended, []
    for _ in range(int(_STEADY_S / _ROUND_S)):
        fleet.tick()
    appends_per_s = (fleet.appended - before) / _STEADY_S
    round_ms = sum(fleet.round_s) / len(fleet.round_s) * 1e3
    holders = list(fleet.held.values())
    failed_holder = max(sorted(set(holders)), key=holders.count)
    failed_at = fleet.time
    del fleet.loops[failed_holder.rpartition("/")[0]]
    while failed_holder in fleet.held.values() or not fleet.settled:
        fleet.tick()
        if fleet.time - failed_at > 5.0:  # Its peers have detected the failure.
            fleet.live = tuple(fleet.loops)
    return ControlFigures(
        instances,
        pools,
        entries,
        settled_s,
        start_appends,
        appends_per_s,
        holders.count(failed_holder),
        holders.count(failed_holder),
        fleet.time - failed_at,
        round_ms,
    )


def run_control() -> tuple[ControlFigures, ...]:
    """Measures each size of `bench.fold.SIZES`."""
    return tuple(_measure(*size) for size in SIZES)
