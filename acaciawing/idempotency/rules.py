"""Rules of at-most-once execution with the log: group commit and read-back.

A claim runs only when its own record was read back as the first one of its
key. Append outcomes decide nothing, so a response that was lost after taking
effect, or an append that takes effect late, does no harm. While the log is
away the rules of `acaciawing.idempotency.agreement` apply.
"""

from dataclasses import replace
from functools import singledispatch

from immutables import Map

from acaciawing.idempotency import agreement
from acaciawing.idempotency.events import (
    Append,
    BatchAppended,
    BatchNotAppended,
    BatchRead,
    BatchUnknown,
    CaughtUp,
    ClaimWanted,
    Decided,
    Denied,
    FinishWanted,
    Joined,
    LogAway,
    Output,
    PeerAnswered,
    PeerAsked,
    ReadBegan,
    ReleaseWanted,
    Reply,
    RosterRead,
    Tick,
    Unknown,
    WantedNoMore,
    Won,
)
from acaciawing.idempotency.records import (
    Claim,
    ClaimBatch,
    ClaimFinished,
    ClaimReleased,
)
from acaciawing.idempotency.state import (
    ClaimState,
    Pending,
    Stepped,
    known_decision,
    run,
    settle,
    superseded,
    without,
)
from acaciawing.idempotency.table import Holder, apply

# Bounds a record to about 64 KiB.
_MAX_BATCH = 400
# Ends only serve repeats with their status, so they wait for claims to travel
# with and cost at most one append a second without any.
_FINISH_DELAY_S = 1.0
_PRUNE_EVERY_S = 60.0


@singledispatch
def step(event: object, state: ClaimState, now: float) -> Stepped:
    """Applies one input.

    Args:
        event: One of the inputs of `acaciawing.idempotency.events`.
        state: State before it.
        now: Monotonic time, in seconds.

    Returns:
        The state after it and what to do.

    Raises:
        TypeError: If the input is of another type.
    """
    raise TypeError(type(event).__name__)


@step.register
def _(event: Joined, state: ClaimState, now: float) -> Stepped:
    others = event.predecessors - {state.me}
    state = replace(
        state,
        predecessors=others,
        joined_at=now,
        collect_at=now,
        members=state.members | others,
        roster=state.roster | others,
    )
    return _note_ended(state, frozenset()), ()


@step.register
def _(event: RosterRead, state: ClaimState, now: float) -> Stepped:
    # A member that left the roster counts until the claim stream was read
    # past its end: it may have claimed there what is not read yet.
    roster = event.members - {state.me}
    left = state.roster - roster
    state = replace(state, members=state.members | roster, roster=roster)
    state = _note_ended(state, event.ended | left)
    if state.predecessors is not None and state.me not in event.members:
        return _expelled(state)
    return agreement.advance_all(state, now)


def _expelled(state: ClaimState) -> Stepped:
    """Stops all keyed work, since the others no longer ask this instance."""
    outputs: list[Output] = []
    for pending in tuple(state.pending.values()):
        state, more = settle(state, pending, Unknown("not-on-roster"))
        outputs.extend(more)
    state = replace(
        state, predecessors=None, complete=False, read_completes=False
    )
    return state, tuple(outputs)


def _note_ended(state: ClaimState, ended: frozenset[str]) -> ClaimState:
    replaced = superseded(state.members | {state.me})
    ended = (state.ended | ended | replaced) - {state.me}
    return replace(state, ended=ended)


@step.register
def _(event: ClaimWanted, state: ClaimState, now: float) -> Stepped:
    if state.predecessors is None:
        return state, (Decided(event.token, Unknown("not-on-roster")),)
    if not state.complete:
        return state, (Decided(event.token, Unknown("memory-incomplete")),)
    known = known_decision(state, event.digest, event.fingerprint)
    if known is not None:
        return state, (Decided(event.token, known),)
    number = state.claims_made + 1
    claim_id = f"{state.me}/{number}"
    claim = Claim(event.customer, event.digest, event.fingerprint, claim_id)
    pending = Pending(claim, event.token, event.deadline)
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
def _(event: FinishWanted, state: ClaimState, now: float) -> Stepped:
    own = state.runs.get(event.claim.digest)
    if own is None or own.claim != event.claim:
        return state, ()
    digest, claim_id = own.claim.digest, own.claim.claim_id
    ended = ClaimFinished(digest, claim_id, event.status)
    state = replace(
        state,
        runs=state.runs.set(digest, replace(own, status=event.status)),
        finished=state.finished.set(claim_id, ended),
        finish_due_at=min(state.finish_due_at, now + _FINISH_DELAY_S),
    )
    return state, ()


@step.register
def _(event: ReleaseWanted, state: ClaimState, now: float) -> Stepped:
    own = state.runs.get(event.claim.digest)
    if own is None or own.claim != event.claim or own.status is not None:
        return state, ()
    state = replace(state, runs=state.runs.delete(event.claim.digest))
    grant = state.grants.get(event.claim.digest)
    if grant is not None and grant.claim == event.claim:
        state = replace(
            state,
            grants=state.grants.delete(event.claim.digest),
            unflushed=without(state.unflushed, event.claim.digest),
        )
    return commit(_release(state, event.claim), now)


@step.register
def _(event: WantedNoMore, state: ClaimState, now: float) -> Stepped:
    for pending in state.pending.values():
        if pending.token == event.token:
            return settle(state, pending, Unknown("claim-timeout"))
    return state, ()


def _release(state: ClaimState, claim: Claim) -> ClaimState:
    released = ClaimReleased(claim.digest, claim.claim_id)
    releases = state.releases.set(claim.claim_id, released)
    return replace(state, releases=releases)


# Appends.


def commit(state: ClaimState, now: float) -> Stepped:
    """Appends what waits, if the log is up and the interval has passed."""
    ready = state.outbox or state.unflushed or state.releases
    due = state.finished and now >= state.finish_due_at
    early = now < state.append_due_at
    if not state.log_up or state.inflight or early or not (ready or due):
        return state, ()
    # Grants go before all claims, in this record or in earlier ones.
    claims = tuple(state.unflushed.values())[:_MAX_BATCH]
    chosen: tuple[Claim, ...] = ()
    if len(claims) < _MAX_BATCH:
        chosen = tuple(state.outbox.values())[: _MAX_BATCH - len(claims)]
    batch = ClaimBatch(
        claims + chosen,
        tuple(state.releases.values())[:_MAX_BATCH],
        tuple(state.finished.values())[:_MAX_BATCH],
    )
    outbox = state.outbox.mutate()
    for claim in chosen:
        del outbox[claim.claim_id]
    state = replace(
        state,
        outbox=outbox.finish(),
        inflight=batch,
        inflight_offset=None,
        last_append_at=now,
        finish_due_at=float("inf"),
    )
    return state, (Append(batch),)


@step.register
def _(event: BatchAppended, state: ClaimState, now: float) -> Stepped:
    return replace(state, inflight_offset=event.offset), ()


@step.register(BatchUnknown)
@step.register(BatchNotAppended)
def _(
    event: BatchUnknown | BatchNotAppended, state: ClaimState, now: float
) -> Stepped:
    # The same claim ids are appended again. If the first append took effect
    # after all, the fold ignores the second.
    outbox = state.outbox.mutate()
    for claim in state.inflight.claims if state.inflight else ():
        pending = state.pending.get(claim.claim_id)
        wanted = pending is not None and not pending.agreeing
        if wanted or claim.claim_id in state.proxied:
            outbox[claim.claim_id] = claim
    due = now + _FINISH_DELAY_S if state.finished else float("inf")
    state = replace(
        state, outbox=outbox.finish(), inflight=None, finish_due_at=due
    )
    return state, ()


@step.register
def _(event: BatchRead, state: ClaimState, now: float) -> Stepped:
    table, _verdict = apply(event.batch, state.table, event.position)
    state = replace(state, table=table)
    for release in event.batch.releases:
        state = _release_read(state, release)
    for ended in event.batch.finished:
        state = _finish_read(state, ended)
    outputs: list[Output] = []
    for claim in event.batch.claims:
        state, more = _claim_read(state, claim, now)
        outputs.extend(more)
    offset = state.inflight_offset
    if offset is not None and event.position.offset >= offset:
        state = replace(state, inflight=None, inflight_offset=None)
    return state, tuple(outputs)


def _release_read(state: ClaimState, release: ClaimReleased) -> ClaimState:
    grant = state.grants.get(release.digest)
    unflushed = state.unflushed
    if grant is not None and state.table.holder(release.digest) is None:
        # The key is free again in the log, but the grant still counts.
        unflushed = unflushed.set(release.digest, grant.claim)
    return replace(
        state,
        unflushed=unflushed,
        releases=without(state.releases, release.claim_id),
    )


def _finish_read(state: ClaimState, ended: ClaimFinished) -> ClaimState:
    state = replace(state, finished=without(state.finished, ended.claim_id))
    own, holder = state.runs.get(ended.digest), state.table.holder(ended.digest)
    if own is None or holder is None or holder.claim != own.claim:
        return state
    return replace(state, runs=state.runs.delete(ended.digest))


def _claim_read(state: ClaimState, claim: Claim, now: float) -> Stepped:
    holder = state.table.holder(claim.digest)
    if holder is None:
        return state, ()
    first = holder.claim
    state = _grant_read(state, first)
    outputs: tuple[Output, ...] = ()
    proxied = state.proxied.get(claim.claim_id)
    if proxied is not None:
        answer = (
            Won() if first.claim_id == claim.claim_id else Denied("claimed")
        )
        outputs = tuple(Reply(token, answer) for token in proxied.tokens)
        state = replace(
            state,
            proxied=state.proxied.delete(claim.claim_id),
            outbox=without(state.outbox, claim.claim_id),
        )
    claim_id = state.keys.get(claim.digest)
    if claim_id is not None:
        pending = state.pending[claim_id]
        if first.claim_id == claim_id:
            state, more = run(state, pending, now)
        else:
            state, more = settle(state, pending, Unknown("claimed"))
        outputs += more
    if first.claim_id == claim.claim_id and _is_dead(state, holder):
        state = _release(state, claim)
    return state, outputs


def _grant_read(state: ClaimState, first: Claim) -> ClaimState:
    grant = state.grants.get(first.digest)
    if grant is None:
        return state
    state = replace(state, unflushed=without(state.unflushed, first.digest))
    if grant.claim.claim_id == first.claim_id:
        state = replace(state, grants=state.grants.delete(first.digest))
    return state


def _is_dead(state: ClaimState, holder: Holder) -> bool:
    """Whether an own claim can be released, since nobody ran the key.

    A holder with a status ran, although `ClaimState.runs` has forgotten it. A
    grant of the key to another member means that this one gave up its own
    claim for it; the other may have run under the protection of the held key.
    """
    claim = holder.claim
    own = state.runs.get(claim.digest)
    return (
        claim.owner == state.me
        and holder.status is None
        and claim.digest not in state.grants
        and (own is None or own.claim.claim_id != claim.claim_id)
    )


@step.register
def _(event: ReadBegan, state: ClaimState, now: float) -> Stepped:
    state = replace(
        state,
        read_ended=state.ended,
        read_completes=agreement.knows_all(state, now),
        read_offset=state.inflight_offset,
    )
    return state, ()


@step.register
def _(event: CaughtUp, state: ClaimState, now: float) -> Stepped:
    state = replace(
        state,
        log_up=True,
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
def _(event: LogAway, state: ClaimState, now: float) -> Stepped:
    state = replace(state, log_up=False)
    outputs: list[Output] = []
    for proxied in state.proxied.values():
        denied = Denied("log-away")
        outputs.extend(Reply(token, denied) for token in proxied.tokens)
    state = replace(state, proxied=Map())
    for pending in tuple(state.pending.values()):
        if not pending.agreeing:
            state, more = agreement.begin(state, pending, now)
            outputs.extend(more)
    return state, tuple(outputs)


# Peers and time.


@step.register
def _(event: PeerAsked, state: ClaimState, now: float) -> Stepped:
    state, outputs = agreement.answer(event, state, now)
    state, more = commit(state, now)
    return state, outputs + more


@step.register
def _(event: PeerAnswered, state: ClaimState, now: float) -> Stepped:
    return agreement.answered(event, state, now)


@step.register
def _(event: Tick, state: ClaimState, now: float) -> Stepped:
    outputs: list[Output] = []
    for pending in tuple(state.pending.values()):
        if now >= pending.deadline:
            state, more = settle(state, pending, Unknown("claim-timeout"))
            outputs.extend(more)
    for proxied in tuple(state.proxied.values()):
        if now >= proxied.deadline:
            denied = Denied("claim-timeout")
            outputs.extend(Reply(token, denied) for token in proxied.tokens)
            claim_id = proxied.claim.claim_id
            state = replace(
                state,
                proxied=state.proxied.delete(claim_id),
                outbox=without(state.outbox, claim_id),
            )
    state = _prune(state, now)
    state, asks = agreement.collect(state, now)
    state, more = commit(state, now)
    return state, (*outputs, *asks, *more)


def _prune(state: ClaimState, now: float) -> ClaimState:
    if now - state.pruned_at < _PRUNE_EVERY_S:
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
            unflushed = without(unflushed, digest)
    return replace(
        state,
        runs=runs.finish(),
        grants=grants.finish(),
        unflushed=unflushed,
        pruned_at=now,
    )
