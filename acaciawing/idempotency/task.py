"""Task that decides claims for the request threads of one entry instance.

One thread applies the rules, one owns the log client, and a pool of threads
sends requests to peers, so that a hanging log does not delay agreement. The
threads communicate through queues.
"""

import itertools
import queue
import threading
from collections.abc import Callable, Collection, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import TypeAlias

from acaciawing.idempotency import events as e
from acaciawing.idempotency.records import (
    Claim,
    ClaimBatch,
    key_digest,
    shard_of,
    stream_name,
)
from acaciawing.idempotency.rules import step
from acaciawing.idempotency.state import ClaimState, instance_of
from acaciawing.idempotency.table import RETENTION_S, ClaimTable
from acaciawing.platform import (
    Appended,
    Batch,
    Log,
    NotAppended,
    OffsetExpired,
)
from acaciawing.records import Envelope, decode, encode

SendToPeer: TypeAlias = Callable[[str, str, bytes], bytes | None]

_READ_INTERVAL_S = 0.5
_MAX_READ_ENTRIES = 500
_TICK_INTERVAL_S = 0.1
# A proxied claim takes at most 1 s; see `agreement`.
_ANSWER_TIMEOUT_S = 1.5
_SENDER_THREADS = 16
_JOIN_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class _Input:
    shard: int
    event: object


@dataclass(frozen=True)
class _AwaitedInput:
    """An input with the queue on which a thread awaits its result."""

    shard: int
    event: e.ClaimRequested | e.PeerRequestReceived
    reply: "queue.SimpleQueue[object]"


@dataclass(frozen=True)
class _Withdrawal:
    """The caller timed out and no longer reads its reply queue."""

    shard: int
    token: int
    reply: "queue.SimpleQueue[object]"


_Message: TypeAlias = _Input | _AwaitedInput | _Withdrawal | None


class ClaimTask:
    """At-most-once decisions for one entry instance.

    Args:
        log: Client of the log; used by one thread only.
        send: Sends a payload to ``(instance, address)`` and returns the answer,
            or None. Called from several threads. The address is empty if the
            task does not know it.
        member: ``instance/incarnation`` of this instance.
        address: ``ip:port`` where peers reach `answer_peer`.
        clock: Monotonic clock, in seconds.
        shards: Number of claim streams; the same in the whole fleet.
        retention_s: Seconds for which a claim holds its key; at most the
            retention of the log.
        accept_memory_loss: Whether to accept keyed requests even if no remaining
            member knows the grants of the last outage of the log.
    """

    def __init__(
        self,
        log: Log,
        send: SendToPeer,
        *,
        member: str,
        address: str,
        clock: Callable[[], float],
        shards: int = 1,
        retention_s: float = RETENTION_S,
        accept_memory_loss: bool = False,
    ) -> None:
        """Starts the threads."""
        self._log = log
        self._send_to_peer = send
        self._member = member
        self._address = address
        self._clock = clock
        self._states = [
            ClaimState(
                member,
                shard=shard,
                shards=shards,
                accept_memory_loss=accept_memory_loss,
                table=ClaimTable(retention_s),
            )
            for shard in range(shards)
        ]
        self._addresses: dict[str, str] = {}
        self._inbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._appends: queue.SimpleQueue[tuple[int, ClaimBatch] | None] = (
            queue.SimpleQueue()
        )
        self._replies: dict[int, queue.SimpleQueue[object]] = {}
        self._tokens = itertools.count(1)
        self._complete = threading.Event()
        self._stopping = threading.Event()
        self._senders = ThreadPoolExecutor(_SENDER_THREADS, "claims-ask")
        self._threads = (
            threading.Thread(
                target=self._run_rules, name="claims", daemon=True
            ),
            threading.Thread(
                target=self._run_log, name="claims-log", daemon=True
            ),
        )
        for thread in self._threads:
            thread.start()

    @property
    def flushed(self) -> bool:
        """Whether the log holds all that this instance must remember.

        Until then the instance must not record that it left the roster.
        """
        return all(state.flushed for state in self._states)

    def wait_complete(self, timeout_s: float) -> bool:
        """Waits until keyed requests are accepted; returns whether they are."""
        return self._complete.wait(timeout_s)

    def claim(
        self, customer: str, key: str, fingerprint: str, deadline: float
    ) -> e.ClaimDecision:
        """Decides whether a request with an idempotency key runs.

        Args:
            customer: Name of the customer.
            key: The idempotency key.
            fingerprint: Digest of the request; see `request_fingerprint`.
            deadline: Time by which a decision is needed, by the clock.

        Returns:
            The decision; `MayHaveRun` if there is none by the deadline.
        """
        digest = key_digest(customer, key)
        shard = shard_of(digest, len(self._states))
        token = next(self._tokens)
        claim_requested = e.ClaimRequested(
            token, customer, digest, fingerprint, deadline
        )
        reply: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._inbox.put(_AwaitedInput(shard, claim_requested, reply))
        try:
            remaining_s = max(0.0, deadline - self._clock())
            decision = reply.get(timeout=remaining_s)
        except queue.Empty:
            # `_handle` releases the claim if a decision to run arrives later.
            self._inbox.put(_Withdrawal(shard, token, reply))
            return e.MayHaveRun("claim-timeout")
        assert isinstance(
            decision,
            e.Run | e.InProgress | e.Finished | e.KeyReused | e.MayHaveRun,
        )
        return decision

    def finish(self, claim: Claim, status: int) -> None:
        """Records the status that the request of a claim ended with."""
        self._post(claim, e.RequestFinished(claim, status))

    def release(self, claim: Claim) -> None:
        """Releases a claim whose request did not run and never will."""
        self._post(claim, e.ReleaseRequested(claim))

    def joined(self, predecessors: Collection[str]) -> None:
        """Reports that the log has this instance on the roster.

        Args:
            predecessors: Members, as ``instance/incarnation``, on the roster
                just before the instance's own join record.
        """
        self._post_all(e.Joined(frozenset(predecessors)))

    def set_roster(
        self, members: Mapping[str, str], ended: Collection[str]
    ) -> None:
        """Sets the roster after each change; call after `joined`.

        Args:
            members: Addresses by ``instance/incarnation``, this one included.
            ended: Members that the platform's list reports as ended. A list
                older than the join of a member does not show that it ended.
        """
        self._addresses = {**self._addresses, **members}
        self._post_all(e.RosterRead(frozenset(members), frozenset(ended)))

    def answer_peer(self, payload: bytes) -> bytes:
        """Answers a request of a peer."""
        envelope = decode(payload)
        answer: object = e.Denied("not-understood")
        if isinstance(envelope, Envelope):
            request = envelope.record
            if isinstance(request, e.GrantRequest | e.GrantListRequest):
                answer = self._answer(envelope.writer, request)
        return encode(answer, self._member)

    def stop(self) -> None:
        """Ends the threads; undecided claims end as `MayHaveRun`."""
        self._stopping.set()
        self._inbox.put(None)
        self._appends.put(None)
        for thread in self._threads:
            thread.join(_JOIN_TIMEOUT_S)
        self._senders.shutdown(wait=False, cancel_futures=True)

    def _post(self, claim: Claim, event: object) -> None:
        shard = shard_of(claim.digest, len(self._states))
        self._inbox.put(_Input(shard, event))

    def _post_all(self, event: object) -> None:
        for shard in range(len(self._states)):
            self._inbox.put(_Input(shard, event))

    def _answer(self, sender: str, request: e.PeerRequest) -> object:
        if not 0 <= request.shard < len(self._states):
            return e.Denied("other-shards")
        if isinstance(request, e.GrantListRequest) and request.address:
            self._addresses = {**self._addresses, sender: request.address}
        token = next(self._tokens)
        reply: queue.SimpleQueue[object] = queue.SimpleQueue()
        received = e.PeerRequestReceived(token, sender, request)
        self._inbox.put(_AwaitedInput(request.shard, received, reply))
        try:
            return reply.get(timeout=_ANSWER_TIMEOUT_S)
        except queue.Empty:
            return e.Denied("claim-timeout")

    # Thread that applies the rules.

    def _run_rules(self) -> None:
        next_tick = self._clock()
        while not self._stopping.is_set():
            wait = max(0.0, min(next_tick, self._append_due()) - self._clock())
            try:
                message = self._inbox.get(timeout=wait)
            except queue.Empty:
                message = None
            if message is not None:
                self._handle(message)
            now = self._clock()
            if now >= min(next_tick, self._append_due()):
                for state in self._states:
                    self._step(state.shard, e.Tick(), now)
                next_tick = now + _TICK_INTERVAL_S
            if not self._complete.is_set() and all(
                state.complete for state in self._states
            ):
                self._complete.set()
        for reply in self._replies.values():
            reply.put(e.MayHaveRun("stopping"))

    def _append_due(self) -> float:
        """Earliest time at which waiting claims may be appended."""
        return min(
            (
                state.append_due_at
                for state in self._states
                if state.log_up and state.outbox and state.inflight is None
            ),
            default=float("inf"),
        )

    def _handle(self, message: _Input | _AwaitedInput | _Withdrawal) -> None:
        now = self._clock()
        if isinstance(message, _Withdrawal):
            self._replies.pop(message.token, None)
            self._step(message.shard, e.RequestWithdrawn(message.token), now)
            while not message.reply.empty():
                decision = message.reply.get_nowait()
                if isinstance(decision, e.Run):
                    released = e.ReleaseRequested(decision.claim)
                    self._step(message.shard, released, now)
            return
        if isinstance(message, _AwaitedInput):
            self._replies[message.event.token] = message.reply
        self._step(message.shard, message.event, now)

    def _step(self, shard: int, event: object, now: float) -> None:
        self._states[shard], outputs = step(event, self._states[shard], now)
        for output in outputs:
            self._execute(shard, output)

    def _execute(self, shard: int, output: e.Output) -> None:
        if isinstance(output, e.Append):
            self._appends.put((shard, output.batch))
        elif isinstance(output, e.SendRequest):
            self._senders.submit(
                self._send_request, shard, output.peer, output.request
            )
        else:
            reply = self._replies.pop(output.token, None)
            if reply is None:
                return
            if isinstance(output, e.SendDecision):
                reply.put(output.decision)
            else:
                reply.put(output.answer)

    def _send_request(
        self, shard: int, peer: str, request: e.PeerRequest
    ) -> None:
        if isinstance(request, e.GrantListRequest):
            request = replace(request, address=self._address)
        answer: e.PeerAnswer | None = None
        try:
            payload = self._send_to_peer(
                instance_of(peer),
                self._addresses.get(peer, ""),
                encode(request, self._member),
            )
            envelope = decode(payload) if payload is not None else None
            # A replacement at the same address can't answer for its
            # predecessor.
            if isinstance(envelope, Envelope) and envelope.writer == peer:
                answer = envelope.record
        finally:
            event = e.PeerAnswerReceived(peer, request, answer)
            self._inbox.put(_Input(shard, event))

    # Thread that owns the log client.

    def _run_log(self) -> None:
        offsets = [self._read(shard, 0) for shard in range(len(self._states))]
        while not self._stopping.is_set():
            shards = range(len(offsets))
            try:
                pending = self._appends.get(timeout=_READ_INTERVAL_S)
                if pending is not None:
                    self._append(*pending)
                    shards = range(pending[0], pending[0] + 1)
            except queue.Empty:
                pass
            for shard in shards:
                offsets[shard] = self._read(shard, offsets[shard])

    def _append(self, shard: int, batch: ClaimBatch) -> None:
        payload = encode(batch, self._member)
        outcome = self._log.append(stream_name(shard), payload)
        event: object = e.BatchUnconfirmed()
        if isinstance(outcome, Appended):
            event = e.BatchAppended(outcome.position.offset)
        elif isinstance(outcome, NotAppended):
            event = e.BatchNotAppended()
        self._inbox.put(_Input(shard, event))

    def _read(self, shard: int, offset: int) -> int:
        """Reads to the head of the log and returns the next offset."""
        self._inbox.put(_Input(shard, e.ReadStarted()))
        while not self._stopping.is_set():
            outcome = self._log.read(
                stream_name(shard), offset, _MAX_READ_ENTRIES
            )
            if isinstance(outcome, OffsetExpired):
                # Claims older than the retention of the log have expired.
                offset = outcome.first_offset
                continue
            if not isinstance(outcome, Batch):
                self._inbox.put(_Input(shard, e.LogUnreachable()))
                return offset
            for entry in outcome.entries:
                envelope = decode(entry.payload)
                if isinstance(envelope, Envelope) and isinstance(
                    envelope.record, ClaimBatch
                ):
                    event = e.BatchRead(envelope.record, entry.position)
                    self._inbox.put(_Input(shard, event))
            offset = outcome.next_offset
            if offset >= outcome.head_offset:
                self._inbox.put(_Input(shard, e.LogHeadReached()))
                return offset
        return offset
