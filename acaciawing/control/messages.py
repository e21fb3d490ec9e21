"""Messages that the control task and the worker task receive."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.control.view import Call
from acaciawing.fold import FleetState, Step
from acaciawing.platform import Listing, OperationOutcome, TasksOutcome


@dataclass(frozen=True)
class StepsFolded:
    """The reader of the control stream has gone on.

    Attributes:
        state: State after the records.
        steps: A step for each record; empty for a state taken from a peer or
            from a snapshot.
    """

    state: FleetState
    steps: tuple[Step, ...] = ()


@dataclass(frozen=True)
class LiveInstancesChanged:
    """The live view of the entry instances.

    Attributes:
        live: Ids, this instance included.
    """

    live: tuple[str, ...]


@dataclass(frozen=True)
class ListingRead:
    """The platform's list has answered."""

    listing: Listing


@dataclass(frozen=True)
class DemandObserved:
    """The demand of all pools over all live entry instances.

    Attributes:
        pools: Requests that run or wait, by the pool of their service.
    """

    pools: Mapping[str, float]


@dataclass(frozen=True)
class OperationEnded:
    """A call to the worker interface has ended.

    Attributes:
        call: The call.
        outcome: Its outcome; None if the lease was over before the call.
    """

    call: Call
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
    """A call and the time from which it may no longer be made.

    Attributes:
        call: The call.
        before: Monotonic time in seconds.
    """

    call: Call
    before: float
