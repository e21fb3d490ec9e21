"""Group commit of claims, and decisions by the batches read from the log.

One append carries everything that waits: remembered grants first, then claims,
with the releases and the ends of requests. A claim wins only when it is read
back as the first one of its key.
"""

from dataclasses import replace

from acaciawing.idempotency.events import (
    Append,
    BatchRead,
    Denied,
    MayHaveRun,
    Output,
    SendAnswer,
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
    StepResult,
    decide_run,
    resolve,
    without_key,
)
from acaciawing.idempotency.table import Holder, apply

# Bounds a record to about 64 KiB.
_MAX_BATCH_ITEMS = 400
# The end of a request is recorded only to return its status to repeats. Ends
# therefore wait for a batch with claims; without claims they cost at most one
# append per second.
FINISH_DELAY_S = 1.0


def release(state: ClaimState, claim: Claim) -> ClaimState:
    """Adds the release of an own claim to the next batch."""
    released = ClaimReleased(claim.digest, claim.claim_id)
    releases = state.releases.set(claim.claim_id, released)
    return replace(state, releases=releases)


def commit(state: ClaimState, now: float) -> StepResult:
    """Appends a batch if the log is up and the append interval has passed."""
    ready = state.outbox or state.unflushed or state.releases
    due = state.finished and now >= state.finish_due_at
    early = now < state.append_due_at
    if not state.log_up or state.inflight or early or not (ready or due):
        return state, ()
    # Grants precede all claims, in this record or in earlier ones.
    claims = tuple(state.unflushed.values())[:_MAX_BATCH_ITEMS]
    chosen: tuple[Claim, ...] = ()
    if len(claims) < _MAX_BATCH_ITEMS:
        chosen = tuple(state.outbox.values())[: _MAX_BATCH_ITEMS - len(claims)]
    batch = ClaimBatch(
        claims + chosen,
        tuple(state.releases.values())[:_MAX_BATCH_ITEMS],
        tuple(state.finished.values())[:_MAX_BATCH_ITEMS],
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


def requeue_inflight(state: ClaimState, now: float) -> ClaimState:
    """Moves the claims of an unconfirmed or failed batch to the next batch.

    The claims keep their ids. If the first append took effect after all, the
    fold ignores the second one.
    """
    outbox = state.outbox.mutate()
    for claim in state.inflight.claims if state.inflight else ():
        pending = state.pending.get(claim.claim_id)
        needs_append = pending is not None and not pending.agreeing
        if needs_append or claim.claim_id in state.proxied:
            outbox[claim.claim_id] = claim
    due = now + FINISH_DELAY_S if state.finished else float("inf")
    return replace(
        state, outbox=outbox.finish(), inflight=None, finish_due_at=due
    )


def apply_batch(event: BatchRead, state: ClaimState, now: float) -> StepResult:
    """Folds a batch of any instance and decides the pending claims it affects."""
    table, _outcome = apply(event.batch, state.table, event.position)
    state = replace(state, table=table)
    for release in event.batch.releases:
        state = _apply_release(state, release)
    for finished in event.batch.finished:
        state = _apply_finish(state, finished)
    outputs: list[Output] = []
    for claim in event.batch.claims:
        state, more = _apply_claim(state, claim, now)
        outputs.extend(more)
    offset = state.inflight_offset
    if offset is not None and event.position.offset >= offset:
        state = replace(state, inflight=None, inflight_offset=None)
    return state, tuple(outputs)


def _apply_release(state: ClaimState, release: ClaimReleased) -> ClaimState:
    grant = state.grants.get(release.digest)
    unflushed = state.unflushed
    if grant is not None and state.table.holder(release.digest) is None:
        # The key is free again in the log, but the grant is still valid.
        unflushed = unflushed.set(release.digest, grant.claim)
    return replace(
        state,
        unflushed=unflushed,
        releases=without_key(state.releases, release.claim_id),
    )


def _apply_finish(state: ClaimState, finished: ClaimFinished) -> ClaimState:
    state = replace(
        state, finished=without_key(state.finished, finished.claim_id)
    )
    own, holder = (
        state.runs.get(finished.digest),
        state.table.holder(finished.digest),
    )
    if own is None or holder is None or holder.claim != own.claim:
        return state
    return replace(state, runs=state.runs.delete(finished.digest))


def _apply_claim(state: ClaimState, claim: Claim, now: float) -> StepResult:
    holder = state.table.holder(claim.digest)
    if holder is None:
        return state, ()
    first = holder.claim
    state = _remove_recorded_grant(state, first)
    outputs: tuple[Output, ...] = ()
    proxied = state.proxied.get(claim.claim_id)
    if proxied is not None:
        answer = (
            Won() if first.claim_id == claim.claim_id else Denied("claimed")
        )
        outputs = tuple(SendAnswer(token, answer) for token in proxied.tokens)
        state = replace(
            state,
            proxied=state.proxied.delete(claim.claim_id),
            outbox=without_key(state.outbox, claim.claim_id),
        )
    claim_id = state.keys.get(claim.digest)
    if claim_id is not None:
        pending = state.pending[claim_id]
        if first.claim_id == claim_id:
            state, more = decide_run(state, pending, now)
        else:
            state, more = resolve(
                state, pending, MayHaveRun("claimed", first.owner)
            )
        outputs += more
    if first.claim_id == claim.claim_id and _is_releasable(state, holder):
        state = release(state, claim)
    return state, outputs


def _remove_recorded_grant(state: ClaimState, first: Claim) -> ClaimState:
    grant = state.grants.get(first.digest)
    if grant is None:
        return state
    state = replace(state, unflushed=without_key(state.unflushed, first.digest))
    if grant.claim.claim_id == first.claim_id:
        state = replace(state, grants=state.grants.delete(first.digest))
    return state


def _is_releasable(state: ClaimState, holder: Holder) -> bool:
    """Whether an own claim can be released because its request never ran.

    A holder with a status has run, even if it is no longer in `ClaimState.runs`.
    A grant of the key to another member means that this instance abandoned its
    own claim in favor of that member, which may have run the request while this
    claim held the key.
    """
    claim = holder.claim
    own = state.runs.get(claim.digest)
    return (
        claim.owner == state.me
        and holder.status is None
        and claim.digest not in state.grants
        and (own is None or own.claim.claim_id != claim.claim_id)
    )
