"""Typed inputs and outputs of the claim rules, and messages between peers.

A member is identified as ``instance/incarnation`` everywhere, so that an answer
of a replacement is never attributed to its predecessor.
"""

from dataclasses import dataclass, field
from typing import TypeAlias

from acaciawing.idempotency.records import Claim, ClaimBatch
from acaciawing.records import LogPosition, record_type

# Decisions.


@dataclass(frozen=True)
class Run:
    """This copy of the request, and no other, is to run."""

    claim: Claim


@dataclass(frozen=True)
class InProgress:
    """Another copy of the request is running in this instance."""


@dataclass(frozen=True)
class Finished:
    """An earlier copy of the request ended with this status."""

    status: int


@dataclass(frozen=True)
class KeyReused:
    """The key belongs to a different request."""


@dataclass(frozen=True)
class MayHaveRun:
    """Another copy may have run, or may still run, elsewhere.

    Attributes:
        reason: Code in kebab case.
        owner: ``instance/incarnation`` that claimed the key, if known.
    """

    reason: str
    owner: str = field(default="", compare=False)


ClaimDecision: TypeAlias = Run | InProgress | Finished | KeyReused | MayHaveRun

# Messages between entry instances.


@record_type("claim-question", version=1)
@dataclass(frozen=True)
class GrantRequest:
    """Requests the receiver's consent to run a claim."""

    claim: Claim
    shard: int = 0


@record_type("claim-granted", version=1)
@dataclass(frozen=True)
class Granted:
    """Consent of a member that has lost the log and does not know the key.

    The member remembers the grant.

    Attributes:
        members: Members that the answering member knows.
        covered: Members that ended before the answering member last read the
            whole claim stream. It knows all their claims in the log.
    """

    members: tuple[str, ...]
    covered: tuple[str, ...]


@record_type("claim-won", version=1)
@dataclass(frozen=True)
class Won:
    """The requested claim holds the key in the log."""


@record_type("claim-denied", version=1)
@dataclass(frozen=True)
class Denied:
    """The requested claim must not run.

    Attributes:
        reason: Code in kebab case.
    """

    reason: str


@record_type("grants-question", version=1)
@dataclass(frozen=True)
class GrantListRequest:
    """Request of a joining member for all grants; it also announces the member.

    Attributes:
        shard: Number of the claim stream.
        address: ``ip:port`` where the sender answers requests of peers; set by
            the task that sends this request.
    """

    shard: int = 0
    address: str = ""


@record_type("grants-remembered", version=1)
@dataclass(frozen=True)
class GrantList:
    """Answer to `GrantListRequest`.

    Attributes:
        complete: Whether the answering member knows every grant of an outage.
        claims: Remembered grants, including the member's own claims.
        members: Members that the answering member knows.
    """

    complete: bool
    claims: tuple[Claim, ...]
    members: tuple[str, ...]


PeerRequest: TypeAlias = GrantRequest | GrantListRequest
PeerAnswer: TypeAlias = Granted | Won | Denied | GrantList

# Inputs.


@dataclass(frozen=True)
class Joined:
    """The log confirms that this instance is on the roster.

    Attributes:
        predecessors: Members on the roster just before this instance's own
            join record.
    """

    predecessors: frozenset[str]


@dataclass(frozen=True)
class RosterRead:
    """Roster by the log, and members that the platform reports as ended."""

    members: frozenset[str]
    ended: frozenset[str]


@dataclass(frozen=True)
class ClaimRequested:
    """A request with an idempotency key arrived.

    Attributes:
        token: Identifies the request in `SendDecision`.
        customer: Name of the customer.
        digest: Digest of customer and key.
        fingerprint: Digest of the request.
        deadline: Time by which a decision is needed, in seconds.
    """

    token: int
    customer: str
    digest: str
    fingerprint: str
    deadline: float


@dataclass(frozen=True)
class RequestFinished:
    """The request of a claim ended."""

    claim: Claim
    status: int


@dataclass(frozen=True)
class ReleaseRequested:
    """The request of a claim did not run and never will."""

    claim: Claim


@dataclass(frozen=True)
class RequestWithdrawn:
    """The caller no longer waits for the decision on this token."""

    token: int


@dataclass(frozen=True)
class BatchAppended:
    """The log confirmed the append of the batch."""

    offset: int


@dataclass(frozen=True)
class BatchUnconfirmed:
    """The append is unconfirmed: it may have taken effect, or may do so later."""


@dataclass(frozen=True)
class BatchNotAppended:
    """The append failed; the batch is certainly not in the log."""


@dataclass(frozen=True)
class BatchRead:
    """A batch was read from the log, in order of offsets."""

    batch: ClaimBatch
    position: LogPosition


@dataclass(frozen=True)
class ReadStarted:
    """A read of the stream starts, after all earlier inputs arrived."""


@dataclass(frozen=True)
class LogHeadReached:
    """The read that started last reached the head of the log."""


@dataclass(frozen=True)
class LogUnreachable:
    """The log did not respond to a read or to appends."""


@dataclass(frozen=True)
class PeerRequestReceived:
    """A peer sent a request; `token` identifies it in `SendAnswer`."""

    token: int
    sender: str
    request: PeerRequest


@dataclass(frozen=True)
class PeerAnswerReceived:
    """A peer answered a request, or did not (None)."""

    peer: str
    request: PeerRequest
    answer: PeerAnswer | None


@dataclass(frozen=True)
class Tick:
    """Periodic input for everything that depends on the time."""


# Outputs.


@dataclass(frozen=True)
class Append:
    """Append a batch to the stream."""

    batch: ClaimBatch


@dataclass(frozen=True)
class SendRequest:
    """Send a request to a peer."""

    peer: str
    request: PeerRequest


@dataclass(frozen=True)
class SendAnswer:
    """Answer a peer's request."""

    token: int
    answer: PeerAnswer


@dataclass(frozen=True)
class SendDecision:
    """Return the decision on a claim to the thread that waits for it."""

    token: int
    decision: ClaimDecision


Output: TypeAlias = Append | SendRequest | SendAnswer | SendDecision
