"""Task that registers this entry instance and appends its request counts."""

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

# The availability budget reserves the failures that can occur in 10 s.
COUNTS_INTERVAL_S = 10.0
# With more members than this, each one reports less often, so that all together
# append about one report a second.
_FULL_RATE_MEMBERS = 12
# The gate refuses reservations once a member's last report is over 30 s old.
_MAX_COUNTS_INTERVAL_S = 25.0
# A join that was not read back by then is appended again; the fold ignores
# repeats.
_JOIN_RETRY_S = 2.0


def counts_interval_s(members: int) -> float:
    """Returns the seconds between two reports of one instance.

    >>> counts_interval_s(9), counts_interval_s(60)
    (10.0, 25.0)
    """
    stretched = COUNTS_INTERVAL_S * max(1.0, members / _FULL_RATE_MEMBERS)
    return min(_MAX_COUNTS_INTERVAL_S, stretched)


def counts_record(
    member: EntryJoined, report_number: int, counts: Mapping[str, Counts]
) -> PlanCounts:
    """Returns the counts of all plans since the start as a log record.

    Args:
        member: This instance.
        report_number: Number of the report, from 0.
        counts: Final answers by plan. Refusals that the caller causes are left
            out: they don't count against the promised rate.
    """
    totals = tuple(
        PlanCount(name, plan.succeeded + plan.failed, plan.failed)
        for name, plan in sorted(counts.items())
    )
    return PlanCounts(
        member.instance, member.incarnation, report_number, totals
    )


@dataclass(frozen=True)
class _MembersEnded:
    members: tuple[EntryJoined, ...]


class InstanceRecordWriter(threading.Thread):
    """Appends joins, leaves and request counts; owns its log client.

    Args:
        member: This instance.
        log: Log client of this task.
        counts: Reads the final answers by plan.
        on_append: Called after an append; makes the observer read the log.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        member: EntryJoined,
        log: Log,
        counts: Callable[[], Mapping[str, Counts]],
        on_append: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Stores the arguments; `start` begins."""
        super().__init__(name="journal", daemon=True)
        self._member = member
        self._writer = f"{member.instance}/{member.incarnation}"
        self._log = log
        self._counts = counts
        self._on_append = on_append
        self._clock = clock
        self._inbox: SimpleQueue[FleetState | _MembersEnded | None] = (
            SimpleQueue()
        )
        self._state: FleetState | None = None
        self._join_sent_at = float("-inf")
        self._reported_at = float("-inf")
        self._report_number = 0

    def update_state(self, state: FleetState) -> None:
        """Receives a state read from the log, not one from a peer."""
        self._inbox.put(state)

    def report_ended(self, members: tuple[EntryJoined, ...]) -> None:
        """Receives the members that the platform reports as ended."""
        self._inbox.put(_MembersEnded(members))

    def stop(self) -> None:
        """Reports the last counts, leaves the roster and ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Handles messages until stopped."""
        while True:
            try:
                message = self._inbox.get(timeout=0.5)
            except Empty:
                self._append_pending()
                continue
            if message is None:
                break
            if isinstance(message, _MembersEnded):
                for member in message.members:
                    self._append(EntryLeft(member.instance, member.incarnation))
            else:
                self._state = message
            self._append_pending()
        self._append(
            counts_record(self._member, self._report_number, self._counts())
        )
        self._append(EntryLeft(self._member.instance, self._member.incarnation))

    def _append_pending(self) -> None:
        if self._state is None:
            return
        now = self._clock()
        known = self._state.roster.members.get(self._member.instance)
        if known != self._member:
            if now - self._join_sent_at >= _JOIN_RETRY_S:
                self._join_sent_at = now
                self._append(self._member)
            return
        interval_s = counts_interval_s(len(self._state.roster.members))
        if now - self._reported_at >= interval_s:
            self._reported_at = now
            self._append(
                counts_record(self._member, self._report_number, self._counts())
            )
            self._report_number += 1

    def _append(self, record: object) -> None:
        outcome = self._log.append(CONTROL_STREAM, encode(record, self._writer))
        if isinstance(outcome, Appended):
            self._on_append()
