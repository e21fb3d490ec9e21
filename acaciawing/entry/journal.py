"""Task that keeps this entry instance on the roster and reports its counts."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from acaciawing.budgets import PlanCount, PlanCounts
from acaciawing.entry.counts import PlanCounts as Counts
from acaciawing.fold import FleetState
from acaciawing.membership import EntryJoined, EntryLeft
from acaciawing.platform import CONTROL_STREAM, Appended, Log
from acaciawing.records import encode

# The availability budget holds back what can fail in 10 s.
COUNTS_S = 10.0
# A roster larger than this reports less often, so that all together append about
# one report a second. The gate refuses moves from a report that is 30 s old.
_FULL_RATE_MEMBERS = 12
_LONGEST_S = 25.0
# A join that was not read back by then is sent again; the fold ignores repeats.
_RESEND_S = 2.0


def counts_interval_s(members: int) -> float:
    """Seconds between two reports of one instance.

    >>> counts_interval_s(9), counts_interval_s(60)
    (10.0, 25.0)
    """
    stretched = COUNTS_S * max(1.0, members / _FULL_RATE_MEMBERS)
    return min(_LONGEST_S, stretched)


def report(
    member: EntryJoined, interval: int, counts: Mapping[str, Counts]
) -> PlanCounts:
    """Counts of all plans since the start, as a log record.

    Args:
        member: This instance.
        interval: Number of the report, from 0.
        counts: Final answers by plan. Refusals of a plan above its allowance
            are left out: they don't count against the promise.
    """
    totals = tuple(
        PlanCount(name, plan.succeeded + plan.failed, plan.failed)
        for name, plan in sorted(counts.items())
    )
    return PlanCounts(member.instance, member.incarnation, interval, totals)


@dataclass(frozen=True)
class _Ended:
    members: tuple[EntryJoined, ...]


class Journal(threading.Thread):
    """Appends this instance's own records; owns its log client.

    Args:
        member: This instance.
        log: Log client of this task.
        counts: Reads the final answers by plan.
        appended: Called after an append, so that the reader reads at once.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        member: EntryJoined,
        log: Log,
        counts: Callable[[], Mapping[str, Counts]],
        appended: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Keeps the arguments; `start` begins."""
        super().__init__(name="journal", daemon=True)
        self._member = member
        self._writer = f"{member.instance}/{member.incarnation}"
        self._log = log
        self._counts = counts
        self._appended = appended
        self._clock = clock
        self._inbox: SimpleQueue[FleetState | _Ended | None] = SimpleQueue()
        self._state: FleetState | None = None
        self._sent_at = float("-inf")
        self._reported_at = float("-inf")
        self._interval = 0

    def state_changed(self, state: FleetState) -> None:
        """Passes on a state read from the log; not one of a peer."""
        self._inbox.put(state)

    def ended(self, members: tuple[EntryJoined, ...]) -> None:
        """Passes on the members that the platform reports as ended."""
        self._inbox.put(_Ended(members))

    def stop(self) -> None:
        """Reports the last counts, leaves the roster and ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Handles messages until stopped."""
        while True:
            try:
                message = self._inbox.get(timeout=0.5)
            except Empty:
                self._look()
                continue
            if message is None:
                break
            if isinstance(message, _Ended):
                for member in message.members:
                    self._append(EntryLeft(member.instance, member.incarnation))
            else:
                self._state = message
            self._look()
        self._append(report(self._member, self._interval, self._counts()))
        self._append(EntryLeft(self._member.instance, self._member.incarnation))

    def _look(self) -> None:
        if self._state is None:
            return
        now = self._clock()
        known = self._state.roster.members.get(self._member.instance)
        if known != self._member:
            if now - self._sent_at >= _RESEND_S:
                self._sent_at = now
                self._append(self._member)
            return
        every = counts_interval_s(len(self._state.roster.members))
        if now - self._reported_at >= every:
            self._reported_at = now
            self._append(report(self._member, self._interval, self._counts()))
            self._interval += 1

    def _append(self, record: object) -> None:
        outcome = self._log.append(CONTROL_STREAM, encode(record, self._writer))
        if isinstance(outcome, Appended):
            self._appended()
