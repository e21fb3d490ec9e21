"""Schedules of racing writers over one log, drawn by hypothesis."""

from dataclasses import dataclass, field
from typing import Any

from hypothesis import strategies as st

from acaciawing import leases as ls
from acaciawing import ownership as ow
from acaciawing.fold import FleetState, Step, step
from acaciawing.records import LogPosition, encode

POOLS = ("visits", "portal", "supplies")
WRITERS = ("entry-0/1", "entry-1/1", "entry-2/1")

KINDS = (
    *("read", "claim", "renew", "release", "wait", "pause", "repeat"),
    *("garbage", "adopt", "replace", "retire", "begin", "finish", "cancel"),
    *("return", "begin", "finish", "return", "retire", "renew", "renew"),
)

# Stands for a writer that is up to date and holds the lease, or claims it
# first; the numbers stand for writers with the state they last read.
HOLDER = 3

SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from(KINDS),
        st.sampled_from((*range(3), *[HOLDER] * 6)),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    min_size=20,
    max_size=70,
)


@dataclass
class Simulation:
    """One log and three writers, each with its own, possibly old, state."""

    log: list[tuple[bytes, LogPosition]] = field(default_factory=list)
    records: list[tuple[Any, str]] = field(default_factory=list)
    states: list[FleetState] = field(default_factory=lambda: [FleetState()] * 3)
    steps: list[Step] = field(default_factory=list)
    time: float = 100.0

    @property
    def newest(self) -> FleetState:
        return self.steps[-1].state if self.steps else FleetState()

    def append(self, payload: bytes) -> Step:
        """Appends a payload and folds it as an up-to-date reader does."""
        position = LogPosition(len(self.log), self.time)
        self.log.append((payload, position))
        self.steps.append(step(self.newest, payload, position))
        return self.steps[-1]

    def run(self, schedule: list[tuple[str, int, int, int]]) -> None:
        """Runs a schedule after each writer has claimed one pool."""
        for number in range(3):
            self.perform("claim", number, number, number)
            self.perform("read", number, 0, 0)
            self.perform("adopt", number, number, number)
        for operation in schedule:
            self.perform(*operation)

    def perform(self, kind: str, number: int, which: int, pool: int) -> None:
        """Performs one operation of a writer, on the state that it has."""
        self.time += 0.25
        if number == HOLDER:
            number = self._holder(kind, which, pool)
        if kind == "read":
            self.states[number] = self.newest
        elif kind in ("wait", "pause"):
            self.time += 2.0 if kind == "wait" else 11.0
        elif kind == "repeat" and self.log:
            self.append(self.log[(which * 7 + pool) % len(self.log)][0])
        elif kind == "garbage":
            bodies = (b"{", b"[]", b'{"type":"move-begun"}', b"\xff\x00")
            self.append(bodies[which])
        else:
            record = _record(kind, self, number, which, POOLS[pool])
            if record is not None:
                self.records.append((record, WRITERS[number]))
                self.append(encode(record, WRITERS[number]))

    def _holder(self, kind: str, which: int, pool: int) -> int:
        """Returns the up-to-date holder of the lease that a record needs."""
        state = self.newest
        known = state.ownership.instances.get(f"worker-{which}")
        if known is not None and kind != "adopt":
            pool = POOLS.index(known.pool)
        subject = ls.pool_subject(POOLS[pool])
        if not ls.is_held(state.leases, subject, self.time):
            self.perform("read", which, 0, 0)
            self.perform("claim", which, which, pool)
            state = self.newest
        number = WRITERS.index(state.leases.leases[subject].holder)
        self.states[number] = state
        return number


def _record(
    kind: str, world: Simulation, number: int, which: int, pool: str
) -> Any:
    state, holder = world.states[number], WRITERS[number]
    subject = ls.pool_subject(pool)
    lease = state.leases.leases.get(subject)
    token = ls.NO_LEASE if lease is None else lease.token
    if kind == "claim":
        return ls.LeaseClaimed(subject, holder, token, 10.0)
    if kind == "renew":
        return ls.LeasesRenewed(holder, which, 10.0)
    if kind == "release":
        return ls.LeasesReleased(holder, (ls.Fence(subject, token),))
    name, listed = f"worker-{which}", world.time - pool.count("s")
    fence = ls.Fence(subject, token)
    if kind == "adopt":
        place = ("zone", "rack", "192.0.2.1:80")
        return ow.InstanceAdopted(name, 1, pool, *place, listed, fence)
    known = state.ownership.instances.get(name)
    if known is None:
        return None
    own = state.leases.leases.get(ls.pool_subject(known.pool))
    fence = ls.Fence(ls.pool_subject(known.pool), own.token if own else -1)
    return _change(kind, known, pool, listed, fence)


def _change(
    kind: str,
    known: ow.OwnedInstance,
    pool: str,
    listed: float,
    fence: ls.Fence,
) -> Any:
    name, epoch = known.instance, known.epoch
    match kind:
        case "replace":
            incarnation = known.incarnation + pool.count("s")
            place = (incarnation, "zone", "rack", "192.0.2.1:80")
            return ow.InstanceReplaced(name, epoch, *place, listed, fence)
        case "retire":
            return ow.InstanceRetired(name, epoch, listed, fence)
        case "begin":
            return ow.MoveBegun(name, epoch, pool, "lent", fence)
        case "finish":
            return ow.MoveFinished(name, epoch, fence)
        case "cancel":
            return ow.MoveCancelled(name, epoch, "withdrawn", fence)
        case "return":
            incarnation = known.incarnation + pool.count("s") - 1
            return ow.InstanceReturned(name, epoch, incarnation, fence)
    return None
