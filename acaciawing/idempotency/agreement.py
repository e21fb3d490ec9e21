"""Rules of at-most-once execution while the log is unreachable.

Unanimous agreement after Ricart and Agrawala (1981): a claim runs once every
member whose consent is required has granted it. Each member remembers its
grants and denies all other claims of the key until the log holds it.

The consent of a member is required until the member is *covered*: it ended, and
a member that takes part in the agreement has read the whole claim stream since.
It is not enough that the member ended. It may have claimed and run the key
through the log just before, in records that the others had not read when they
lost the log.
"""

from dataclasses import replace
from functools import singledispatch

from acaciawing.idempotency.events import (
    Denied,
    Granted,
    GrantList,
    GrantListRequest,
    GrantRequest,
    MayHaveRun,
    Output,
    PeerAnswerReceived,
    PeerRequestReceived,
    SendAnswer,
    SendRequest,
    Won,
)
from acaciawing.idempotency.records import Claim
from acaciawing.idempotency.state import (
    ClaimState,
    PendingClaim,
    ProxiedClaim,
    StepResult,
    decide_run,
    instance_of,
    record_grant,
    resolve,
    superseded_members,
    without_key,
)

# Reason of a denial by a peer that could not append the claim to the log.
LOG_UNREACHABLE = "log-away"
# Reasons of denials by a peer that has just joined, or has not yet read that this
# member joined. They do not concern the key, so the request is repeated at the
# next tick.
_RETRIED_DENIALS = frozenset({"memory-incomplete", "not-a-member"})
_COLLECT_INTERVAL_S = 0.5
# Longer than an append to a healthy log and the read that confirms it. The peer's
# request occupies a thread of both instances for this time.
_PROXY_TIMEOUT_S = 1.0


def begin(state: ClaimState, pending: PendingClaim, now: float) -> StepResult:
    """Starts the agreement on a pending claim with requests to the peers."""
    claim_id = pending.claim.claim_id
    pending = replace(pending, agreeing=True)
    state = replace(
        state,
        pending=state.pending.set(claim_id, pending),
        outbox=without_key(state.outbox, claim_id),
    )
    grant = state.grants.get(pending.claim.digest)
    if grant is not None and grant.claim != pending.claim:
        return resolve(state, pending, MayHaveRun("granted"))
    # This instance records a grant to itself, so that a member that joins now
    # learns of the claim.
    return _advance(record_grant(state, pending.claim, now), pending, now)


def advance_all(state: ClaimState, now: float) -> StepResult:
    """Reevaluates all open agreements after the members changed."""
    outputs: list[Output] = []
    for pending in tuple(state.pending.values()):
        if pending.agreeing:
            state, more = _advance(state, pending, now)
            outputs.extend(more)
    return state, tuple(outputs)


def _advance(
    state: ClaimState, pending: PendingClaim, now: float
) -> StepResult:
    covered = state.covered | pending.covered
    required = (state.members | pending.members) - covered - {state.me}
    missing = required - pending.granted
    if not missing:
        return decide_run(state, pending, now)
    ended = state.ended | superseded_members(required | {state.me})
    recipients = missing - ended - pending.requested
    if not missing - ended:
        # Only ended members are missing, and none of them is covered.
        return resolve(state, pending, MayHaveRun("member-ended"))
    pending = replace(pending, requested=pending.requested | recipients)
    claim = pending.claim
    state = replace(state, pending=state.pending.set(claim.claim_id, pending))
    request = GrantRequest(claim, state.shard)
    return state, tuple(
        SendRequest(peer, request) for peer in sorted(recipients)
    )


# Requests of peers.


def handle_request(
    event: PeerRequestReceived, state: ClaimState, now: float
) -> StepResult:
    """Answers a peer's request, at once or after its claim was read back."""
    return _answer(event.request, event, state, now)


@singledispatch
def _answer(
    request: object, event: PeerRequestReceived, state: ClaimState, now: float
) -> StepResult:
    raise TypeError(type(request).__name__)


@_answer.register
def _(
    request: GrantListRequest,
    event: PeerRequestReceived,
    state: ClaimState,
    now: float,
) -> StepResult:
    claims = tuple(grant.claim for grant in state.grants.values())
    members = tuple(sorted(state.members - state.covered))
    reply = SendAnswer(event.token, GrantList(state.complete, claims, members))
    members_now = state.members | {event.sender}
    state = replace(
        state,
        members=members_now,
        ended=state.ended | superseded_members(members_now | {state.me}),
    )
    # Open agreements need the consent of the new member too.
    state, more = advance_all(state, now)
    return state, (reply, *more)


@_answer.register
def _(
    request: GrantRequest,
    event: PeerRequestReceived,
    state: ClaimState,
    now: float,
) -> StepResult:
    claim = request.claim
    reason = _denial_reason(state, claim, event.sender)
    if reason:
        return state, (SendAnswer(event.token, Denied(reason)),)
    holder = state.table.holder(claim.digest)
    if holder is not None:
        won = holder.claim.claim_id == claim.claim_id
        reply = Won() if won else Denied("claimed")
        return state, (SendAnswer(event.token, reply),)
    if state.log_up:
        return _enqueue_proxied_claim(event, claim, state, now), ()
    state, outputs = _yield_own(state, claim)
    if claim.digest in state.keys:
        return state, (SendAnswer(event.token, Denied("in-progress")),)
    state = record_grant(state, claim, now, override=bool(outputs))
    members = tuple(sorted(state.members - state.covered))
    granted = Granted(members, tuple(sorted(state.covered)))
    return state, (*outputs, SendAnswer(event.token, granted))


def _denial_reason(state: ClaimState, claim: Claim, sender: str) -> str:
    """Reason to deny a peer's claim before the log is consulted, or ''."""
    grant = state.grants.get(claim.digest)
    own = state.keys.get(claim.digest)
    granted_to_other = grant is not None and grant.claim.claim_id not in (
        claim.claim_id,
        own,
    )
    proxied_for_other = any(
        p.claim.digest == claim.digest and p.claim != claim
        for p in state.proxied.values()
    )
    checks = (
        (claim.owner != sender, "not-the-owner"),
        (not state.complete, "memory-incomplete"),
        (sender not in state.members, "not-a-member"),
        (sender in state.ended, "ended"),
        (claim.digest in state.runs, "claimed"),
        (granted_to_other, "granted"),
        (proxied_for_other, "in-progress"),
        (state.log_up and own is not None, "in-progress"),
    )
    return next((reason for failed, reason in checks if failed), "")


def _yield_own(state: ClaimState, claim: Claim) -> StepResult:
    """Abandons an own claim of the key in favor of a peer with a lower id."""
    claim_id = state.keys.get(claim.digest)
    if claim_id is None or instance_of(state.me) < instance_of(claim.owner):
        return state, ()
    return resolve(state, state.pending[claim_id], MayHaveRun("yielded"))


def _enqueue_proxied_claim(
    event: PeerRequestReceived, claim: Claim, state: ClaimState, now: float
) -> ClaimState:
    known = state.proxied.get(claim.claim_id)
    tokens = (event.token,) if known is None else (*known.tokens, event.token)
    proxied = ProxiedClaim(claim, tokens, now + _PROXY_TIMEOUT_S)
    outbox = state.outbox
    if known is None:
        outbox = outbox.set(claim.claim_id, claim)
    return replace(
        state,
        proxied=state.proxied.set(claim.claim_id, proxied),
        outbox=outbox,
    )


# Answers of peers.


def handle_answer(
    event: PeerAnswerReceived, state: ClaimState, now: float
) -> StepResult:
    """Handles a peer's answer, or the lack of one."""
    if isinstance(event.request, GrantListRequest):
        if isinstance(event.answer, GrantList):
            return _add_grant_list(event.peer, event.answer, state, now)
        return state, ()
    pending = state.pending.get(event.request.claim.claim_id)
    if pending is None or not pending.agreeing:
        return state, ()
    return _handle_grant_answer(event.answer, event.peer, pending, state, now)


@singledispatch
def _handle_grant_answer(
    answer: object,
    peer: str,
    pending: PendingClaim,
    state: ClaimState,
    now: float,
) -> StepResult:
    """Treats an answer of an unexpected type like a missing one."""
    if peer in state.covered | pending.covered:
        return state, ()
    return resolve(state, pending, MayHaveRun("peer-silent"))


@_handle_grant_answer.register
def _(
    answer: Denied,
    peer: str,
    pending: PendingClaim,
    state: ClaimState,
    now: float,
) -> StepResult:
    if answer.reason == LOG_UNREACHABLE:
        # The peer has just found the log unreachable and can grant claims now.
        pending = replace(pending, requested=pending.requested - {peer})
        return _advance(state, pending, now)
    if answer.reason in _RETRIED_DENIALS:
        pending = replace(pending, requested=pending.requested - {peer})
        claim_id = pending.claim.claim_id
        return replace(state, pending=state.pending.set(claim_id, pending)), ()
    return resolve(state, pending, MayHaveRun(f"peer-{answer.reason}"))


@_handle_grant_answer.register
def _(
    answer: Won, peer: str, pending: PendingClaim, state: ClaimState, now: float
) -> StepResult:
    return decide_run(state, pending, now)


@_handle_grant_answer.register
def _(
    answer: Granted,
    peer: str,
    pending: PendingClaim,
    state: ClaimState,
    now: float,
) -> StepResult:
    pending = replace(
        pending,
        granted=pending.granted | {peer},
        members=pending.members | frozenset(answer.members),
        covered=pending.covered | frozenset(answer.covered),
    )
    claim_id = pending.claim.claim_id
    state = replace(state, pending=state.pending.set(claim_id, pending))
    return _advance(state, pending, now)


# Grants that a joining member collects.


def collect_grants(state: ClaimState, now: float) -> StepResult:
    """Requests the grants of the other members until all are known here."""
    joined = state.predecessors is not None
    if not joined or state.complete or now < state.collect_at:
        return state, ()
    peers = _unanswered_members(state)
    if not _has_complete_answer(state):
        peers |= {peer for peer in state.collected if peer not in state.ended}
    state = replace(state, collect_at=now + _COLLECT_INTERVAL_S)
    request = GrantListRequest(state.shard)
    return state, tuple(SendRequest(peer, request) for peer in sorted(peers))


def completes_memory(state: ClaimState, now: float) -> bool:
    """Whether a read that starts now completes the known grants at the log's head.

    Each grant is remembered by all who were members when it was given, so one
    member with complete knowledge returns all grants. The others get a request
    too, since they must know this member before it claims anything.
    """
    if state.predecessors is None or _unanswered_members(state):
        return False
    expired = now - state.joined_at >= state.table.retention_s
    lost = state.accept_memory_loss or expired
    return not state.predecessors or _has_complete_answer(state) or lost


def _unanswered_members(state: ClaimState) -> frozenset[str]:
    assert state.predecessors is not None
    return state.predecessors - state.ended - frozenset(state.collected)


def _has_complete_answer(state: ClaimState) -> bool:
    return any(state.collected.values())


def _add_grant_list(
    peer: str, answer: GrantList, state: ClaimState, now: float
) -> StepResult:
    if state.complete:
        # A late answer. Every claim granted since the first answer needed the
        # consent of this member.
        return state, ()
    complete = answer.complete or state.collected.get(peer, False)
    state = replace(state, collected=state.collected.set(peer, complete))
    for claim in answer.claims:
        holder = state.table.holder(claim.digest)
        if holder is None or holder.claim.claim_id != claim.claim_id:
            state = record_grant(state, claim, now)
    members = state.members | (frozenset(answer.members) - {state.me})
    state = replace(state, members=members)
    ended = state.ended | superseded_members(members | {state.me})
    return replace(state, ended=ended), ()
