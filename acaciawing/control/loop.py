"""Control rounds of one entry instance, without the thread that runs them.

The loop appends the records that a round decides. The reader of the control
stream reports whether the fold accepted them. The loop calls the worker
interface only for steps that were read back as accepted, and only under a lease
whose record it has read back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from acaciawing.control.decisions import DECISION_FUNCTIONS, DecisionFunction
from acaciawing.control.messages import (
    ControlMessage,
    DemandObserved,
    ListingRead,
    LiveInstancesChanged,
    OperationEnded,
    StepsFolded,
    TimedCall,
)
from acaciawing.control.move_cost import (
    DEFAULT_MOVE_COST_S,
    MoveCost,
    observe_move,
)
from acaciawing.control.rounds import decide_round
from acaciawing.control.view import (
    STATUS,
    TASK_OPERATIONS,
    ControlView,
    Round,
    WorkerCall,
)
from acaciawing.control.wave_decisions import WAVE_PREFIX, is_current_step
from acaciawing.fold import FleetState, SnapshotWritten, Step
from acaciawing.leases import (
    MAX_LEASE_S,
    Confirmation,
    Fence,
    LeaseClaimed,
    LeasesReleased,
    LeasesRenewed,
    action_deadline,
    held_leases,
    is_held,
    update_confirmation,
)
from acaciawing.outcomes import Accepted
from acaciawing.platform import (
    CONTROL_STREAM,
    Appended,
    Batch,
    Log,
    NotAppended,
    OperationDone,
    OperationNotDone,
    TasksReported,
)
from acaciawing.records import encode
from acaciawing.snapshots import SNAPSHOT_STREAM, schema_of, split

# A record that was not read back within this time may be decided and sent
# again. A repeat is harmless, because the fold accepts only the first one.
_RESEND_S = 2.0

# Retention of send times. A lease record that is read back later than this
# confirms no lease, since the lease has expired by then.
_SENT_RETENTION_S = 60.0

# Interval of reading the oldest retained offset, which changes slowly and is
# used only to schedule snapshots.
_BOUNDS_INTERVAL_S = 10.0


@dataclass(frozen=True)
class _Sent:
    """A sent record, and the times of its first and last sending."""

    record: object
    first_at: float
    last_at: float


class ControlLoop:
    """State and logic of the control task; used by one thread.

    Args:
        writer: ``instance/incarnation`` of this process.
        log: Log client that only this loop uses.
        clock: Monotonic clock that also advances while the machine is
            suspended.
        random: Random source.
        call: Receives each call with its deadline.
        decisions: Decision functions of other packages.
        move_cost_s: Time for which a move takes an instance out of service,
            used until a move has been measured.
    """

    def __init__(
        self,
        writer: str,
        log: Log,
        clock: Callable[[], float],
        random: Random,
        call: Callable[[TimedCall], None],
        decisions: Sequence[DecisionFunction] = DECISION_FUNCTIONS,
        move_cost_s: float = DEFAULT_MOVE_COST_S,
    ) -> None:
        """Starts with an empty state and view, and without leases."""
        self._log = log
        self._clock = clock
        self._random = random
        self._call = call
        self._decisions = decisions
        self._state = FleetState()
        self._view = ControlView(writer)
        self._move_cost = MoveCost(move_cost_s)
        self._confirmation: Confirmation | None = None
        self._sent: dict[bytes, _Sent] = {}
        self._released: frozenset[Fence] = frozenset()
        self._running: frozenset[str] = frozenset()
        self._log_time: tuple[float, float] | None = None
        self._bounds_read_at: float | None = None
        self._subjects: tuple[str, ...] = ()

    @property
    def state(self) -> FleetState:
        """The newest folded state."""
        return self._state

    def holds_lease(self, subject: str) -> bool:
        """Returns whether this process held a lease in the last round."""
        return subject in self._view.held

    def handle(self, message: ControlMessage) -> None:
        """Updates the state or the view with a message."""
        match message:
            case StepsFolded(state, steps):
                for step in steps:
                    self._handle_step(step)
                if not steps:
                    self._advance_log_time(_min_log_time(state))
                self._state = state
            case LiveInstancesChanged(live):
                self._view = replace(self._view, live=live)
            case ListingRead(listing):
                self._view = replace(self._view, listing=listing)
            case DemandObserved(pools):
                self._view = replace(
                    self._view, demand=pools, demand_at=self._clock()
                )
            case OperationEnded():
                self._operation_ended(message)

    def round(self, stopping: bool = False) -> Round:
        """Runs one round.

        Args:
            stopping: Whether to release all leases and do nothing else.

        Returns:
            The decisions of the round.
        """
        now = self._clock()
        self._view = self._updated_view(now, stopping)
        decided = decide_round(
            self._state, self._view, now, self._random, self._decisions
        )
        self._subjects = decided.subjects
        if decided.history is not None:
            self._view = replace(self._view, history=decided.history)
        for record in decided.records:
            if not self._append(record):
                return decided
        for call in decided.calls:
            self._post_call(call)
        if decided.snapshot is not None:
            self._write_snapshot(decided.snapshot)
        return decided

    def _updated_view(self, now: float, stopping: bool) -> ControlView:
        """Returns the view for the next round."""
        view, state = self._view, self._state
        log_now = self._log_now(now)
        held = held_leases(state.leases, view.writer, self._confirmation)
        held = {
            s: lease
            for s, lease in held.items()
            if lease.fence not in self._released
        }
        free = {
            s: view.free_since.get(s, now)
            for s in self._subjects
            if not is_held(state.leases, s, log_now)
        }
        self._sent = {
            payload: sent
            for payload, sent in self._sent.items()
            if now - sent.first_at < _SENT_RETENTION_S
        }
        pending_records = frozenset(
            sent.record
            for sent in self._sent.values()
            if now - sent.last_at < _RESEND_S
        )
        confirmation = self._confirmation
        absent_since = self._absent_since(now)
        return replace(
            view,
            held=held,
            counted_from=None
            if confirmation is None
            else confirmation.counted_from,
            free_since=free,
            log_now=log_now,
            first_offset=self._first_offset(held, now),
            absent_since=absent_since,
            unknown_instances=view.unknown_instances & set(absent_since),
            finished=frozenset(
                f for f in view.finished if _epoch_is_current(state, f)
            ),
            pending_records=pending_records,
            move_cost_s=self._move_cost.cost_s,
            stopping=stopping,
        )

    def _absent_since(self, now: float) -> dict[str, float]:
        view = self._view
        if view.listing is None:
            return {}
        listed = {i.instance for i in view.listing.instances}
        owned = self._state.ownership.instances
        return {
            instance: view.absent_since.get(instance, now)
            for instance in owned
            if instance not in listed
        }

    def _first_offset(self, held: object, now: float) -> int:
        """Returns the log's oldest offset; reads it only while holding a lease."""
        read_at = self._bounds_read_at
        if not held or (
            read_at is not None and now - read_at < _BOUNDS_INTERVAL_S
        ):
            return self._view.first_offset
        self._bounds_read_at = now
        outcome = self._log.read(CONTROL_STREAM, self._state.offset, 1)
        if isinstance(outcome, Batch):
            return outcome.first_offset
        return self._view.first_offset

    def _append(self, record: object) -> bool:
        """Appends a record; returns whether the round may go on.

        The clock is read again, because earlier appends of the round may have
        taken longer than the lease. A record whose lease has ended is skipped.
        After an append without a confirmation the round ends.
        """
        now = self._clock()
        fence = getattr(record, "fence", None)
        if isinstance(fence, Fence) and fence != self._view.fence(
            fence.subject, now
        ):
            return True
        self._record_sending(record, now)
        payload = encode(record, self._view.writer)
        known = self._sent.get(payload)
        first_at = now if known is None else known.first_at
        self._sent[payload] = _Sent(record, first_at, now)
        outcome = self._log.append(CONTROL_STREAM, payload)
        if isinstance(outcome, NotAppended) and known is None:
            del self._sent[payload]
        return isinstance(outcome, Appended)

    def _record_sending(self, record: object, now: float) -> None:
        if isinstance(record, LeasesRenewed):
            self._view = replace(
                self._view,
                renewal_sent_at=now,
                sequence=self._view.sequence + 1,
            )
        elif isinstance(record, LeasesReleased):
            # These leases are no longer used, even if the append fails.
            self._released |= set(record.leases)
            released = {fence.subject for fence in record.leases}
            held = self._view.held
            remaining = {s: held[s] for s in held if s not in released}
            self._view = replace(self._view, held=remaining)

    def _advance_log_time(self, at: float) -> None:
        """Records that the log's clock has reached ``at``."""
        now = self._clock()
        if self._log_time is None or at > self._log_now(now):
            self._log_time = (at, now)

    def _log_now(self, now: float) -> float:
        """Returns a lower bound of the log's time.

        It lags by at most the age of the newest record when it was read.
        """
        if self._log_time is None:
            return 0.0
        appended_at, read_at = self._log_time
        return appended_at + now - read_at

    def _handle_step(self, step: Step) -> None:
        self._advance_log_time(step.position.appended_at)
        self._move_cost = observe_move(self._move_cost, step)
        if step.writer != self._view.writer or step.record is None:
            return
        sent = self._sent.pop(encode(step.record, step.writer), None)
        if sent is None or not isinstance(step.outcome, Accepted):
            return
        if isinstance(step.record, LeaseClaimed | LeasesRenewed):
            self._confirmation = update_confirmation(
                self._confirmation,
                step.state.leases,
                step.writer,
                sent.first_at,
                step.record.duration_s,
            )

    def _post_call(self, call: WorkerCall) -> None:
        """Posts a call, unless it is running already or its lease has ended."""
        lease = self._view.held.get(call.fence.subject)
        if lease is None or call.operation_id in self._running:
            return
        self._running |= {call.operation_id}
        self._call(TimedCall(call, action_deadline(lease)))

    def _operation_ended(self, message: OperationEnded) -> None:
        call, outcome, view = message.call, message.outcome, self._view
        self._running -= {call.operation_id}
        if isinstance(outcome, OperationDone):
            statuses = {**view.statuses, call.instance: outcome.instance}
            unknown_instances = view.unknown_instances - {call.instance}
            read_at = {**view.status_at, call.instance: self._clock()}
            view = replace(
                view,
                statuses=statuses,
                status_at=read_at,
                unknown_instances=unknown_instances,
            )
            if call.operation != STATUS:
                finished = view.finished | {call.operation_id}
                view = replace(view, finished=finished)
        elif isinstance(outcome, OperationNotDone) and outcome.instance_unknown:
            view = replace(
                view, unknown_instances=view.unknown_instances | {call.instance}
            )
        if call.operation in TASK_OPERATIONS:
            # A call without an answer invalidates the last report. Its time is
            # recorded in any case, so that an unreachable worker isn't called
            # in every round.
            tasks = dict(view.tasks)
            tasks.pop(call.instance, None)
            if isinstance(outcome, TasksReported):
                tasks[call.instance] = outcome.tasks
            read_at = {**view.tasks_at, call.instance: self._clock()}
            view = replace(view, tasks=tasks, tasks_at=read_at)
        self._view = view

    def _write_snapshot(self, fence: Fence) -> None:
        self._view = replace(self._view, snapshot_sent_at=self._clock())
        state = self._state
        parts = split(state, state.offset, schema_of(FleetState))
        for part in parts:
            payload = encode(part, self._view.writer)
            outcome = self._log.append(SNAPSHOT_STREAM, payload)
            if not isinstance(outcome, Appended):
                return  # A later attempt writes the same parts.
        mark = SnapshotWritten(parts[0].snapshot_id, state.offset, fence)
        self._append(mark)


def _min_log_time(state: FleetState) -> float:
    """Returns a lower bound of the log's time, derived from the leases.

    A state from a snapshot comes without the times of records. Without this
    bound, its leases would never expire if all their holders have ended.
    """
    sessions = state.leases.sessions.values()
    ends = (session.ends_at - MAX_LEASE_S for session in sessions)
    return max(ends, default=0.0)


def _epoch_is_current(state: FleetState, operation_id: str) -> bool:
    """Returns whether an operation belongs to the instance's current epoch."""
    if operation_id.startswith(WAVE_PREFIX):
        return is_current_step(state.waves, operation_id)
    instance, epoch, _ = operation_id.rsplit("/", 2)
    known = state.ownership.instances.get(instance)
    return known is not None and str(known.epoch) == epoch
