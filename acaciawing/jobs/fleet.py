"""Input of the fleet's decisions, and the orders that result from them."""

from collections.abc import Mapping, Set
from typing import NamedTuple, TypeAlias

import msgspec

from acaciawing.jobs.model import Resources


class WorkerLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of a worker as its cell's holder observes it.

    Attributes:
        runs: Number of runs that are or may be there.
        lasting: Number of long-running ones among them.
        cpu: Cpu reserved for them, in thousandths of a core.
        silent: Whether it has answered before and does not answer now.
        contacted: Whether it has listed all its runs and ends to this holder.
            Until then, runs that an earlier holder has started there are
            missing from the counts.
    """

    runs: int
    lasting: int
    cpu: int
    silent: bool = False
    contacted: bool = False


class PoolLoad(msgspec.Struct, frozen=True):
    """Load of a service as its cell's holder observes it.

    Attributes:
        waiting: Resources that waiting subtasks request.
        used: Resources reserved for runs.
        capacity: Capacity of the workers that may get new runs.
        late: Part of `waiting` and `used` for jobs that will end too late to
            have any value.
    """

    waiting: Resources
    used: Resources
    capacity: Resources
    late: Resources = Resources()


class CellReport(msgspec.Struct, frozen=True):
    """Report of a cell's holder on its pools and workers.

    Attributes:
        holder: Whether the sender holds the cell and has recovered it.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Ids of the workers that are being evacuated.
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
        up: Whether it is neither moving nor in maintenance nor down.
        up_soon: Whether it is moving or in maintenance, and so up soon.
        in_maintenance: Whether it is in maintenance.
        zone: Its availability zone.
        worker: Id of the worker that runs on it; empty while it is off.
        capacity: Its total resources.
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
    """A maintenance wave in progress.

    Attributes:
        number: Its number.
        machines: Machines that were not maintained yet.
        max_down: Maximum number of machines down at the same time.
        due_at: When all machines have to be done, in seconds.
    """

    number: int
    machines: tuple[str, ...]
    max_down: int
    due_at: float


class Maintain(msgspec.Struct, frozen=True):
    """Take a machine down for the maintenance of a wave."""

    machine: str
    wave: int


class Move(msgspec.Struct, frozen=True):
    """Move a machine to the pool of a service."""

    machine: str
    service: str


FleetOrder: TypeAlias = Maintain | Move


class Evacuation(msgspec.Struct, frozen=True):
    """Workers to evacuate so that their machines can be maintained or moved.

    Attributes:
        workers: Ids of the workers.
        hurried: Those of them whose runs are stopped after a timeout.
        due: Workers whose machines are scheduled for maintenance.
    """

    workers: frozenset[str] = frozenset()
    hurried: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()


class FleetSnapshot(NamedTuple):
    """Input of one round of decisions.

    Attributes:
        machines: The platform's list of machines.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Ids of the workers whose evacuation a cell has confirmed.
        waves: Waves in progress.
        spare: Services whose machines are turned off.
    """

    machines: tuple[MachineState, ...]
    pools: Mapping[str, PoolLoad]
    workers: Mapping[str, WorkerLoad]
    evacuating: Set[str]
    waves: tuple[MaintenanceWave, ...]
    spare: Set[str]
