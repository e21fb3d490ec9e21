"""Baseline recovery that trusts the newest part, a peer and the log."""

from collections.abc import Sequence

from acaciawing.fold import FleetState, step
from acaciawing.platform import CONTROL_STREAM, Batch, Log
from acaciawing.records import Envelope, decode
from acaciawing.snapshots import SNAPSHOT_STREAM, Undecodable, decode_state


def recover_unchecked(
    log: Log, peers: Sequence[FleetState]
) -> FleetState | None:
    """Recovers without checks of completeness, digest, offset or retention."""
    state = peers[0] if peers else FleetState()
    outcome = log.read(SNAPSHOT_STREAM, 0, 1000)
    if isinstance(outcome, Batch) and outcome.entries:
        found = [decode(entry.payload) for entry in outcome.entries]
        parts = [e.record for e in found if isinstance(e, Envelope)]
        newest = parts[-1].offset
        body = b"".join(p.data for p in parts if p.offset == newest)
        decoded = decode_state(body, FleetState)
        if isinstance(decoded, Undecodable):
            return None
        state = decoded
    outcome = log.read(CONTROL_STREAM, state.offset, 100_000)
    if isinstance(outcome, Batch):
        for entry in outcome.entries:
            state = step(state, entry.payload, entry.position).state
    return state
