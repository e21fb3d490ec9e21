"""Forwards results of the log and list observers to the other tasks."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from acaciawing.configuration import NO_VERSION, index
from acaciawing.control import (
    ControlTask,
    ListingRead,
    StepsFolded,
)
from acaciawing.entry.caller_application import ServingState
from acaciawing.entry.decision_recorder import DecisionRecorder
from acaciawing.entry.demand import DemandTask
from acaciawing.entry.forwarding import Member
from acaciawing.entry.gossip import GossipTask
from acaciawing.entry.history import change_of, decisions_of
from acaciawing.entry.instance_records import InstanceRecordWriter
from acaciawing.entry.log_clock import LogClock
from acaciawing.entry.messages import ListingUpdated, StateChanged
from acaciawing.entry.observers import ReadResult
from acaciawing.entry.scheduler import Scheduler
from acaciawing.fold import FleetState, Step
from acaciawing.idempotency.task import ClaimTask
from acaciawing.membership import (
    ENTRY_POOL,
    EntryJoined,
    Roster,
    ended_members,
)
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.platform import Listing, ListUnavailable
from acaciawing.telemetry import Event, LabelledCounter, log_event


@dataclass(frozen=True)
class DaemonTasks:
    """Tasks that receive new states and instance lists."""

    scheduler: Scheduler
    claims: ClaimTask
    record_writer: InstanceRecordWriter
    control: ControlTask
    gossip: GossipTask
    demand: DemandTask


class UpdateDistributor:
    """Forwards the results of the log and list observers to the tasks.

    `handle_log_result` is called by the log observer only and
    `handle_list_result` by the list observer only; each of them writes
    attributes of its own.

    Args:
        member: This entry instance.
        serving_state: Configuration and readiness for the request threads.
        tasks: Tasks that receive the results.
        recorder: Stores the decisions and changes found in the records.
    """

    def __init__(
        self,
        member: EntryJoined,
        serving_state: ServingState,
        tasks: DaemonTasks,
        recorder: DecisionRecorder,
    ) -> None:
        """Starts without a state and without a list."""
        self._recorder = recorder
        self._record_counts = LabelledCounter()
        self._next_offset = 0
        self._log_clock = LogClock(time.monotonic, time.time)
        self._member = member
        self._serving_state = serving_state
        self._tasks = tasks
        self._state: FleetState | None = None
        self._version = NO_VERSION
        self._log_up = True
        self._joined = False
        self._listing: Listing | None = None
        self._listed_at: dict[str, float] = {}
        self._list_up = True

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._version

    @property
    def log_up(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._log_up

    def log_now(self) -> float:
        """Returns the log's time in seconds; for any thread."""
        return self._log_clock.now()

    @property
    def record_counts(self) -> Mapping[tuple[str, str], int]:
        """Number of records read, by outcome and reason; for any thread."""
        return self._record_counts.read()

    def other_members(self) -> tuple[Member, ...]:
        """Returns the other members of the roster; for any thread."""
        state = self._state
        if state is None:
            return ()
        return tuple(
            Member(member.address, member.zone, _member_name(member))
            for name, member in sorted(state.roster.members.items())
            if name != self._member.instance
        )

    def address_of(self, instance: str) -> str:
        """Returns a member's administration address or ""; for any thread."""
        state = self._state
        member = None if state is None else state.roster.members.get(instance)
        return "" if member is None else member.address

    def handle_log_result(self, result: ReadResult) -> None:
        """Handles a result of the log observer."""
        self._report_log_availability(result)
        for step in result.steps:
            _report_ignored(step)
            self.record_step(step)
        if result.state is not self._state:
            self._distribute_state(result)
        if result.caught_up and self._state is not None:
            self._tasks.record_writer.update_state(self._state)
        self._check_ready(result)

    def record_step(self, step: Step) -> None:
        """Counts a record and stores its decisions and operator changes.

        The log observer calls this for each record, also during a recovery.
        A recovery may read a record twice; the second time is ignored.
        """
        offset = step.position.offset
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        self._log_clock.observe(step.position.appended_at)
        ignored = step.outcome if isinstance(step.outcome, Ignored) else None
        outcome = "ignored" if ignored else "accepted"
        self._record_counts.add((outcome, ignored.reason if ignored else ""))
        for decision in decisions_of(step, _member_name(self._member)):
            self._recorder.post(decision)
        change = change_of(step)
        if change is not None:
            self._recorder.post(change)

    def handle_list_result(self, outcome: Listing | ListUnavailable) -> None:
        """Handles a result of the list observer."""
        if isinstance(outcome, ListUnavailable):
            if self._list_up:
                log_event(Event.LIST_UNAVAILABLE, {"detail": outcome.detail})
            self._list_up = False
            return
        self._list_up = True
        before, self._listing = self._listing, outcome
        for listed in outcome.instances:
            if listed.pool == ENTRY_POOL:
                listed_at = self._listed_at.get(listed.instance, outcome.as_of)
                self._listed_at[listed.instance] = max(listed_at, outcome.as_of)
        # The list client returns the same object while the list is unchanged.
        if before is not None and outcome.instances is before.instances:
            self._resend_ended_members()
            return
        served = replace(
            outcome,
            instances=tuple(
                i for i in outcome.instances if i.pool != ENTRY_POOL
            ),
        )
        self._tasks.scheduler.post(ListingUpdated(served))
        self._tasks.control.post(ListingRead(served))
        self._send_roster()

    def _distribute_state(self, result: ReadResult) -> None:
        before, self._state = self._state, result.state
        self._tasks.scheduler.post(StateChanged(result.state))
        self._tasks.control.post(StepsFolded(result.state, result.steps))
        configuration = result.state.configuration
        if configuration.version > self._version:
            self._version = configuration.version
            self._serving_state.index = index(configuration.configuration)
            log_event(
                Event.CONFIGURATION_IN_FORCE,
                {
                    "version": configuration.version,
                    "age_s": round(time.time() - configuration.accepted_at, 3),
                },
            )
        self._check_joined(before, result)
        if before is None or before.roster != result.state.roster:
            self._send_roster()

    def _check_joined(
        self, before: FleetState | None, result: ReadResult
    ) -> None:
        if self._joined:
            return
        roster = before.roster if before is not None else Roster()
        for step in result.steps:
            if step.record == self._member and isinstance(
                step.outcome, Accepted
            ):
                self._join(roster)
                return
            roster = step.state.roster
        if self._is_member(result.state):
            # The join is older than the recovered snapshot, so the roster from
            # before the join is unknown. Requesting grants from all present
            # members is safe.
            self._join(result.state.roster)

    def _join(self, roster_before: Roster) -> None:
        self._joined = True
        own = _member_name(self._member)
        others = {_member_name(m) for m in roster_before.members.values()}
        self._tasks.claims.joined(others - {own})

    def _is_member(self, state: FleetState) -> bool:
        return state.roster.members.get(self._member.instance) == self._member

    def _ended_members(self) -> tuple[EntryJoined, ...]:
        """Returns roster members that the platform reports as ended."""
        state, listing = self._state, self._listing
        if state is None or listing is None:
            return ()
        return ended_members(
            state.roster,
            {i.instance for i in listing.instances},
            listing.as_of,
            self._member.instance,
            self._listed_at,
        )

    def _resend_ended_members(self) -> None:
        """Reports ended members until their leave was read from the log."""
        if self._ended_members():
            self._send_roster()

    def _send_roster(self) -> None:
        state = self._state
        if state is None:
            return
        ended = self._ended_members()
        members = {
            _member_name(member): member.address
            for member in state.roster.members.values()
        }
        if self._joined:
            self._tasks.claims.set_roster(
                members, [_member_name(m) for m in ended]
            )
        self._tasks.gossip.set_roster(
            tuple(m for m in state.roster.members.values() if m not in ended)
        )
        # Only a member that has read all claims and grants may report another
        # one as ended.
        if ended and self._tasks.claims.wait_complete(0.0):
            self._tasks.record_writer.report_ended(ended)

    def _check_ready(self, result: ReadResult) -> None:
        if self._serving_state.ready or self._version < 0:
            return
        # While the log is unavailable, requests with a key may stay undecided;
        # all others are served.
        claims_complete = self._tasks.claims.wait_complete(0.0)
        if result.from_peer or (result.caught_up and claims_complete):
            self._serving_state.ready = True
            log_event(Event.ENTRY_READY, {"version": self._version})

    def _report_log_availability(self, result: ReadResult) -> None:
        up = not result.error
        if up != self._log_up:
            event = Event.LOG_AVAILABLE if up else Event.LOG_UNAVAILABLE
            log_event(event, {"detail": result.error})
        self._log_up = up


def _member_name(member: EntryJoined) -> str:
    return f"{member.instance}/{member.incarnation}"


def _report_ignored(step: Step) -> None:
    if isinstance(step.outcome, Ignored):
        log_event(
            Event.RECORD_IGNORED,
            {
                "reason": step.outcome.reason,
                "detail": step.outcome.detail,
                "writer": step.writer,
            },
        )
