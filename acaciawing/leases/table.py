"""Leases agreed through the log, with fencing by log offset.

All leases of a holder share a session, which one record renews; a lease ends
with its session. A session that has ended is never extended: its holder has to
claim its leases anew and gets new tokens. Thus a process that was paused past
the end can't make an old token valid again.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from immutables import Map

from acaciawing.leases.records import (
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesReleased,
    LeasesRenewed,
)
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition

# Records with a longer duration are ignored; otherwise a faulty writer could
# block a subject permanently.
MAX_LEASE_S = 60.0


@dataclass(frozen=True)
class Session:
    """Period during which the leases of one holder are valid.

    Attributes:
        started: Log offset of the claim that started it.
        ends_at: Its end on the log's clock, in seconds.
    """

    started: int
    ends_at: float


@dataclass(frozen=True)
class Lease:
    """The last accepted lease of a subject.

    Attributes:
        holder: ``instance/incarnation`` of the holder.
        token: Offset of the accepted claim (fencing token).
    """

    holder: str
    token: int


@dataclass(frozen=True)
class LeaseTable:
    """Leases by subject and sessions by holder.

    A lease in the table belongs to the session of its holder that is in the
    table, since a claim that starts a session removes all ended leases.
    """

    leases: Map[str, Lease] = Map()
    sessions: Map[str, Session] = Map()


def lease_end(table: LeaseTable, subject: str) -> float | None:
    """Returns when the lease of a subject ends.

    Args:
        table: Leases.
        subject: Subject of the lease.

    Returns:
        The end on the log's clock in seconds, or None if there is no lease.
    """
    lease = table.leases.get(subject)
    if lease is None:
        return None
    return table.sessions[lease.holder].ends_at


def is_held(table: LeaseTable, subject: str, at: float) -> bool:
    """Returns whether a lease of the subject is valid at ``at`` (log clock)."""
    end = lease_end(table, subject)
    return end is not None and at <= end


def without_holder(table: LeaseTable, holder: str) -> LeaseTable:
    """Removes all leases of a holder that has ended.

    Once the platform reports that a process has ended, others needn't wait for
    its leases to end. Its tokens stay invalid, as after a release.

    Args:
        table: Leases.
        holder: ``instance/incarnation`` of the process.
    """
    leases = table.leases
    for subject, lease in table.leases.items():
        if lease.holder == holder:
            leases = leases.delete(subject)
    sessions = table.sessions
    if holder in sessions:
        sessions = sessions.delete(holder)
    return LeaseTable(leases, sessions)


def check_fence(
    table: LeaseTable, fence: Fence, writer: str, position: LogPosition
) -> Ignored | None:
    """Checks that a record was decided and appended under a current lease.

    Args:
        table: Leases before the record.
        fence: The lease under which the record was decided.
        writer: ``instance/incarnation`` of the record's writer.
        position: Position of the record in the log.

    Returns:
        Why the record has to be ignored, or None if it is valid.
    """
    lease = table.leases.get(fence.subject)
    if lease is None or lease.token != fence.token:
        current = "none" if lease is None else str(lease.token)
        detail = f"{fence.subject}: token {fence.token}, current {current}"
        return Ignored("stale-token", detail)
    if lease.holder != writer:
        return Ignored("not-holder", f"{fence.subject}: held by {lease.holder}")
    if not is_held(table, fence.subject, position.appended_at):
        return Ignored("lease-ended", f"{fence.subject}: token {fence.token}")
    return None


@singledispatch
def apply(
    record: object, table: LeaseTable, position: LogPosition
) -> tuple[LeaseTable, RecordOutcome]:
    """Applies a record to the leases; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: LeaseClaimed, table: LeaseTable, position: LogPosition
) -> tuple[LeaseTable, RecordOutcome]:
    if not record.subject or not _is_valid(record.holder, record.duration_s):
        return table, Ignored("malformed", f"claim of {record.subject!r}")
    current = table.leases.get(record.subject)
    token = NO_LEASE if current is None else current.token
    if record.replaces != token:
        detail = f"{record.subject}: replaces {record.replaces}, not {token}"
        return table, Ignored("lost-race", detail)
    if is_held(table, record.subject, position.appended_at):
        return table, Ignored("held", record.subject)
    table = _continue_session(record, table, position)
    lease = Lease(record.holder, position.offset)
    leases = table.leases.set(record.subject, lease)
    return replace(table, leases=leases), Accepted()


@apply.register
def _(
    record: LeasesRenewed, table: LeaseTable, position: LogPosition
) -> tuple[LeaseTable, RecordOutcome]:
    if not _is_valid(record.holder, record.duration_s):
        return table, Ignored("malformed", f"renewal by {record.holder!r}")
    session = table.sessions.get(record.holder)
    if session is None or position.appended_at > session.ends_at:
        return table, Ignored("lease-ended", record.holder)
    return _extend_session(table, record, session, position), Accepted()


@apply.register
def _(
    record: LeasesReleased, table: LeaseTable, position: LogPosition
) -> tuple[LeaseTable, RecordOutcome]:
    leases = table.leases
    for fence in record.leases:
        lease = leases.get(fence.subject)
        if lease == Lease(record.holder, fence.token):
            leases = leases.delete(fence.subject)
    if leases is table.leases:
        return table, Ignored("stale-token", record.holder)
    return replace(table, leases=leases), Accepted()


def _is_valid(holder: str, duration_s: float) -> bool:
    return bool(holder) and 0.0 < duration_s <= MAX_LEASE_S


def _extend_session(
    table: LeaseTable,
    record: LeaseClaimed | LeasesRenewed,
    session: Session,
    position: LogPosition,
) -> LeaseTable:
    end = max(session.ends_at, position.appended_at + record.duration_s)
    extended = Session(session.started, end)
    return replace(table, sessions=table.sessions.set(record.holder, extended))


def _continue_session(
    record: LeaseClaimed, table: LeaseTable, position: LogPosition
) -> LeaseTable:
    """Continues the holder's session, or starts one if it has ended."""
    session = table.sessions.get(record.holder)
    if session is None or position.appended_at > session.ends_at:
        table = _remove_ended(table, position.appended_at)
        session = Session(position.offset, position.appended_at)
    return _extend_session(table, record, session, position)


def _remove_ended(table: LeaseTable, at: float) -> LeaseTable:
    """Removes ended sessions and their leases.

    This keeps the table bounded and ended tokens invalid. It runs only when a
    session starts, which is rare.
    """
    sessions = table.sessions
    for holder, session in table.sessions.items():
        if at > session.ends_at:
            sessions = sessions.delete(holder)
    leases = table.leases
    for subject, lease in table.leases.items():
        if lease.holder not in sessions:
            leases = leases.delete(subject)
    return LeaseTable(leases, sessions)
