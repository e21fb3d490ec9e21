"""Typed inputs and outputs of the claim rules, and messages between peers.

A member is named ``instance/incarnation`` everywhere, so that an answer of a
replacement is never taken for one of its predecessor.
"""

from dataclasses import dataclass, field
from typing import TypeAlias

from acaciawing.idempotency.records import Claim, ClaimBatch
from acaciawing.records import LogPosition, record_type

# Decisions.


@dataclass(frozen=True)
class Run:
    """This copy, and no other one, runs the request."""

    claim: Claim


@dataclass(frozen=True)
class InProgress:
    """Another copy of the request is in progress in this instance."""


@dataclass(frozen=True)
class Finished:
    """The request ended before, with this status."""

    status: int


@dataclass(frozen=True)
class KeyReused:
    """The key belongs to a different request."""


@dataclass(frozen=True)
class MayHaveRun:
    """Another copy ran, runs, or may run elsewhere.

    Attributes:
        reason: Code in kebab case.
        owner: ``instance/incarnation`` that claimed the key, if it is known.
    """

    reason: str
    owner: str = field(default="", compare=False)


ClaimDecision: TypeAlias = Run | InProgress | Finished | KeyReused | MayHaveRun

# Messages between entry instances.


@record_type("claim-question", version=1)
@dataclass(frozen=True)
class GrantRequest:
    """May the sender run this claim?"""

    claim: Claim
    shard: int = 0


@record_type("claim-granted", version=1)
@dataclass(frozen=True)
class Granted:
    """The answerer has not seen the key, has no log, and remembers the grant.

    Attributes:
        members: Members that the answerer knows.
        covered: Members that ended before the answerer last read the whole
            claim stream. It knows all that they claimed there.
    """

    members: tuple[str, ...]
    covered: tuple[str, ...]


@record_type("claim-won", version=1)
@dataclass(frozen=True)
class Won:
    """The claim holds the key in the log."""


@record_type("claim-denied", version=1)
@dataclass(frozen=True)
class Denied:
    """The claim must not run.

    Attributes:
        reason: Code in kebab case.
    """

    reason: str


@record_type("grants-question", version=1)
@dataclass(frozen=True)
class GrantListRequest:
    """A member that joined asks for all grants, and makes itself known.

    Attributes:
        shard: Number of the claim stream.
        address: ``ip:port`` where the sender answers questions; set by the
            task that sends the question.
    """

    shard: int = 0
    address: str = ""


@record_type("grants-remembered", version=1)
@dataclass(frozen=True)
class GrantList:
    """Answer to `GrantListRequest`.

    Attributes:
        complete: Whether the answerer knows every grant of an outage.
        claims: Remembered grants, attempts of the answerer included.
        members: Members that the answerer knows.
    """

    complete: bool
    claims: tuple[Claim, ...]
    members: tuple[str, ...]


PeerRequest: TypeAlias = GrantRequest | GrantListRequest
PeerAnswer: TypeAlias = Granted | Won | Denied | GrantList

# Inputs.


@dataclass(frozen=True)
class Joined:
    """The log has this instance on the roster.

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
    """A request with a key arrived.

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
    """The request of a claim did not run and will not."""

    claim: Claim


@dataclass(frozen=True)
class RequestWithdrawn:
    """Nobody waits for the decision of this token any more."""

    token: int


@dataclass(frozen=True)
class BatchAppended:
    """The batch is in the log."""

    offset: int


@dataclass(frozen=True)
class BatchUnknown:
    """The batch may be in the log, or get there later."""


@dataclass(frozen=True)
class BatchNotAppended:
    """The batch is provably not in the log."""


@dataclass(frozen=True)
class BatchRead:
    """A batch was read from the log, in order of offsets."""

    batch: ClaimBatch
    position: LogPosition


@dataclass(frozen=True)
class ReadStarted:
    """A read of the stream begins after all earlier inputs arrived."""


@dataclass(frozen=True)
class LogHeadReached:
    """The last read that began reached the log's head."""


@dataclass(frozen=True)
class LogUnreachable:
    """The log did not answer."""


@dataclass(frozen=True)
class PeerRequestReceived:
    """A peer asks; `token` identifies the question in `SendAnswer`."""

    token: int
    sender: str
    request: PeerRequest


@dataclass(frozen=True)
class PeerAnswerReceived:
    """A peer answered, or did not (None)."""

    peer: str
    request: PeerRequest
    answer: PeerAnswer | None


@dataclass(frozen=True)
class Tick:
    """Time passed."""


# Outputs.


@dataclass(frozen=True)
class Append:
    """Append this batch to the stream."""

    batch: ClaimBatch


@dataclass(frozen=True)
class SendRequest:
    """Ask this peer."""

    peer: str
    request: PeerRequest


@dataclass(frozen=True)
class SendAnswer:
    """Answer a peer's question."""

    token: int
    answer: PeerAnswer


@dataclass(frozen=True)
class SendDecision:
    """Answer a request."""

    token: int
    decision: ClaimDecision


Output: TypeAlias = Append | SendRequest | SendAnswer | SendDecision
