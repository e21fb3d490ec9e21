"""Records of maintenance waves in the control stream."""

from dataclasses import dataclass
from enum import Enum

from acaciawing.leases import Fence
from acaciawing.records import record_type

# Pool name in a stop or resume of all pools.
ALL_POOLS = ""


class Stage(Enum):
    """Stage of an instance in a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    RESTORING = "restoring"
    REBOOTING = "rebooting"
    VERIFYING = "verifying"
    RETURNED = "returned"
    REPLACED = "replaced"
    SKIPPED = "skipped"
    FAILED = "failed"

    @property
    def in_progress(self) -> bool:
        """Whether the wave keeps the instance out of service."""
        return self in _IN_PROGRESS

    @property
    def final(self) -> bool:
        """Whether no other stage can follow."""
        return not NEXT_STAGES[self]


_IN_PROGRESS = frozenset(
    {Stage.DRAINING, Stage.RESTORING, Stage.REBOOTING, Stage.VERIFYING}
)

# Stages that may follow each stage.
NEXT_STAGES: dict[Stage, frozenset[Stage]] = {
    Stage.WAITING: frozenset({Stage.DRAINING, Stage.REPLACED, Stage.SKIPPED}),
    Stage.DRAINING: frozenset(
        {Stage.RESTORING, Stage.REBOOTING, Stage.REPLACED, Stage.FAILED}
    ),
    # A drain was cancelled; the instance is being restored to service.
    Stage.RESTORING: frozenset(
        {Stage.WAITING, Stage.SKIPPED, Stage.REPLACED, Stage.FAILED}
    ),
    Stage.REBOOTING: frozenset({Stage.VERIFYING, Stage.FAILED}),
    Stage.VERIFYING: frozenset({Stage.RETURNED, Stage.FAILED}),
    Stage.RETURNED: frozenset(),
    Stage.REPLACED: frozenset(),
    Stage.SKIPPED: frozenset(),
    Stage.FAILED: frozenset(),
}


@dataclass(frozen=True)
class Bounds:
    """Maximum number of instances out of service at a time, for any reason.

    Attributes:
        pool: In the pool of the wave; its size less its reserve.
        rack: In one rack, over all pools.
        zone: In one availability zone, over all pools.
    """

    pool: int
    rack: int
    zone: int


@dataclass(frozen=True)
class Place:
    """Location of an instance.

    Attributes:
        instance: Id of the instance.
        incarnation: Its incarnation when it was observed.
        zone: Availability zone.
        rack: Rack within the zone.
    """

    instance: str
    incarnation: int
    zone: str
    rack: str


@record_type("wave-planned", version=1)
@dataclass(frozen=True)
class WavePlanned:
    """Begins a new wave in a pool.

    Attributes:
        pool: Name of the pool.
        epoch: Number of the pool's waves that have ended.
        members: Instances to maintain.
        bounds: Bounds that each drain of the wave must respect.
        fence: Lease of the pool.
    """

    pool: str
    epoch: int
    members: tuple[Place, ...]
    bounds: Bounds
    fence: Fence


@record_type("wave-requested", version=1)
@dataclass(frozen=True)
class WaveRequested:
    """Requests a wave now, even if the pool needs no maintenance yet.

    Attributes:
        pool: Name of the pool.
        operator: Name of the operator.
        at_once: Instances of the pool that may be out of service at a time,
            or 0 for the pool's usual bound.
    """

    pool: str
    operator: str
    at_once: int = 0


@record_type("wave-step", version=1)
@dataclass(frozen=True)
class WaveStep:
    """Moves a member of a wave to its next stage.

    Attributes:
        pool: Name of the pool.
        wave: Epoch of the wave.
        instance: Id of the instance.
        epoch: Epoch of the member that the writer read.
        stage: The new stage.
        fence: Lease of the pool.
        reason: Code of the reason, or an empty string.
    """

    pool: str
    wave: int
    instance: str
    epoch: int
    stage: Stage
    fence: Fence
    reason: str = ""


@record_type("instance-outage", version=1)
@dataclass(frozen=True)
class OutageChanged:
    """Records the start or end of an unplanned outage of an instance.

    Attributes:
        pool: Pool of the instance.
        place: Location of the instance.
        down: Whether it is out of service.
        fence: Lease of the pool.
    """

    pool: str
    place: Place
    down: bool
    fence: Fence


@record_type("wave-stopped", version=1)
@dataclass(frozen=True)
class WaveStopped:
    """Stops maintenance on behalf of an operator.

    Attributes:
        pool: Name of the pool, or `ALL_POOLS`.
        operator: Name of the operator.
        reason: Explanation for other operators.
    """

    pool: str
    operator: str
    reason: str


@record_type("wave-resumed", version=1)
@dataclass(frozen=True)
class WaveResumed:
    """Lifts an operator's stop.

    Attributes:
        pool: Name of the pool, or `ALL_POOLS`.
        operator: Name of the operator.
        stopped_at: Log offset of the stop that is lifted, so that a late
            repeat does not lift a newer stop.
    """

    pool: str
    operator: str
    stopped_at: int
