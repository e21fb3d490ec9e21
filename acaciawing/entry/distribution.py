"""Passes what the observers read on to the other tasks."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from acaciawing.configuration import NO_VERSION, index
from acaciawing.control import (
    ControlTask,
    ListingRead,
    StepsFolded,
)
from acaciawing.entry.callers import Directory
from acaciawing.entry.demand import DemandTask
from acaciawing.entry.forwarding import Member
from acaciawing.entry.gossip import GossipTask
from acaciawing.entry.history import change_of, decisions_of
from acaciawing.entry.journal import Journal
from acaciawing.entry.log_clock import LogClock
from acaciawing.entry.messages import ListingSeen, StateChanged
from acaciawing.entry.observers import ReadResult
from acaciawing.entry.recorder import Recorder
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
class Tasks:
    """Tasks that want to know of new states and lists."""

    scheduler: Scheduler
    claims: ClaimTask
    journal: Journal
    control: ControlTask
    gossip: GossipTask
    demand: DemandTask


class Distribution:
    """Receives the results of the log and list observers.

    `log_read` is called by the log observer only and `list_read` by the list
    observer only; each keeps its own attributes.

    Args:
        member: This entry instance.
        directory: Configuration and readiness for the request threads.
        tasks: Tasks to tell.
        recorder: Keeps the decisions and changes in the records.
    """

    def __init__(
        self,
        member: EntryJoined,
        directory: Directory,
        tasks: Tasks,
        recorder: Recorder,
    ) -> None:
        """Knows no state yet."""
        self._recorder = recorder
        self._verdicts = LabelledCounter()
        self._kept_to = 0
        self._log_clock = LogClock(time.monotonic, time.time)
        self._member = member
        self._directory = directory
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
        """Whether the last read of the log was answered."""
        return self._log_up

    def log_now(self) -> float:
        """Time on the log's clock, in seconds; for any thread."""
        return self._log_clock.now()

    @property
    def verdicts(self) -> Mapping[tuple[str, str], int]:
        """Records read, by verdict and reason; for any thread."""
        return self._verdicts.read()

    def other_members(self) -> tuple[Member, ...]:
        """Members on the roster without this instance; for any thread."""
        state = self._state
        if state is None:
            return ()
        return tuple(
            Member(member.address, member.zone, _name(member))
            for name, member in sorted(state.roster.members.items())
            if name != self._member.instance
        )

    def address_of(self, instance: str) -> str:
        """Administration listener of a member, or ""; for any thread."""
        state = self._state
        member = None if state is None else state.roster.members.get(instance)
        return "" if member is None else member.address

    def log_read(self, result: ReadResult) -> None:
        """Takes a result of the log observer."""
        self._report_log(result)
        for step in result.steps:
            _report_ignored(step)
            self.keep(step)
        if result.state is not self._state:
            self._new_state(result)
        if result.caught_up and self._state is not None:
            self._tasks.journal.state_changed(self._state)
        self._look_ready(result)

    def keep(self, step: Step) -> None:
        """Counts a record and keeps what it says for the operators.

        Called by the log observer for each record that it reads, also for
        those of a recovery. A recovery may read a record twice.
        """
        offset = step.position.offset
        if offset < self._kept_to:
            return
        self._kept_to = offset + 1
        self._log_clock.note(step.position.appended_at)
        ignored = step.verdict if isinstance(step.verdict, Ignored) else None
        verdict = "ignored" if ignored else "accepted"
        self._verdicts.add((verdict, ignored.reason if ignored else ""))
        for decision in decisions_of(step, _name(self._member)):
            self._recorder.post(decision)
        change = change_of(step)
        if change is not None:
            self._recorder.post(change)

    def list_read(self, outcome: Listing | ListUnavailable) -> None:
        """Takes a result of the list observer."""
        if isinstance(outcome, ListUnavailable):
            if self._list_up:
                log_event(Event.LIST_UNAVAILABLE, {"detail": outcome.detail})
            self._list_up = False
            return
        self._list_up = True
        before, self._listing = self._listing, outcome
        for listed in outcome.instances:
            if listed.pool == ENTRY_POOL:
                at = self._listed_at.get(listed.instance, outcome.as_of)
                self._listed_at[listed.instance] = max(at, outcome.as_of)
        if before is not None and outcome.instances is before.instances:
            self._tell_ended()
            return
        served = replace(
            outcome,
            instances=tuple(
                i for i in outcome.instances if i.pool != ENTRY_POOL
            ),
        )
        self._tasks.scheduler.post(ListingSeen(served))
        self._tasks.control.post(ListingRead(served))
        self._tell_roster()

    def _new_state(self, result: ReadResult) -> None:
        before, self._state = self._state, result.state
        self._tasks.scheduler.post(StateChanged(result.state))
        self._tasks.control.post(StepsFolded(result.state, result.steps))
        configuration = result.state.configuration
        if configuration.version > self._version:
            self._version = configuration.version
            self._directory.index = index(configuration.configuration)
            log_event(
                Event.CONFIGURATION_IN_FORCE,
                {
                    "version": configuration.version,
                    "age_s": round(time.time() - configuration.accepted_at, 3),
                },
            )
        self._look_joined(before, result)
        if before is None or before.roster != result.state.roster:
            self._tell_roster()

    def _look_joined(
        self, before: FleetState | None, result: ReadResult
    ) -> None:
        if self._joined:
            return
        roster = before.roster if before is not None else Roster()
        for step in result.steps:
            if step.record == self._member and isinstance(
                step.verdict, Accepted
            ):
                self._join(roster)
                return
            roster = step.state.roster
        if self._is_member(result.state):
            # The own join lies before a snapshot that was recovered from; all
            # members of now are asked, which is the safe side.
            self._join(result.state.roster)

    def _join(self, predecessors: Roster) -> None:
        self._joined = True
        own = _name(self._member)
        names = {_name(m) for m in predecessors.members.values()}
        self._tasks.claims.joined(names - {own})

    def _is_member(self, state: FleetState) -> bool:
        return state.roster.members.get(self._member.instance) == self._member

    def _ended(self) -> tuple[EntryJoined, ...]:
        """Members on the roster that the platform reports as ended."""
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

    def _tell_ended(self) -> None:
        """Repeats what is known of ended members until the log says so too."""
        if self._ended():
            self._tell_roster()

    def _tell_roster(self) -> None:
        state = self._state
        if state is None:
            return
        ended = self._ended()
        members = {
            _name(member): member.address
            for member in state.roster.members.values()
        }
        if self._joined:
            self._tasks.claims.set_roster(members, [_name(m) for m in ended])
        self._tasks.gossip.set_roster(
            tuple(m for m in state.roster.members.values() if m not in ended)
        )
        # Only a member that knows all grants may end another one: its claims
        # must have been read first.
        if ended and self._tasks.claims.wait_complete(0.0):
            self._tasks.journal.ended(ended)

    def _look_ready(self, result: ReadResult) -> None:
        if self._directory.ready or self._version < 0:
            return
        # While the log is away keyed work may stay undecided; the rest is
        # served.
        keyed = self._tasks.claims.wait_complete(0.0)
        if result.usable or (result.caught_up and keyed):
            self._directory.ready = True
            log_event(Event.ENTRY_READY, {"version": self._version})

    def _report_log(self, result: ReadResult) -> None:
        up = not result.problem
        if up != self._log_up:
            event = Event.LOG_AVAILABLE if up else Event.LOG_UNAVAILABLE
            log_event(event, {"detail": result.problem})
        self._log_up = up


def _name(member: EntryJoined) -> str:
    return f"{member.instance}/{member.incarnation}"


def _report_ignored(step: Step) -> None:
    if isinstance(step.verdict, Ignored):
        log_event(
            Event.RECORD_IGNORED,
            {
                "reason": step.verdict.reason,
                "detail": step.verdict.detail,
                "writer": step.writer,
            },
        )
