"""Model of entry instances with a faulty network and log, run step by step."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from acaciawing.idempotency import events as e
from acaciawing.idempotency.records import Claim, ClaimBatch, key_digest
from acaciawing.idempotency.rules import step as real_step
from acaciawing.idempotency.state import ClaimState, StepResult
from acaciawing.idempotency.table import ClaimTable
from acaciawing.records import LogPosition

StepFunction = Callable[[object, ClaimState, float], StepResult]

RETENTION_S = 1e6


@dataclass
class Node:
    """One incarnation of an entry instance."""

    state: ClaimState
    alive: bool = True
    log_reachable: bool = True
    next_offset: int = 0
    read_head: int | None = None
    requests: dict[int, tuple[str, e.PeerRequest]] = field(default_factory=dict)


@dataclass(frozen=True)
class Message:
    """A request (answer None) or an answer in transit."""

    sender: str
    receiver: str
    request: e.PeerRequest
    answer: e.PeerAnswer | None = None


class Model:
    """Runs the rules of several instances and counts runs of each key."""

    def __init__(self, size: int, step: StepFunction = real_step) -> None:
        """Starts ``size`` members that joined and know all grants."""
        self._step = step
        self.now = 0.0
        self.log: list[ClaimBatch] = []
        self.delayed: list[ClaimBatch] = []
        self.joins: list[str] = []
        self.nodes: dict[str, Node] = {}
        self.network: list[Message] = []
        self.live: dict[str, list[Claim]] = {}
        self.released: set[str] = set()
        self.decisions: dict[int, e.ClaimDecision] = {}
        self._token = 0
        # Whether the log accepts appends; reads are not affected.
        self.writable = True
        # 0: confirmed, 1: response lost, 2: delayed, 3: rejected.
        self.next_append_outcome = 0
        for name in "abcd"[:size]:
            self.join(f"{name}/1")
            self.converge()

    def roster(self) -> frozenset[str]:
        newest = {m.rpartition("/")[0]: m for m in self.joins}
        return frozenset(newest.values())

    def running(self) -> list[str]:
        return [m for m, node in self.nodes.items() if node.alive]

    def join(self, member: str) -> None:
        before = self.roster()
        self.joins.append(member)
        table = ClaimTable(RETENTION_S)
        self.nodes[member] = Node(ClaimState(member, table=table))
        self.feed(member, e.Joined(before))
        self.read(member)
        self.tick(member)

    def converge(self) -> None:
        """Delivers all messages and lets every instance read the log."""
        for _ in range(6):
            while self.network:
                self.deliver(0)
            self.now += 1.0
            for member in self.running():
                self.read(member)
                self.tick(member)

    # Events.

    def request(self, member: str, key: str, deadline: float = 1e9) -> int:
        self._token += 1
        digest = key_digest("customer", key)
        self.feed(
            member,
            e.ClaimRequested(self._token, "customer", digest, "f", deadline),
        )
        return self._token

    def tick(self, member: str) -> None:
        self.feed(member, e.Tick())

    def read(self, member: str, limit: int | None = None) -> None:
        """Reads the log; a read with a limit does not report the head."""
        node = self.nodes[member]
        if not node.log_reachable:
            self.feed(member, e.LogUnreachable())
            return
        if limit is None:
            self.feed(member, e.RosterRead(self.roster(), frozenset()))
            self.begin_read(member)
            self.end_read(member)
        else:
            head = min(len(self.log), node.next_offset + limit)
            self._read_to(member, head)

    def begin_read(self, member: str) -> None:
        node = self.nodes[member]
        node.read_head = len(self.log)
        self.feed(member, e.ReadStarted())

    def end_read(self, member: str) -> None:
        node = self.nodes[member]
        if node.log_reachable and node.read_head is not None:
            self._read_to(member, node.read_head)
            self.feed(member, e.LogHeadReached())
        node.read_head = None

    def _read_to(self, member: str, head: int) -> None:
        node = self.nodes[member]
        while node.next_offset < head:
            offset = node.next_offset
            node.next_offset += 1
            position = LogPosition(offset, float(offset))
            self.feed(member, e.BatchRead(self.log[offset], position))

    def list_ended(self, member: str) -> None:
        """Reports to a member which incarnations the platform lists as ended."""
        ended = frozenset(m for m, n in self.nodes.items() if not n.alive)
        roster = self.nodes[member].state.roster | {member}
        self.feed(member, e.RosterRead(roster, ended))

    def crash(self, member: str) -> None:
        self.nodes[member].alive = False

    def replace(self, member: str) -> None:
        name, _, number = member.rpartition("/")
        self.crash(member)
        self.join(f"{name}/{int(number) + 1}")

    def append_delayed(self, index: int) -> None:
        self.log.append(self.delayed.pop(index % len(self.delayed)))

    def deliver(self, index: int, keep: bool = False) -> None:
        index %= len(self.network)
        message = self.network[index]
        if not keep:
            del self.network[index]
        if message.answer is not None:
            answer = e.PeerAnswerReceived(
                message.sender, message.request, message.answer
            )
            self.feed(message.receiver, answer)
            return
        node = self.nodes.get(message.receiver)
        if node is None:
            return
        self._token += 1
        node.requests[self._token] = (message.sender, message.request)
        received = e.PeerRequestReceived(
            self._token, message.sender, message.request
        )
        self.feed(message.receiver, received)

    def drop(self, index: int) -> None:
        message = self.network.pop(index % len(self.network))
        if message.answer is None:
            silent = e.PeerAnswerReceived(
                message.receiver, message.request, None
            )
            self.feed(message.sender, silent)

    def finish(self, member: str, digest: str) -> None:
        run = self.nodes[member].state.runs[digest]
        self.feed(member, e.RequestFinished(run.claim, 200))

    def release(self, member: str, digest: str) -> None:
        """Releases a claim that was decided to run, as "not run"."""
        run = self.nodes[member].state.runs[digest]
        if run.status is not None or run.claim.claim_id in self.released:
            return
        assert self.live[digest] == [run.claim], "false 'not run'"
        self.live[digest].remove(run.claim)
        self.released.add(run.claim.claim_id)
        self.feed(member, e.ReleaseRequested(run.claim))

    # Effects.

    def feed(self, member: str, event: object) -> None:
        node = self.nodes.get(member)
        if node is None or not node.alive:
            return
        node.state, outputs = self._step(event, node.state, self.now)
        for output in outputs:
            self._effect(member, node, output)

    def _effect(self, member: str, node: Node, output: e.Output) -> None:
        if isinstance(output, e.Append):
            self._append(member, node, output.batch)
        elif isinstance(output, e.SendRequest):
            self.network.append(Message(member, output.peer, output.request))
        elif isinstance(output, e.SendAnswer):
            sender, request = node.requests[output.token]
            self.network.append(Message(member, sender, request, output.answer))
        else:
            self.decisions[output.token] = output.decision
            if isinstance(output.decision, e.Run):
                self._record_run(output.decision.claim)

    def _record_run(self, claim: Claim) -> None:
        assert claim.claim_id not in self.released, "run after 'not run'"
        live = self.live.setdefault(claim.digest, [])
        live.append(claim)
        assert len(live) == 1, f"two runs: {live}"

    def _append(self, member: str, node: Node, batch: ClaimBatch) -> None:
        outcome, self.next_append_outcome = self.next_append_outcome, 0
        reached = node.log_reachable and self.writable
        if reached and outcome == 0:
            self.log.append(batch)
            self.feed(member, e.BatchAppended(len(self.log) - 1))
        elif outcome == 1:
            if reached:
                self.log.append(batch)
            self.feed(member, e.BatchUnconfirmed())
        elif outcome == 2:
            self.delayed.append(batch)
            self.feed(member, e.BatchUnconfirmed())
        else:
            self.feed(member, e.BatchNotAppended())


def ended_members_skipped(
    event: object, state: ClaimState, now: float
) -> StepResult:
    """Faulty rule: the consent of an ended member is never required."""
    if isinstance(event, e.RosterRead):
        state = replace(state, covered=state.covered | event.ended)
    return real_step(event, state, now)
