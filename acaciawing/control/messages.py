"""Messages that the control task and the worker task receive."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.control.view import WorkerCall
from acaciawing.fold import FleetState, Step
from acaciawing.platform import Listing, OperationOutcome, TasksOutcome


@dataclass(frozen=True)
class StepsFolded:
    """The reader of the control stream has folded records.

    Attributes:
        state: State after the records.
        steps: A step for each record; empty for a state taken from a peer or
            from a snapshot.
    """

    state: FleetState
    steps: tuple[Step, ...] = ()


@dataclass(frozen=True)
class LiveInstancesChanged:
    """The set of live entry instances has changed.

    Attributes:
        live: Ids of the live instances, including this one.
    """

    live: tuple[str, ...]


@dataclass(frozen=True)
class ListingRead:
    """The platform's list of instances was read."""

    listing: Listing


@dataclass(frozen=True)
class DemandObserved:
    """The demand of all pools, summed over all live entry instances.

    Attributes:
        pools: Running and waiting requests by the pool of their service.
    """

    pools: Mapping[str, float]


@dataclass(frozen=True)
class OperationEnded:
    """A call to the worker interface has ended.

    Attributes:
        call: The call.
        outcome: Its outcome; None if the call was not made because its deadline
            had passed.
    """

    call: WorkerCall
    outcome: OperationOutcome | TasksOutcome | None


ControlMessage: TypeAlias = (
    StepsFolded
    | LiveInstancesChanged
    | ListingRead
    | DemandObserved
    | OperationEnded
)


@dataclass(frozen=True)
class TimedCall:
    """A call with a deadline.

    Attributes:
        call: The call.
        deadline: Monotonic time in seconds from which the call may no longer be
            made.
    """

    call: WorkerCall
    deadline: float
