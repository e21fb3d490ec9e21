"""What the fleet's decisions look at, and the orders they lead to."""

from collections.abc import Mapping, Set
from typing import NamedTuple, TypeAlias

import msgspec

from acaciawing.jobs.model import Resources


class WorkerLoad(msgspec.Struct, frozen=True):
    """Load of a worker as the holder of its cell sees it.

    Attributes:
        runs: Runs that are or may be there.
        lasting: Those of them that last.
        cpu: Thousandths of a core that they are charged.
        silent: Whether it has answered before and does not answer now.
    """

    runs: int
    lasting: int
    cpu: int
    silent: bool = False


class PoolLoad(msgspec.Struct, frozen=True):
    """Load of a service as the holder of its cell sees it.

    Attributes:
        waiting: What waiting subtasks ask for.
        used: What runs are charged.
        capacity: What usable workers have.
    """

    waiting: Resources
    used: Resources
    capacity: Resources


class CellReport(msgspec.Struct, frozen=True):
    """What the holder of a cell tells about it.

    Attributes:
        holder: Whether it holds the cell and has recovered it.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Workers that get no new work for the fleet's sake.
    """

    holder: bool
    pools: dict[str, PoolLoad] = {}
    workers: dict[str, WorkerLoad] = {}
    evacuating: tuple[str, ...] = ()


class MachineState(msgspec.Struct, frozen=True):
    """A machine as the platform lists it.

    Attributes:
        id: Its id.
        service: Pool that it belongs to.
        up: Whether it is neither moving nor in upkeep nor down.
        coming: Whether it will be up soon: it moves or is in upkeep.
        in_upkeep: Whether it is in upkeep.
        zone: Its availability zone.
        worker: Id of the worker that runs on it; empty while it is off.
        capacity: Amounts that it has in all.
    """

    id: str
    service: str
    up: bool
    worker: str
    capacity: Resources
    up_soon: bool = False
    in_maintenance: bool = False
    zone: str = ""


class MaintenanceWave(msgspec.Struct, frozen=True):
    """A wave of upkeep that is under way.

    Attributes:
        number: Its number.
        machines: Machines that still need it.
        max_down: Most machines down at the same time.
        due_at: When all have to be done, in seconds.
    """

    number: int
    machines: tuple[str, ...]
    max_down: int
    due_at: float


class Maintain(msgspec.Struct, frozen=True):
    """Take a machine down for the upkeep of a wave."""

    machine: str
    wave: int


class Move(msgspec.Struct, frozen=True):
    """Move a machine to the pool of a service."""

    machine: str
    service: str


FleetOrder: TypeAlias = Maintain | Move


class Evacuation(msgspec.Struct, frozen=True):
    """Workers that get no new work, so that their machines can be taken.

    Attributes:
        workers: Their ids.
        hurried: Those of them whose runs are not waited for without end.
        due: Workers whose machines will be maintained soon.
    """

    workers: frozenset[str] = frozenset()
    hurried: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()


class FleetSnapshot(NamedTuple):
    """What a round of decisions looks at.

    Attributes:
        machines: The platform's list.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Workers whose cells have confirmed that they get no work.
        waves: Waves under way.
        spare: Services whose machines are off.
    """

    machines: tuple[MachineState, ...]
    pools: Mapping[str, PoolLoad]
    workers: Mapping[str, WorkerLoad]
    evacuating: Set[str]
    waves: tuple[MaintenanceWave, ...]
    spare: Set[str]
