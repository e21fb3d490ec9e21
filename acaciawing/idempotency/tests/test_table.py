"""Tests of the fold of a claim stream."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.idempotency import (
    Claim,
    ClaimBatch,
    ClaimFinished,
    ClaimReleased,
    ClaimTable,
)
from acaciawing.idempotency.table import apply
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.records import Envelope, LogPosition, decode, encode

_RETENTION_S = 300.0


class BaselineTable:
    """Baseline: scans a list of all records for each look-up."""

    def __init__(self) -> None:
        """Starts empty."""
        self._held: list[tuple[float, Claim, int | None]] = []
        self._now = 0.0

    def apply(self, batch: ClaimBatch, at: float) -> None:
        self._now = at
        for released in batch.releases:
            self._held = [
                h for h in self._held if h[1].claim_id != released.claim_id
            ]
        for claim in batch.claims:
            if self.holder(claim.digest) is None:
                self._held.append((at, claim, None))
        for ended in batch.finished:
            self._held = [
                (when, claim, ended.status)
                if claim.claim_id == ended.claim_id
                else (when, claim, status)
                for when, claim, status in self._held
            ]

    def holder(self, digest: str) -> tuple[str, int | None] | None:
        for when, claim, status in reversed(self._held):
            if claim.digest == digest and self._now - when < _RETENTION_S:
                return claim.claim_id, status
        return None


def claim(digest: str, claim_id: str) -> Claim:
    return Claim("customer", digest, "f", claim_id)


_IDS = st.integers(0, 9).map(lambda n: ("kl"[n % 2], f"a/1/{n}"))
_BATCHES = st.builds(
    ClaimBatch,
    st.lists(_IDS.map(lambda i: claim(*i)), max_size=3).map(tuple),
    st.lists(_IDS.map(lambda i: ClaimReleased(*i)), max_size=2).map(tuple),
    st.lists(_IDS.map(lambda i: ClaimFinished(*i, 200)), max_size=2).map(tuple),
)


class TestClaimTable:
    """All readers must agree on the holder of a key."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(_BATCHES, st.sampled_from((0.0, 7.0, 100.0, 299.0))),
            max_size=25,
        )
    )
    def test_same_as_baseline(
        self, script: list[tuple[ClaimBatch, float]]
    ) -> None:
        table, baseline, now = ClaimTable(_RETENTION_S), BaselineTable(), 0.0
        for offset, (batch, gap) in enumerate(script):
            now += gap
            table, _ = apply(batch, table, LogPosition(offset, now))
            baseline.apply(batch, now)
            for digest in "kl":
                holder = table.holder(digest)
                found = (
                    None
                    if holder is None
                    else (holder.claim.claim_id, holder.status)
                )
                assert found == baseline.holder(digest)

    def test_first_claim_wins_and_only_it_can_release(self) -> None:
        at = LogPosition(0, 1.0)
        table, first = apply(claim("k", "a/1/1"), ClaimTable(), at)
        table, second = apply(claim("k", "b/1/1"), table, at)
        table, foreign = apply(ClaimReleased("k", "b/1/1"), table, at)
        assert first == Accepted()
        assert isinstance(second, Ignored) and isinstance(foreign, Ignored)
        assert table.holder("k") is not None
        table, _ = apply(ClaimReleased("k", "a/1/1"), table, at)
        assert table.holder("k") is None

    def test_expired_keys_are_removed_from_memory(self) -> None:
        table = ClaimTable(_RETENTION_S)
        for number in range(100):
            batch = ClaimBatch((claim(f"k{number}", f"a/1/{number}"),))
            position = LogPosition(number, 60.0 * number)
            table, _ = apply(batch, table, position)
        assert len(table.holders) <= 7 and len(table.slots) <= 7

    def test_batch_is_equal_after_encoding_and_decoding(self) -> None:
        batch = ClaimBatch(
            (claim("k", "a/1/1"),),
            (ClaimReleased("l", "a/1/2"),),
            (ClaimFinished("m", "a/1/3", 200),),
        )
        assert decode(encode(batch, "a/1")) == Envelope("a/1", batch)
