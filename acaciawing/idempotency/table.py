"""Fold of one claim stream: the claim that holds each key."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import singledispatch
from sys import intern
from typing import TypeAlias

from immutables import Map

from acaciawing.idempotency.records import (
    Claim,
    ClaimBatch,
    ClaimFinished,
    ClaimReleased,
)
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition

RETENTION_S = 24 * 3600.0
# Expired keys are removed in slots of one minute of log time. A scan per minute
# over the keys of one slot replaces an ordered structure over all keys.
_SLOT_DURATION_S = 60.0


# Digests of one minute, the newest batch first. In a linked list a batch is added
# without a copy and costs one pointer for each key.
_Slot: TypeAlias = "tuple[tuple[str, ...], _Slot] | None"


@dataclass(frozen=True, slots=True)
class Holder:
    """The claim that holds a key.

    Attributes:
        claim: The first valid claim of the key.
        claimed_at: Log time of its append, in seconds.
        status: Status that the request ended with, if it was recorded.
    """

    claim: Claim
    claimed_at: float
    status: int | None = None


@dataclass(frozen=True)
class ClaimTable:
    """Holders of keys at one offset of a claim stream.

    Attributes:
        retention_s: Seconds of log time for which a claim holds its key.
        log_time: Log time of the newest record, in seconds.
        holders: Holders by key digest.
        slots: Digests by minute of their claim, without expired slots.
        oldest_slot: Lowest slot number that has not expired.
    """

    retention_s: float = RETENTION_S
    log_time: float = 0.0
    holders: Map[str, Holder] = Map()
    # Excluded from repr and comparison, which would recurse along the linked list.
    slots: Map[int, _Slot] = field(default=Map(), repr=False, compare=False)
    oldest_slot: int = 0

    def holder(self, digest: str) -> Holder | None:
        """Returns the holder of a key at `log_time`, or None."""
        holder = self.holders.get(digest)
        if holder is None or self.expired(holder):
            return None
        return holder

    def expired(self, holder: Holder) -> bool:
        """Whether a holder's claim has expired at `log_time`."""
        return self.log_time - holder.claimed_at >= self.retention_s


@singledispatch
def apply(
    record: object, table: ClaimTable, position: LogPosition
) -> tuple[ClaimTable, RecordOutcome]:
    """Applies a record of a claim stream.

    Args:
        record: `ClaimBatch`, or one element of it.
        table: The table before it.
        position: Position of the batch in its stream.

    Returns:
        The table after it and the outcome.

    Raises:
        TypeError: If the record does not concern claims.
    """
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: ClaimBatch, table: ClaimTable, position: LogPosition
) -> tuple[ClaimTable, RecordOutcome]:
    table = _advance_time(table, position)
    for release in record.releases:
        table, _outcome = apply(release, table, position)
    table = _assign_keys(record.claims, table, position)
    for finished in record.finished:
        table, _outcome = apply(finished, table, position)
    return table, Accepted()


@apply.register
def _(
    record: Claim, table: ClaimTable, position: LogPosition
) -> tuple[ClaimTable, RecordOutcome]:
    table = _advance_time(table, position)
    holder = table.holder(record.digest)
    if holder is not None:
        return table, Ignored("claimed", holder.claim.claim_id)
    return _assign_keys((record,), table, position), Accepted()


def _assign_keys(
    claims: tuple[Claim, ...], table: ClaimTable, position: LogPosition
) -> ClaimTable:
    """Makes each claim the holder of its key unless the key is held."""
    holders = table.holders.mutate()
    assigned: list[str] = []
    for claim in claims:
        held = holders.get(claim.digest)
        if held is not None and not table.expired(held):
            continue
        # Decoding creates a new string for each record, but customers are few.
        customer = intern(claim.customer)
        interned = Claim(
            customer, claim.digest, claim.fingerprint, claim.claim_id
        )
        holders[interned.digest] = Holder(interned, position.appended_at)
        assigned.append(interned.digest)
    if not assigned:
        return table
    slot = int(position.appended_at // _SLOT_DURATION_S)
    older = table.slots.get(slot)
    slots = table.slots.set(slot, (tuple(assigned), older))
    return replace(table, holders=holders.finish(), slots=slots)


@apply.register
def _(
    record: ClaimReleased, table: ClaimTable, position: LogPosition
) -> tuple[ClaimTable, RecordOutcome]:
    holder = table.holders.get(record.digest)
    if holder is None or holder.claim.claim_id != record.claim_id:
        return table, Ignored("not-the-holder", record.claim_id)
    holders = table.holders.delete(record.digest)
    return replace(table, holders=holders), Accepted()


@apply.register
def _(
    record: ClaimFinished, table: ClaimTable, position: LogPosition
) -> tuple[ClaimTable, RecordOutcome]:
    holder = table.holders.get(record.digest)
    if holder is None or holder.claim.claim_id != record.claim_id:
        return table, Ignored("not-the-holder", record.claim_id)
    finished = replace(holder, status=record.status)
    holders = table.holders.set(record.digest, finished)
    return replace(table, holders=holders), Accepted()


def _advance_time(table: ClaimTable, position: LogPosition) -> ClaimTable:
    """Advances the log time of the table and removes expired slots."""
    log_time = position.appended_at
    if log_time <= table.log_time:
        return table
    table = replace(table, log_time=log_time)
    # A slot is removed as a whole, so only once its last second has expired.
    oldest_slot = int((log_time - table.retention_s) // _SLOT_DURATION_S)
    if oldest_slot <= table.oldest_slot:
        return table
    holders, slots = table.holders.mutate(), table.slots
    for slot in sorted(s for s in slots if s < oldest_slot):
        for digest in _digests(slots[slot]):
            holder = holders.get(digest)
            # A released key may have been claimed again in a later slot.
            if (
                holder is not None
                and holder.claimed_at < oldest_slot * _SLOT_DURATION_S
            ):
                del holders[digest]
        slots = slots.delete(slot)
    return replace(
        table, holders=holders.finish(), slots=slots, oldest_slot=oldest_slot
    )


def _digests(slot: _Slot) -> Iterator[str]:
    while slot is not None:
        digests, slot = slot
        yield from digests
