"""Baseline rules of at-most-once execution, for the same model."""

from dataclasses import replace

import xxhash

from acaciawing.idempotency import events as e
from acaciawing.idempotency.records import Claim
from acaciawing.idempotency.rules import step
from acaciawing.idempotency.state import (
    ClaimState,
    Grant,
    OwnRun,
    PendingClaim,
    StepResult,
    known_decision,
)

_ZONES = {"a": "x", "b": "x", "c": "y", "d": "y"}


def memory_only(event: object, state: ClaimState, now: float) -> StepResult:
    """Each instance remembers only the keys of its own requests."""
    if isinstance(event, e.RequestFinished | e.ReleaseRequested):
        return step(event, state, now)
    if not isinstance(event, e.ClaimRequested):
        return state, ()
    known = known_decision(state, event.digest, event.fingerprint)
    if known is not None:
        return state, (e.SendDecision(event.token, known),)
    claim = _claim(event, state)
    runs = state.runs.set(event.digest, OwnRun(claim, now))
    state = replace(state, runs=runs, claims_made=state.claims_made + 1)
    return state, (e.SendDecision(event.token, e.Run(claim)),)


def zone_owner(event: object, state: ClaimState, now: float) -> StepResult:
    """One owner of each key per zone, by rendezvous hashing, remembers it."""
    if isinstance(event, e.RosterRead):
        members = event.members - event.ended
        return replace(state, members=members), ()
    if isinstance(event, e.ClaimRequested):
        claim = _claim(event, state)
        pending = PendingClaim(claim, event.token, event.deadline)
        state = replace(
            state,
            pending=state.pending.set(claim.claim_id, pending),
            claims_made=state.claims_made + 1,
        )
        send = e.SendRequest(_owner(state, event.digest), e.GrantRequest(claim))
        return state, (send,)
    if isinstance(event, e.PeerRequestReceived):
        assert isinstance(event.request, e.GrantRequest)
        claim = event.request.claim
        if claim.digest in state.grants:
            return state, (e.SendAnswer(event.token, e.Denied("seen")),)
        grants = state.grants.set(claim.digest, Grant(claim, now))
        state = replace(state, grants=grants)
        return state, (e.SendAnswer(event.token, e.Won()),)
    if isinstance(event, e.PeerAnswerReceived) and isinstance(
        event.answer, e.Won
    ):
        assert isinstance(event.request, e.GrantRequest)
        claim = event.request.claim
        token = state.pending[claim.claim_id].token
        return state, (e.SendDecision(token, e.Run(claim)),)
    return state, ()


def _claim(event: e.ClaimRequested, state: ClaimState) -> Claim:
    claim_id = f"{state.me}/{state.claims_made + 1}"
    return Claim(event.customer, event.digest, event.fingerprint, claim_id)


def _owner(state: ClaimState, digest: str) -> str:
    zone = _ZONES[state.me[0]]
    return max(
        (m for m in state.members if _ZONES[m[0]] == zone),
        key=lambda m: xxhash.xxh3_64_intdigest(f"{m}{digest}".encode()),
    )
