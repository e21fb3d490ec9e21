"""Rules of at-most-once execution with the log: group commit and read-back.

A claim runs only when its own record was read back as the first one of its
key. The outcome of an append decides nothing, so an append that takes effect
late, or whose response is lost, does no harm. While the log is unreachable the
rules of `acaciawing.idempotency.agreement` apply.
"""

from dataclasses import replace
from functools import singledispatch

from immutables import Map

from acaciawing.idempotency import agreement
from acaciawing.idempotency.commit import (
    FINISH_DELAY_S,
    apply_batch,
    commit,
    release,
    requeue_inflight,
)
from acaciawing.idempotency.events import (
    BatchAppended,
    BatchNotAppended,
    BatchRead,
    BatchUnconfirmed,
    ClaimRequested,
    Denied,
    Joined,
    LogHeadReached,
    LogUnreachable,
    MayHaveRun,
    Output,
    PeerAnswerReceived,
    PeerRequestReceived,
    ReadStarted,
    ReleaseRequested,
    RequestFinished,
    RequestWithdrawn,
    RosterRead,
    SendAnswer,
    SendDecision,
    Tick,
)
from acaciawing.idempotency.records import (
    Claim,
    ClaimFinished,
)
from acaciawing.idempotency.state import (
    ClaimState,
    PendingClaim,
    StepResult,
    known_decision,
    resolve,
    superseded_members,
    without_key,
)

# While appends fail but reads succeed, one append at a time probes the log. Claims
# made in the meantime wait for at most one timeout of the log client.
_PROBE_INTERVAL_S = 2.0
# Number of consecutive unconfirmed appends after which the log is considered
# unreachable. After one lost response a second append is cheaper than requests to
# all peers.
_FAILED_APPENDS_LIMIT = 2
_PRUNE_INTERVAL_S = 60.0


@singledispatch
def step(event: object, state: ClaimState, now: float) -> StepResult:
    """Applies one input.

    Args:
        event: One of the inputs of `acaciawing.idempotency.events`.
        state: State before it.
        now: Monotonic time, in seconds.

    Returns:
        The state after it and the outputs to execute.

    Raises:
        TypeError: If the input is of another type.
    """
    raise TypeError(type(event).__name__)


@step.register
def _(event: Joined, state: ClaimState, now: float) -> StepResult:
    others = event.predecessors - {state.me}
    state = replace(
        state,
        predecessors=others,
        joined_at=now,
        collect_at=now,
        members=state.members | others,
        roster=state.roster | others,
    )
    return _record_ended(state, frozenset()), ()


@step.register
def _(event: RosterRead, state: ClaimState, now: float) -> StepResult:
    # The consent of a member that left the roster is required until the claim
    # stream was read past its end, since it may have claims there that are not
    # read yet.
    roster = event.members - {state.me}
    left = state.roster - roster
    state = replace(state, members=state.members | roster, roster=roster)
    state = _record_ended(state, event.ended | left)
    if state.predecessors is not None and state.me not in event.members:
        return _stop_keyed_requests(state)
    return agreement.advance_all(state, now)


def _stop_keyed_requests(state: ClaimState) -> StepResult:
    """Ends all pending claims: peers no longer request this instance's consent."""
    outputs: list[Output] = []
    for pending in tuple(state.pending.values()):
        state, more = resolve(state, pending, MayHaveRun("not-on-roster"))
        outputs.extend(more)
    state = replace(
        state, predecessors=None, complete=False, read_completes=False
    )
    return state, tuple(outputs)


def _record_ended(state: ClaimState, ended: frozenset[str]) -> ClaimState:
    replaced = superseded_members(state.members | {state.me})
    ended = (state.ended | ended | replaced) - {state.me}
    return replace(state, ended=ended)


@step.register
def _(event: ClaimRequested, state: ClaimState, now: float) -> StepResult:
    if state.predecessors is None:
        return state, (SendDecision(event.token, MayHaveRun("not-on-roster")),)
    if not state.complete:
        return state, (
            SendDecision(event.token, MayHaveRun("memory-incomplete")),
        )
    known = known_decision(state, event.digest, event.fingerprint)
    if known is not None:
        return state, (SendDecision(event.token, known),)
    number = state.claims_made + 1
    claim_id = f"{state.me}/{number}"
    claim = Claim(event.customer, event.digest, event.fingerprint, claim_id)
    pending = PendingClaim(claim, event.token, event.deadline)
    state = replace(
        state,
        claims_made=number,
        pending=state.pending.set(claim_id, pending),
        keys=state.keys.set(event.digest, claim_id),
    )
    if not state.log_up:
        return agreement.begin(state, pending, now)
    state = replace(state, outbox=state.outbox.set(claim_id, claim))
    return commit(state, now)


@step.register
def _(event: RequestFinished, state: ClaimState, now: float) -> StepResult:
    own = state.runs.get(event.claim.digest)
    if own is None or own.claim != event.claim:
        return state, ()
    digest, claim_id = own.claim.digest, own.claim.claim_id
    ended = ClaimFinished(digest, claim_id, event.status)
    state = replace(
        state,
        runs=state.runs.set(digest, replace(own, status=event.status)),
        finished=state.finished.set(claim_id, ended),
        finish_due_at=min(state.finish_due_at, now + FINISH_DELAY_S),
    )
    return state, ()


@step.register
def _(event: ReleaseRequested, state: ClaimState, now: float) -> StepResult:
    own = state.runs.get(event.claim.digest)
    if own is None or own.claim != event.claim or own.status is not None:
        return state, ()
    state = replace(state, runs=state.runs.delete(event.claim.digest))
    grant = state.grants.get(event.claim.digest)
    if grant is not None and grant.claim == event.claim:
        state = replace(
            state,
            grants=state.grants.delete(event.claim.digest),
            unflushed=without_key(state.unflushed, event.claim.digest),
        )
    return commit(release(state, event.claim), now)


@step.register
def _(event: RequestWithdrawn, state: ClaimState, now: float) -> StepResult:
    for pending in state.pending.values():
        if pending.token == event.token:
            return resolve(state, pending, MayHaveRun("claim-timeout"))
    return state, ()


@step.register
def _(event: BatchAppended, state: ClaimState, now: float) -> StepResult:
    return replace(state, inflight_offset=event.offset, failed_appends=0), ()


@step.register
def _(event: BatchUnconfirmed, state: ClaimState, now: float) -> StepResult:
    failed = state.failed_appends + 1
    state = replace(requeue_inflight(state, now), failed_appends=failed)
    if failed < _FAILED_APPENDS_LIMIT:
        return state, ()
    return step(LogUnreachable(), state, now)


@step.register
def _(event: BatchNotAppended, state: ClaimState, now: float) -> StepResult:
    failed = state.failed_appends + 1
    state = replace(requeue_inflight(state, now), failed_appends=failed)
    return step(LogUnreachable(), state, now)


@step.register
def _(event: BatchRead, state: ClaimState, now: float) -> StepResult:
    return apply_batch(event, state, now)


@step.register
def _(event: ReadStarted, state: ClaimState, now: float) -> StepResult:
    state = replace(
        state,
        read_ended=state.ended,
        read_completes=agreement.completes_memory(state, now),
        read_offset=state.inflight_offset,
    )
    return state, ()


@step.register
def _(event: LogHeadReached, state: ClaimState, now: float) -> StepResult:
    probing = now >= state.last_append_at + _PROBE_INTERVAL_S
    state = replace(
        state,
        log_up=state.failed_appends == 0 or probing or state.log_up,
        covered=state.covered | state.read_ended,
        complete=state.complete or state.read_completes,
    )
    offset = state.inflight_offset
    if offset is not None and offset == state.read_offset:
        state = replace(state, inflight=None, inflight_offset=None)
    state, outputs = agreement.advance_all(state, now)
    state, more = commit(state, now)
    return state, outputs + more


@step.register
def _(event: LogUnreachable, state: ClaimState, now: float) -> StepResult:
    state = replace(state, log_up=False)
    outputs: list[Output] = []
    for proxied in state.proxied.values():
        denied = Denied(agreement.LOG_UNREACHABLE)
        outputs.extend(SendAnswer(token, denied) for token in proxied.tokens)
    state = replace(state, proxied=Map())
    for pending in tuple(state.pending.values()):
        if not pending.agreeing:
            state, more = agreement.begin(state, pending, now)
            outputs.extend(more)
    return state, tuple(outputs)


# Peers and time.


@step.register
def _(event: PeerRequestReceived, state: ClaimState, now: float) -> StepResult:
    state, outputs = agreement.handle_request(event, state, now)
    state, more = commit(state, now)
    return state, outputs + more


@step.register
def _(event: PeerAnswerReceived, state: ClaimState, now: float) -> StepResult:
    return agreement.handle_answer(event, state, now)


@step.register
def _(event: Tick, state: ClaimState, now: float) -> StepResult:
    outputs: list[Output] = []
    for pending in tuple(state.pending.values()):
        if now >= pending.deadline:
            state, more = resolve(state, pending, MayHaveRun("claim-timeout"))
            outputs.extend(more)
    for proxied in tuple(state.proxied.values()):
        if now >= proxied.deadline:
            denied = Denied("claim-timeout")
            outputs.extend(
                SendAnswer(token, denied) for token in proxied.tokens
            )
            claim_id = proxied.claim.claim_id
            state = replace(
                state,
                proxied=state.proxied.delete(claim_id),
                outbox=without_key(state.outbox, claim_id),
            )
    state = _prune(state, now)
    state, advanced = agreement.advance_all(state, now)
    state, requests = agreement.collect_grants(state, now)
    state, more = commit(state, now)
    return state, (*outputs, *advanced, *requests, *more)


def _prune(state: ClaimState, now: float) -> ClaimState:
    if now - state.pruned_at < _PRUNE_INTERVAL_S:
        return state
    limit = now - state.table.retention_s
    runs, grants = state.runs.mutate(), state.grants.mutate()
    unflushed = state.unflushed
    for digest, own in state.runs.items():
        if own.since < limit:
            del runs[digest]
    for digest, grant in state.grants.items():
        if grant.since < limit:
            del grants[digest]
            unflushed = without_key(unflushed, digest)
    return replace(
        state,
        runs=runs.finish(),
        grants=grants.finish(),
        unflushed=unflushed,
        pruned_at=now,
    )
