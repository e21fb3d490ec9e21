"""Parts instances from the store for seconds, as a seed determines."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from threading import Event, Thread

from soak.proxy import Fault, Proxy
from standins.platform_harness import PlatformHarness

# Range of the time for which store and instance are parted, and maximum time
# after it until the last link to a worker is back.
_DURATION_S = (0.5, 8.0)
_MAX_LINK_LAG_S = 1.0

# Range of the time at the end of a parting in which requests arrive at the store
# again and their answers are still lost.
_ONE_WAY_S = (0.3, 2.0)

# Maximum time for which a parting disturbs orders to workers.
MAX_PARTING_S = _DURATION_S[1] + _ONE_WAY_S[1] + _MAX_LINK_LAG_S

# Range of the pause before a parting.
_PAUSE_S = (0.3, 1.5)

# Range of the time from a takeover to the disruption of the new holder.
_BESIDE_AFTER_S = (0.1, 2.5)

_POLL_S = 0.02


class Manner(Enum):
    """How an instance is parted from the store.

    Attributes:
        HELD: Nothing passes; what was sent arrives late.
        CUT: Nothing passes; what was sent is lost.
        ANSWERS_LOST: Requests arrive, and their answers are lost.
        JOINS_REFUSED: Only joins fail, so that the membership expires while
            the instance goes on reading.
    """

    HELD = "held"
    CUT = "cut"
    ANSWERS_LOST = "answers lost"
    JOINS_REFUSED = "joins refused"


# Fault of the link to the store.
_STORE_FAULTS: dict[Manner | None, Fault] = {
    Manner.HELD: Fault.HELD,
    Manner.CUT: Fault.CUT,
    Manner.ANSWERS_LOST: Fault.ANSWERS_LOST,
}


class Zone(Enum):
    """Which links to workers are cut while an instance is parted.

    Attributes:
        NONE: None.
        OWN: Those of the parted instances to the workers beyond their zone.
        BOTH: Also those of the others to the workers in the zone, as when an
            availability zone is cut off.
    """

    NONE = "no zone"
    OWN = "own zone"
    BOTH = "zone cut"


class Beside(Enum):
    """What happens to the next holder once it has taken over.

    Attributes:
        NOTHING: Nothing.
        KILL: It is killed, and started when the links are back.
        TERMINATE: It is stopped and started again at once.
        PAUSE: It is suspended until the links are back.
    """

    NOTHING = "nothing"
    KILL = "kill"
    TERMINATE = "SIGTERM"
    PAUSE = "pause"


@dataclass(frozen=True)
class Parting:
    """A time for which instances are parted from the store.

    Attributes:
        ranks: The instances, counted from the cell's holder, which is 0.
        manner: How they are parted.
        duration_s: For how long, in seconds.
        one_way_s: Time after it in which only requests pass, in seconds.
        reassigns: Whether the store reassigns all cells at once whenever a
            member expires or comes back.
        zone: Which links to workers are cut meanwhile.
        zone_workers: Indexes of the workers in the zone.
        link_lag_s: Time from the end of the parting until the links to
            workers are back, in seconds.
        beside: What happens to the next holder.
        beside_after_s: Time from the takeover to that, in seconds.
        pause_s: Pause before the parting, in seconds.
    """

    ranks: tuple[int, ...]
    manner: Manner
    duration_s: float
    one_way_s: float
    reassigns: bool
    zone: Zone
    zone_workers: frozenset[int]
    link_lag_s: float
    beside: Beside
    beside_after_s: float
    pause_s: float


def draw_parting(rng: random.Random, instances: int, workers: int) -> Parting:
    """Draws a parting; most are the holder's, and most cut links to workers."""
    holder_only = [(0,)] * 4
    ranks = rng.choice([*holder_only, (0, 1), (0, instances - 1), (1,)])
    manners = [Manner.HELD, Manner.CUT, Manner.HELD, Manner.CUT, *Manner]
    zone_size = rng.randint(1, max(1, workers // 2))
    return Parting(
        ranks=tuple(sorted({rank % instances for rank in ranks})),
        manner=rng.choice(manners),
        duration_s=rng.uniform(*_DURATION_S),
        one_way_s=rng.uniform(*_ONE_WAY_S) * rng.choice([0, 1, 1]),
        reassigns=rng.choice([True, False]),
        zone=rng.choice([*Zone, Zone.BOTH, Zone.BOTH, Zone.BOTH]),
        zone_workers=frozenset(rng.sample(range(workers), zone_size)),
        link_lag_s=rng.uniform(0.0, _MAX_LINK_LAG_S) * rng.choice([0, 1, 1]),
        beside=rng.choice([Beside.NOTHING, Beside.NOTHING, *Beside]),
        beside_after_s=rng.uniform(*_BESIDE_AFTER_S),
        pause_s=rng.uniform(*_PAUSE_S),
    )


class StorePartings:
    """Parts instances from the store until it is stopped, then undoes it.

    Args:
        harness: Processes and stand-ins.
        instances: Numbers of all instances.
        cell: The cell whose holder is parted.
        stores: Proxy to the store, by instance number.
        links: Proxy to a worker, by the numbers of instance and worker.
        seed: Determines kinds, targets and times of the partings.
        record: Called with a description of each step.
    """

    def __init__(
        self,
        harness: PlatformHarness,
        instances: list[int],
        cell: int,
        stores: dict[int, Proxy],
        links: dict[tuple[int, int], Proxy],
        seed: int,
        record: Callable[[str], None],
    ) -> None:
        """Prepares the thread; `start` starts it."""
        self._harness = harness
        self._instances = instances
        self._cell = cell
        self._stores = stores
        self._links = links
        self._random = random.Random(seed)
        self._record = record
        self._stopped = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to part instances from the store."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread, which undoes its parting."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        workers = len(self._harness.workers)
        while not self._stopped.is_set():
            parting = draw_parting(self._random, len(self._instances), workers)
            if self._stopped.wait(parting.pause_s):
                break
            self._play(parting)

    def _play(self, parting: Parting) -> None:
        holder = self._harness.holder(self._cell)
        first = self._instances.index(holder or self._instances[0])
        parted = [
            self._instances[(first + rank) % len(self._instances)]
            for rank in parting.ranks
        ]
        until = time.monotonic() + parting.duration_s
        self._record(
            f"{parting.manner.value} store of {parted},"
            f" {parting.duration_s:.2f} s, {parting.zone.value} with workers"
            f" {sorted(parting.zone_workers)}, {parting.beside.value} beside"
            f"{', reassigns at once' * parting.reassigns}"
        )
        self._harness.store.reassigns_at_once = parting.reassigns
        cut_links = self._cut_links(parting, parted)
        self._part(parting.manner, parted)
        undo = self._disrupt_next_holder(parting, parted, until)
        self._stopped.wait(max(0.0, until - time.monotonic()))
        if parting.one_way_s:
            self._record(f"only requests reach the store from {parted}")
            self._part(Manner.ANSWERS_LOST, parted)
            self._stopped.wait(parting.one_way_s)
        self._record(f"store back for {parted}")
        self._part(None, parted)
        self._stopped.wait(parting.link_lag_s)
        for link in cut_links:
            link.fault = Fault.NONE
        undo()
        self._harness.store.reassigns_at_once = False

    def _part(self, manner: Manner | None, parted: list[int]) -> None:
        """Parts instances from the store; None ends a parting."""
        for number in parted:
            self._harness.views[number].refuses_joins = (
                manner is Manner.JOINS_REFUSED
            )
            self._stores[number].fault = _STORE_FAULTS.get(manner, Fault.NONE)

    def _cut_links(self, parting: Parting, parted: list[int]) -> list[Proxy]:
        """Cuts the links to workers; returns those that were cut."""
        cut = []
        for (number, worker), link in self._links.items():
            in_zone = worker in parting.zone_workers
            if number in parted:
                is_cut = parting.zone is not Zone.NONE and not in_zone
            else:
                is_cut = parting.zone is Zone.BOTH and in_zone
            if is_cut:
                link.fault = Fault.CUT
                cut.append(link)
        return cut

    def _disrupt_next_holder(
        self, parting: Parting, parted: list[int], until: float
    ) -> Callable[[], None]:
        """Disrupts the next holder; returns a function that undoes it."""

        def undo() -> None:
            pass

        if parting.beside is Beside.NOTHING:
            return undo
        number = self._await_next_holder(parted, until)
        if number is None or self._stopped.wait(
            min(parting.beside_after_s, max(0.0, until - time.monotonic()))
        ):
            return undo
        self._record(f"{parting.beside.value} next holder {number}")
        match parting.beside:
            case Beside.KILL:
                if self._harness.kill_instance(number):
                    return partial(self._harness.start_instance, number)
            case Beside.TERMINATE:
                status = self._harness.signal_instance(number, signal.SIGTERM)
                if status is not None:
                    self._harness.start_instance(number)
            case Beside.PAUSE:
                return self._harness.pause_instance(number) or undo
        return undo

    def _await_next_holder(self, parted: list[int], until: float) -> int | None:
        while time.monotonic() < until and not self._stopped.is_set():
            holder = self._harness.holder(self._cell)
            if holder is not None and holder not in parted:
                return holder
            time.sleep(_POLL_S)
        return None
