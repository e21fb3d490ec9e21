"""Control rounds of one entry instance, without the thread that runs them.

The loop appends what a round decides and learns from the reader of the control
stream what became of it. It calls the worker interface only for steps that the
state shows, which is to say read back as accepted, and under a lease whose own
record it has read back.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from acaciawing.control.decisions import DECISIONS, Decide
from acaciawing.control.messages import (
    ControlMessage,
    DemandObserved,
    ListingRead,
    LiveInstancesChanged,
    OperationEnded,
    StepsFolded,
    TimedCall,
)
from acaciawing.control.move_times import (
    MOVE_COST_S,
    MoveTimes,
    observe_move,
)
from acaciawing.control.rounds import decide_round
from acaciawing.control.view import (
    STATUS,
    TASK_OPERATIONS,
    Call,
    ControlView,
    Round,
)
from acaciawing.control.wave_rounds import WAVE_PREFIX, is_current
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

# A record that was not read back by then is decided again; a repeat is harmless
# since the fold takes the first.
_RESEND_S = 2.0

# How long the time of a send is kept. A lease record that is read back later
# than this is not counted from, since it is over in any case.
_SENT_KEPT_S = 60.0

# The oldest kept offset matters only for snapshots and changes slowly.
_BOUNDS_S = 10.0


@dataclass(frozen=True)
class _Sent:
    record: object
    first_at: float
    last_at: float


class ControlLoop:
    """State and steps of the control task; one thread calls it.

    Args:
        writer: ``instance/incarnation`` of this process.
        log: Log client that only this loop uses.
        clock: Monotonic clock that goes on while the machine is suspended.
        random: Random source.
        call: Receives each call with the time until which it may be made.
        decisions: Decisions of other packages.
        move_cost_s: Time for which a move takes an instance out of service,
            until moves are measured.
    """

    def __init__(
        self,
        writer: str,
        log: Log,
        clock: Callable[[], float],
        random: Random,
        call: Callable[[TimedCall], None],
        decisions: Sequence[Decide] = DECISIONS,
        move_cost_s: float = MOVE_COST_S,
    ) -> None:
        """Starts without a state, a live view and leases."""
        self._log = log
        self._clock = clock
        self._random = random
        self._call = call
        self._decisions = decisions
        self._state = FleetState()
        self._view = ControlView(writer)
        self._move_times = MoveTimes(move_cost_s)
        self._confirmation: Confirmation | None = None
        self._sent: dict[bytes, _Sent] = {}
        self._released: frozenset[Fence] = frozenset()
        self._running: frozenset[str] = frozenset()
        self._log_time: tuple[float, float] | None = None
        self._bounds_at: float | None = None
        self._wanted: tuple[str, ...] = ()

    @property
    def state(self) -> FleetState:
        """The newest state."""
        return self._state

    def holds_lease(self, subject: str) -> bool:
        """Whether this process held a lease in the last round."""
        return subject in self._view.held

    def handle(self, message: ControlMessage) -> None:
        """Takes note of a message."""
        match message:
            case StepsFolded(state, steps):
                for step in steps:
                    self._read_back(step)
                if not steps:
                    self._note_log_time(_least_log_time(state))
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
            What was decided.
        """
        now = self._clock()
        self._view = self._looked(now, stopping)
        decided = decide_round(
            self._state, self._view, now, self._random, self._decisions
        )
        self._wanted = decided.subjects
        if decided.history is not None:
            self._view = replace(self._view, history=decided.history)
        for record in decided.records:
            if not self._append(record):
                return decided
        for call in decided.calls:
            self._start(call)
        if decided.snapshot is not None:
            self._write_snapshot(decided.snapshot)
        return decided

    def _looked(self, now: float, stopping: bool) -> ControlView:
        """Returns the view of a round."""
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
            for s in self._wanted
            if not is_held(state.leases, s, log_now)
        }
        self._sent = {
            payload: sent
            for payload, sent in self._sent.items()
            if now - sent.first_at < _SENT_KEPT_S
        }
        unread = frozenset(
            sent.record
            for sent in self._sent.values()
            if now - sent.last_at < _RESEND_S
        )
        counted = self._confirmation
        absent = self._absent(now)
        return replace(
            view,
            held=held,
            counted_from=None if counted is None else counted.counted_from,
            free_since=free,
            log_now=log_now,
            first_offset=self._first_offset(held, now),
            absent_since=absent,
            gone=view.gone & set(absent),
            finished=frozenset(
                f for f in view.finished if _epoch_is_current(state, f)
            ),
            unread=unread,
            move_cost_s=self._move_times.cost_s,
            stopping=stopping,
        )

    def _absent(self, now: float) -> dict[str, float]:
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
        """Reads the log's oldest offset now and then while it has a lease."""
        checked = self._bounds_at
        if not held or (checked is not None and now - checked < _BOUNDS_S):
            return self._view.first_offset
        self._bounds_at = now
        outcome = self._log.read(CONTROL_STREAM, self._state.offset, 1)
        if isinstance(outcome, Batch):
            return outcome.first_offset
        return self._view.first_offset

    def _append(self, record: object) -> bool:
        """Appends a record; returns whether the log has answered.

        The clock is read again, since earlier appends of the round may have
        taken longer than the lease.
        """
        now = self._clock()
        fence = getattr(record, "fence", None)
        if isinstance(fence, Fence) and fence != self._view.fence(
            fence.subject, now
        ):
            return True
        self._note_sending(record, now)
        payload = encode(record, self._view.writer)
        known = self._sent.get(payload)
        first_at = now if known is None else known.first_at
        self._sent[payload] = _Sent(record, first_at, now)
        outcome = self._log.append(CONTROL_STREAM, payload)
        if isinstance(outcome, NotAppended) and known is None:
            del self._sent[payload]
        return isinstance(outcome, Appended)

    def _note_sending(self, record: object, now: float) -> None:
        if isinstance(record, LeasesRenewed):
            self._view = replace(
                self._view,
                renewal_sent_at=now,
                sequence=self._view.sequence + 1,
            )
        elif isinstance(record, LeasesReleased):
            # From here on nothing is done under them, whatever the log says.
            self._released |= set(record.leases)
            released = {fence.subject for fence in record.leases}
            held = self._view.held
            kept = {s: held[s] for s in held if s not in released}
            self._view = replace(self._view, held=kept)

    def _note_log_time(self, at: float) -> None:
        """Takes note that the log's clock has reached ``at``."""
        now = self._clock()
        if self._log_time is None or at > self._log_now(now):
            self._log_time = (at, now)

    def _log_now(self, now: float) -> float:
        """Returns the log's time, or less by the age of the newest record."""
        if self._log_time is None:
            return 0.0
        appended_at, read_at = self._log_time
        return appended_at + now - read_at

    def _read_back(self, step: Step) -> None:
        self._note_log_time(step.position.appended_at)
        self._move_times = observe_move(self._move_times, step)
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

    def _start(self, call: Call) -> None:
        """Passes a call on, unless it is under way."""
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
            gone = view.gone - {call.instance}
            read_at = {**view.status_at, call.instance: self._clock()}
            view = replace(
                view, statuses=statuses, status_at=read_at, gone=gone
            )
            if call.operation != STATUS:
                finished = view.finished | {call.operation_id}
                view = replace(view, finished=finished)
        elif isinstance(outcome, OperationNotDone) and outcome.instance_unknown:
            view = replace(view, gone=view.gone | {call.instance})
        if call.operation in TASK_OPERATIONS:
            # Without an answer the last report no longer counts; the time is
            # noted all the same, so that a dead worker is not asked all along.
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
                return  # Written again later; its parts are the same.
        mark = SnapshotWritten(parts[0].snapshot_id, state.offset, fence)
        self._append(mark)


def _least_log_time(state: FleetState) -> float:
    """Returns a time that the log's clock has passed, from the leases.

    A state from a snapshot comes without times of records. Without this, its
    leases would seem held for good if every holder has ended.
    """
    sessions = state.leases.sessions.values()
    ends = (session.ends_at - MAX_LEASE_S for session in sessions)
    return max(ends, default=0.0)


def _epoch_is_current(state: FleetState, operation_id: str) -> bool:
    """Returns whether an operation belongs to the instance's present epoch."""
    if operation_id.startswith(WAVE_PREFIX):
        return is_current(state.waves, operation_id)
    instance, epoch, _ = operation_id.rsplit("/", 2)
    known = state.ownership.instances.get(instance)
    return known is not None and str(known.epoch) == epoch
