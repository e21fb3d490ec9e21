"""Claims of idempotency keys: a non-idempotent request runs at most once."""

from acaciawing.idempotency.events import (
    ClaimDecision,
    Finished,
    InProgress,
    KeyReused,
    MayHaveRun,
    Run,
)
from acaciawing.idempotency.records import (
    Claim,
    ClaimBatch,
    ClaimFinished,
    ClaimReleased,
    key_digest,
    request_fingerprint,
    shard_of,
    stream_name,
)
from acaciawing.idempotency.rules import step
from acaciawing.idempotency.state import ClaimState
from acaciawing.idempotency.table import RETENTION_S, ClaimTable, Holder
from acaciawing.idempotency.task import ClaimTask

__all__ = [
    "RETENTION_S",
    "Claim",
    "ClaimBatch",
    "ClaimDecision",
    "ClaimFinished",
    "ClaimReleased",
    "ClaimState",
    "ClaimTable",
    "ClaimTask",
    "Finished",
    "Holder",
    "InProgress",
    "KeyReused",
    "MayHaveRun",
    "Run",
    "key_digest",
    "request_fingerprint",
    "shard_of",
    "step",
    "stream_name",
]
