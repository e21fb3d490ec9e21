"""Task that collects the demand of all pools while holding the lending lease.

Each entry instance knows only the requests sent to it. The demand in the gossip
is rounded to powers of four and stays inside a zone, so the lease holder
requests exact numbers from each live member.
"""

import threading
from collections.abc import Callable, Mapping
from queue import Empty, SimpleQueue

import msgspec

from acaciawing.control import DemandObserved
from acaciawing.decoding import DECODE_ERRORS

DEMAND_PATH = "/v1/peer/demand"

# With 60 members, one answer of up to 4 KB each 0.5 s stays within the 10 KB/s
# of a node. A small fleet is queried every two seconds.
_MIN_INTERVAL_S = 2.0
_INTERVAL_PER_MEMBER_S = 0.5

SendRequest = Callable[[str], bytes | None]


def total_demand(
    answers: Mapping[str, Mapping[str, float] | None],
) -> dict[str, float] | None:
    """Sums the demand of all members by pool.

    Args:
        answers: Demand by member and pool; None for one that did not answer.

    Returns:
        The sum, or None if the answer of a live member is missing: without it
        a pool with demand could look idle.

    >>> total_demand({"a": {"visits": 2.0}, "b": {"visits": 1.0}})
    {'visits': 3.0}
    >>> total_demand({"a": {"visits": 2.0}, "b": None})
    """
    total: dict[str, float] = {}
    for answer in answers.values():
        if answer is None:
            return None
        for pool, demand in answer.items():
            total[pool] = total.get(pool, 0.0) + demand
    return total


class DemandTask(threading.Thread):
    """Collects demand while this process holds the lending lease.

    Args:
        instance: Id of this entry instance.
        holds_lease: Whether this process holds the lease.
        own_demand: Returns the demand of this instance by pool.
        request: Sends a request for `DEMAND_PATH` to a member and returns the
            answer.
        report: Receives the demand of all members.
    """

    def __init__(
        self,
        instance: str,
        holds_lease: Callable[[], bool],
        own_demand: Callable[[], Mapping[str, float]],
        request: SendRequest,
        report: Callable[[DemandObserved], None],
    ) -> None:
        """Stores the arguments; `start` begins."""
        super().__init__(name="demand", daemon=True)
        self._instance = instance
        self._holds_lease = holds_lease
        self._own_demand = own_demand
        self._request = request
        self._report = report
        self._live: tuple[str, ...] = (instance,)
        self._decoder = msgspec.json.Decoder(dict[str, float])
        self._inbox: SimpleQueue[tuple[str, ...] | None] = SimpleQueue()

    def answer_peer(self, payload: bytes) -> bytes:
        """Returns the demand of this instance for a peer."""
        return msgspec.json.encode(self._own_demand())

    def set_live(self, live: tuple[str, ...]) -> None:
        """Sets the ids of the live members, this instance included."""
        self._inbox.put(live)

    def stop(self) -> None:
        """Ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Collects until stopped."""
        while True:
            members = len(self._live)
            try:
                live = self._inbox.get(
                    timeout=max(
                        _MIN_INTERVAL_S, _INTERVAL_PER_MEMBER_S * members
                    )
                )
            except Empty:
                if self._holds_lease():
                    self.collect()
                continue
            if live is None:
                return
            self._live = live

    def collect(self) -> None:
        """Requests the demand of all members; reports only a complete sum."""
        answers: dict[str, Mapping[str, float] | None] = {
            self._instance: self._own_demand()
        }
        for member in self._live:
            if member != self._instance:
                answers[member] = self._decode(self._request(member))
        demand = total_demand(answers)
        if demand is not None:
            self._report(DemandObserved(demand))

    def _decode(self, answer: bytes | None) -> Mapping[str, float] | None:
        if answer is None:
            return None
        try:
            return self._decoder.decode(answer)
        except DECODE_ERRORS:
            return None
