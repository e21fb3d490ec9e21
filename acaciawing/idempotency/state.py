"""State of one entry instance for the keys of one claim stream."""

from dataclasses import dataclass, replace
from typing import TypeAlias, TypeVar

from immutables import Map

from acaciawing.idempotency.events import (
    ClaimDecision,
    Finished,
    InProgress,
    KeyReused,
    MayHaveRun,
    Output,
    Run,
    SendDecision,
)
from acaciawing.idempotency.records import (
    Claim,
    ClaimBatch,
    ClaimFinished,
    ClaimReleased,
)
from acaciawing.idempotency.table import RETENTION_S, ClaimTable

# Append budget of the claim streams, shared by all entry instances.
_MAX_APPENDS_PER_S = 200.0
_MIN_APPEND_INTERVAL_S = 0.02

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True)
class PendingClaim:
    """An undecided claim of this instance.

    Attributes:
        claim: The claim.
        token: Token of the request that waits for the decision.
        deadline: Time at which the claim times out, in seconds.
        agreeing: Whether the peers decide because the log is unreachable.
        requested: Peers that a request was sent to.
        granted: Peers that granted the claim.
        members: Members that the granting peers know.
        covered: Members that a granting peer reports as covered.
    """

    claim: Claim
    token: int
    deadline: float
    agreeing: bool = False
    requested: frozenset[str] = frozenset()
    granted: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()
    covered: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ProxiedClaim:
    """A peer's claim that this instance appends to the log for it."""

    claim: Claim
    tokens: tuple[int, ...]
    deadline: float


@dataclass(frozen=True)
class OwnRun:
    """A claim that this instance decided to run.

    Attributes:
        claim: The claim.
        since: Time of the decision, in seconds.
        status: Status that the request ended with, or None.
    """

    claim: Claim
    since: float
    status: int | None = None


@dataclass(frozen=True)
class Grant:
    """A claim that may run, or may have run, by agreement without the log.

    Attributes:
        claim: The claim.
        since: Time at which the grant was recorded, in seconds.
    """

    claim: Claim
    since: float


@dataclass(frozen=True)
class ClaimState:
    """State of the claim rules in one entry instance, for one stream.

    Attributes:
        me: ``instance/incarnation`` of this instance.
        shard: Number of the claim stream.
        shards: Number of claim streams, which share the append budget.
        accept_memory_loss: Whether this instance accepts keyed requests even if
            no remaining member knows the grants of the last outage.
        table: Fold of the stream.
        log_up: Whether the log is considered reachable.
        predecessors: Members before this one joined; None if it has not
            joined.
        joined_at: Time of `Joined`, in seconds.
        complete: Whether this instance knows all grants; see
            `agreement.completes_memory`.
        collected: Members that answered `GrantListRequest`, with the
            completeness they reported.
        collect_at: Time of the next request to them, in seconds.
        members: Other members known; their consent is required unless covered.
        roster: Other members on the roster last read. A member that is known
            only by its own request is in `members` but not here.
        ended: Members that can no longer run anything.
        covered: Ended members whose claims in the log were all read.
        pending: Undecided own claims by claim id.
        keys: Claim ids in `pending` by key digest.
        proxied: Claims of peers by claim id.
        runs: Own runs by key digest.
        grants: Remembered grants by key digest.
        unflushed: Grants whose key is not held in the log yet.
        outbox: Claims to append, by claim id.
        releases: Releases to append, by claim id.
        finished: Ends to append, by claim id.
        read_ended: `ended` when the last read started.
        read_completes: Whether `complete` is set at the end of that read.
        read_offset: `inflight_offset` when that read started.
        inflight: Batch sent to the log and not read back yet.
        inflight_offset: Its offset, once known.
        failed_appends: Number of consecutive appends that failed.
        last_append_at: Time of the last append, in seconds.
        finish_due_at: Time by which ends are appended without claims.
        pruned_at: Time of the last removal of expired runs and grants, in
            seconds.
        claims_made: Number of claims made; makes claim ids unique.
    """

    me: str
    shard: int = 0
    shards: int = 1
    accept_memory_loss: bool = False
    table: ClaimTable = ClaimTable(RETENTION_S)
    log_up: bool = False
    predecessors: frozenset[str] | None = None
    joined_at: float = 0.0
    complete: bool = False
    collected: Map[str, bool] = Map()
    collect_at: float = 0.0
    members: frozenset[str] = frozenset()
    roster: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    covered: frozenset[str] = frozenset()
    pending: Map[str, PendingClaim] = Map()
    keys: Map[str, str] = Map()
    proxied: Map[str, ProxiedClaim] = Map()
    runs: Map[str, OwnRun] = Map()
    grants: Map[str, Grant] = Map()
    unflushed: Map[str, Claim] = Map()
    outbox: Map[str, Claim] = Map()
    releases: Map[str, ClaimReleased] = Map()
    finished: Map[str, ClaimFinished] = Map()
    read_ended: frozenset[str] = frozenset()
    read_completes: bool = False
    read_offset: int | None = None
    inflight: ClaimBatch | None = None
    inflight_offset: int | None = None
    failed_appends: int = 0
    last_append_at: float = float("-inf")
    finish_due_at: float = float("inf")
    pruned_at: float = 0.0
    claims_made: int = 0

    @property
    def append_interval_s(self) -> float:
        """Minimum time between two appends of this instance, in seconds.

        >>> ClaimState("a/1", members=frozenset("bcdefghi")).append_interval_s
        0.045
        """
        size = len(self.members - self.ended) + 1
        return self.shards * max(
            _MIN_APPEND_INTERVAL_S, size / _MAX_APPENDS_PER_S
        )

    @property
    def append_due_at(self) -> float:
        """Earliest time of the next append, in seconds."""
        return self.last_append_at + self.append_interval_s

    @property
    def flushed(self) -> bool:
        """Whether the log holds all that this instance must remember."""
        return not (self.unflushed or self.releases or self.inflight)


StepResult: TypeAlias = tuple[ClaimState, tuple[Output, ...]]


def instance_of(member: str) -> str:
    """Returns the instance id of a member.

    >>> instance_of("entry-1/3")
    'entry-1'
    """
    return member.rpartition("/")[0]


def superseded_members(members: frozenset[str]) -> frozenset[str]:
    """Returns members replaced by a higher incarnation of the same instance.

    >>> sorted(superseded_members(frozenset(("a/1", "a/2", "b/9"))))
    ['a/1']
    """
    newest: dict[str, int] = {}
    for member in members:
        instance, _, number = member.rpartition("/")
        newest[instance] = max(int(number), newest.get(instance, 0))
    return frozenset(
        m for m in members if int(m.rpartition("/")[2]) < newest[instance_of(m)]
    )


def known_decision(
    state: ClaimState, digest: str, fingerprint: str
) -> ClaimDecision | None:
    """Returns the decision for a known key, or None for an unknown one."""
    claim_id = state.keys.get(digest)
    run = state.runs.get(digest)
    grant = state.grants.get(digest)
    holder = state.table.holder(digest)
    status: int | None = None
    if claim_id is not None:
        claim, decision = state.pending[claim_id].claim, InProgress()
    elif run is not None:
        claim, status, decision = run.claim, run.status, InProgress()
    elif holder is not None:
        claim, status = holder.claim, holder.status
        claimed = MayHaveRun("claimed", claim.owner)
        return _decide_repeat(claim, fingerprint, status, claimed)
    elif grant is not None:
        claim = grant.claim
        granted = MayHaveRun("granted", claim.owner)
        return _decide_repeat(claim, fingerprint, None, granted)
    else:
        return None
    return _decide_repeat(claim, fingerprint, status, decision)


def _decide_repeat(
    claim: Claim, fingerprint: str, status: int | None, otherwise: ClaimDecision
) -> ClaimDecision:
    if claim.fingerprint != fingerprint:
        return KeyReused()
    return otherwise if status is None else Finished(status)


def record_grant(
    state: ClaimState, claim: Claim, now: float, override: bool = False
) -> ClaimState:
    """Records a grant: the claim may run without the log.

    Args:
        state: State before.
        claim: The claim.
        now: Time, in seconds.
        override: Whether to replace an earlier grant of the key.
    """
    if claim.digest in state.grants and not override:
        return state
    unflushed = state.unflushed
    if state.table.holder(claim.digest) is None:
        unflushed = unflushed.set(claim.digest, claim)
    grants = state.grants.set(claim.digest, Grant(claim, now))
    return replace(state, grants=grants, unflushed=unflushed)


def resolve(
    state: ClaimState, pending: PendingClaim, decision: ClaimDecision
) -> StepResult:
    """Ends a pending claim with a decision that no later input changes."""
    claim_id, digest = pending.claim.claim_id, pending.claim.digest
    state = replace(
        state,
        pending=without_key(state.pending, claim_id),
        keys=without_key(state.keys, digest),
        outbox=without_key(state.outbox, claim_id),
    )
    return state, (SendDecision(pending.token, decision),)


def decide_run(
    state: ClaimState, pending: PendingClaim, now: float
) -> StepResult:
    """Resolves a pending claim with the decision to run it."""
    claim = pending.claim
    runs = state.runs.set(claim.digest, OwnRun(claim, now))
    return resolve(replace(state, runs=runs), pending, Run(claim))


def without_key(table: Map[K, V], key: K) -> Map[K, V]:
    """Returns the map without a key, which it need not contain."""
    return table.delete(key) if key in table else table
