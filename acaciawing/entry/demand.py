"""Task that collects the demand of all pools for the lending lease.

Each entry instance sees only the requests that it was sent. The demand in the
gossip is rounded to powers of four and stays inside a zone, so the holder of
the lease asks each live member for exact numbers.
"""

import threading
from collections.abc import Callable, Mapping
from queue import Empty, SimpleQueue

import msgspec

from acaciawing.control import DemandObserved

DEMAND_PATH = "/v1/peer/demand"

# At 60 members an answer each 0.5 s of up to 4 KB stays within the 10 KB/s of
# a node; a small fleet is asked every two seconds.
_INTERVAL_S = 2.0
_INTERVAL_PER_MEMBER_S = 0.5

Ask = Callable[[str], bytes | None]


def whole_demand(
    answers: Mapping[str, Mapping[str, float] | None],
) -> dict[str, float] | None:
    """Adds up the demand of all members by pool.

    Args:
        answers: Demand by member and pool; None for one that did not answer.

    Returns:
        The sum, or None if a live member's part is missing: a sum without it
        would show idle pools that are not.

    >>> whole_demand({"a": {"visits": 2.0}, "b": {"visits": 1.0}})
    {'visits': 3.0}
    >>> whole_demand({"a": {"visits": 2.0}, "b": None})
    """
    total: dict[str, float] = {}
    for answer in answers.values():
        if answer is None:
            return None
        for pool, demand in answer.items():
            total[pool] = total.get(pool, 0.0) + demand
    return total


class DemandTask(threading.Thread):
    """Asks the live members while this process holds the lending lease.

    Args:
        instance: Id of this entry instance.
        wanted: Whether this process holds the lease.
        own: Own demand by pool.
        ask: Sends `DEMAND_PATH` to a member and returns the answer.
        report: Receives the demand of all.
    """

    def __init__(
        self,
        instance: str,
        wanted: Callable[[], bool],
        own: Callable[[], Mapping[str, float]],
        ask: Ask,
        report: Callable[[DemandObserved], None],
    ) -> None:
        """Keeps the arguments; `start` begins."""
        super().__init__(name="demand", daemon=True)
        self._instance = instance
        self._wanted = wanted
        self._own = own
        self._ask = ask
        self._report = report
        self._live: tuple[str, ...] = (instance,)
        self._decoder = msgspec.json.Decoder(dict[str, float])
        self._inbox: SimpleQueue[tuple[str, ...] | None] = SimpleQueue()

    def answer_peer(self, payload: bytes) -> bytes:
        """Answers a peer with the demand that this instance sees."""
        return msgspec.json.encode(self._own())

    def set_live(self, live: tuple[str, ...]) -> None:
        """Tells the ids of the live members, the own included."""
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
                    timeout=max(_INTERVAL_S, _INTERVAL_PER_MEMBER_S * members)
                )
            except Empty:
                if self._wanted():
                    self.collect()
                continue
            if live is None:
                return
            self._live = live

    def collect(self) -> None:
        """Asks all members once; reports only a complete sum."""
        answers: dict[str, Mapping[str, float] | None] = {
            self._instance: self._own()
        }
        for member in self._live:
            if member != self._instance:
                answers[member] = self._decoded(self._ask(member))
        demand = whole_demand(answers)
        if demand is not None:
            self._report(DemandObserved(demand))

    def _decoded(self, answer: bytes | None) -> Mapping[str, float] | None:
        if answer is None:
            return None
        try:
            return self._decoder.decode(answer)
        except msgspec.DecodeError:
            return None
