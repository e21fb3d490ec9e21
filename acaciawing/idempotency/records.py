"""Claim records of the claim streams."""

import hashlib
from dataclasses import dataclass

import xxhash

from acaciawing.records import record_type


@dataclass(frozen=True, slots=True)
class Claim:
    """Attempt of a member to obtain the right to run a request with a key.

    Attributes:
        customer: Name of the customer.
        digest: Digest of customer and key; see `key_digest`.
        fingerprint: Digest of the request, to detect a key that is reused for
            another request.
        claim_id: ``instance/incarnation/number``; unique over time.
    """

    customer: str
    digest: str
    fingerprint: str
    claim_id: str

    @property
    def owner(self) -> str:
        """``instance/incarnation`` that may run the request."""
        return self.claim_id.rpartition("/")[0]


@dataclass(frozen=True)
class ClaimReleased:
    """The holder of a key did not run the request and never will by this claim."""

    digest: str
    claim_id: str


@dataclass(frozen=True)
class ClaimFinished:
    """The request of a key ended with a status."""

    digest: str
    claim_id: str
    status: int


@record_type("claim-batch", version=1)
@dataclass(frozen=True)
class ClaimBatch:
    """Group commit of one entry instance.

    Releases and ends are appended with the claims, so that they cost no append
    of their own. In one batch releases apply before the claims, ends after them.

    Attributes:
        claims: Claims; remembered grants come first.
        releases: Releases of claims in earlier batches.
        finished: Ends of requests claimed in earlier batches.
    """

    claims: tuple[Claim, ...] = ()
    releases: tuple[ClaimReleased, ...] = ()
    finished: tuple[ClaimFinished, ...] = ()


def key_digest(customer: str, key: str) -> str:
    """Computes the digest of an idempotency key and its customer.

    A collision would refuse a request that never ran. Callers choose the keys,
    so the digest is cryptographic.

    >>> key_digest("a", "bc") == key_digest("ab", "c")
    False
    """
    text = f"{len(customer)}:{customer}{key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def request_fingerprint(method: str, target: str, body: bytes) -> str:
    """Computes a digest of the parts that a repeat of a request must share.

    It only detects a key that is reused by mistake, so 8 bytes suffice.

    >>> len(request_fingerprint("POST", "/visits/book", b"{}"))
    16
    """
    head = f"{method} {target}\n".encode()
    return hashlib.blake2b(head + body, digest_size=8).hexdigest()


def shard_of(digest: str, shards: int) -> int:
    """Returns the number of the claim stream that holds a key.

    >>> shard_of(key_digest("a", "b"), 1)
    0
    """
    return xxhash.xxh3_64_intdigest(digest.encode()) % shards


def stream_name(shard: int) -> str:
    """Returns the name of a shard's claim stream.

    >>> stream_name(0)
    'claims-0'
    """
    return f"claims-{shard}"
