"""Tests of requests that run at most once, with scripted claim decisions."""

from dataclasses import replace

import pytest

from acaciawing.configuration import (
    Configuration,
    Customer,
    Plan,
    Service,
    index,
)
from acaciawing.entry.forwarding import Forwarder, Member, serve_forwarded
from acaciawing.entry.keyed_requests import KeyedRequests
from acaciawing.entry.requests import CallerRequest
from acaciawing.exchange import (
    Answer,
    AnswerTimeout,
    EndpointRequest,
    ExchangeOutcome,
    Interrupted,
    NotSent,
)
from acaciawing.idempotency import (
    Claim,
    ClaimDecision,
    Finished,
    InProgress,
    KeyReused,
    MayHaveRun,
    Run,
)
from acaciawing.outcomes import (
    AlreadyRan,
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)

_PLAN = Plan("gold", 0.99, 60.0, 2.0, 10.0, 4, 4, ("visits",))
_CUSTOMER = Customer("club", "gold", "0" * 64)
_SERVICE = Service("visits", "visits")
_INDEX = index(Configuration((_CUSTOMER,), (_PLAN,), (_SERVICE,)))
_REQUEST = CallerRequest(
    "r1",
    _CUSTOMER,
    _PLAN,
    _SERVICE,
    "book",
    "POST",
    "/visits/book",
    (("Content-Type", "application/json"),),
    b"\xff{}",
    "key-1",
    False,
    2.0,
)
_CLAIM = Claim("d", "f", "id", "entry-1/1")
_ANSWER = Answer(201, (("X-Kept", "1"),), b"whole")


class FakeDecider:
    """Returns scripted decisions and records the calls."""

    def __init__(self, *decisions: ClaimDecision) -> None:
        """Stores the decisions in order."""
        self.decisions = list(decisions)
        self.calls: list[tuple[str, int]] = []

    def claim(
        self, customer: str, key: str, fingerprint: str, deadline: float
    ) -> ClaimDecision:
        return self.decisions.pop(0)

    def finish(self, claim: Claim, status: int) -> None:
        self.calls.append(("finish", status))

    def release(self, claim: Claim) -> None:
        self.calls.append(("release", 0))


def no_member(
    request: CallerRequest, remaining_s: float, owner: str = ""
) -> None:
    return None


class TestAtMostOnce:
    """Guards against a second run, and against a false "not run"."""

    @pytest.mark.parametrize(
        ("outcome", "expected_call"),
        [
            (_ANSWER, ("finish", 201)),
            (NotRun("deadline-passed", ""), ("release", 0)),
            (RanAndFailed("answer-invalid", ""), ("finish", 502)),
            (OutcomeUnknown("interrupted", ""), ("finish", 504)),
        ],
    )
    def test_claim_is_released_only_if_the_request_did_not_run(
        self, outcome: Answer | Refusal, expected_call: tuple[str, int]
    ) -> None:
        decider = FakeDecider(Run(_CLAIM))
        keyed_requests = KeyedRequests(decider, no_member, lambda: 0.0)
        assert (
            keyed_requests.run(_REQUEST, 2.0, lambda r, d: outcome) == outcome
        )
        assert decider.calls == [expected_call]

    @pytest.mark.parametrize(
        ("decision", "kind"),
        [
            (Finished(201), AlreadyRan),
            (InProgress(), OutcomeUnknown),
            (KeyReused(), NotRun),
            (MayHaveRun("peer-unreachable"), OutcomeUnknown),
        ],
    )
    def test_copy_without_a_claim_does_not_run(
        self, decision: ClaimDecision, kind: type
    ) -> None:
        keyed_requests = KeyedRequests(
            FakeDecider(decision), no_member, lambda: 0.0
        )

        def run(request: CallerRequest, deadline: float) -> Answer:
            raise AssertionError("ran without a claim")

        assert isinstance(keyed_requests.run(_REQUEST, 2.0, run), kind)

    def test_repeat_gets_the_complete_first_answer(self) -> None:
        decider = FakeDecider(Run(_CLAIM), Finished(201))
        keyed_requests = KeyedRequests(decider, no_member, lambda: 0.0)
        first = keyed_requests.run(_REQUEST, 2.0, lambda r, d: _ANSWER)
        assert keyed_requests.run(_REQUEST, 2.0, lambda r, d: _ANSWER) == first


class FakeExchanger:
    """Forwards messages to a peer in the same process."""

    def __init__(self, *outcomes: ExchangeOutcome | None) -> None:
        """Stores the outcomes in order; for None the peer serves."""
        self.outcomes = list(outcomes)
        self.reached: list[str] = []
        self.answer: Answer | Refusal = _ANSWER
        self.received: list[CallerRequest] = []

    def send(
        self, address: str, request: EndpointRequest, timeout_s: float
    ) -> ExchangeOutcome:
        self.reached.append(address)
        outcome = self.outcomes.pop(0)
        if outcome is not None:
            return outcome
        body = serve_forwarded(request.body, _INDEX, self._serve)
        assert body is not None
        return Answer(200, (), body)

    def _serve(self, request: CallerRequest) -> Answer | Refusal:
        self.received.append(request)
        return self.answer


def make_forwarder(exchanger: FakeExchanger) -> Forwarder:
    members = (
        Member("192.0.2.1:1", "b", "entry-1/7"),
        Member("192.0.2.2:1", "a", "entry-2/8"),
    )
    return Forwarder("a", "secret", exchanger, lambda: members)  # type: ignore[arg-type]


class TestForwarding:
    """Guards against requests refused or run twice by a new instance."""

    @pytest.mark.parametrize(
        "outcome",
        [
            _ANSWER,
            NotRun("rate-limit", "x", 429, 2.0),
            RanAndFailed("answer-invalid", "x"),
            OutcomeUnknown("interrupted", "x"),
            AlreadyRan(201),
        ],
    )
    def test_outcome_of_the_member_is_returned_unchanged(
        self, outcome: Answer | Refusal
    ) -> None:
        exchanger = FakeExchanger(None)
        exchanger.answer = outcome
        assert make_forwarder(exchanger).forward(_REQUEST, 1.0) == outcome
        served = exchanger.received[0]
        assert served.body == _REQUEST.body
        assert served.forwarded

    def test_repeat_goes_to_the_owner_of_the_claim(self) -> None:
        exchanger = FakeExchanger(None)
        decider = FakeDecider(MayHaveRun("claimed", "entry-1/7"))
        keyed_requests = KeyedRequests(
            decider, make_forwarder(exchanger).forward, lambda: 0.0
        )
        assert (
            keyed_requests.run(_REQUEST, 2.0, lambda r, d: _ANSWER) == _ANSWER
        )
        assert exchanger.reached == ["192.0.2.1:1"]

    def test_repeat_with_an_ended_owner_stays_unknown(self) -> None:
        exchanger = FakeExchanger()
        decider = FakeDecider(MayHaveRun("claimed", "entry-9/1"))
        keyed_requests = KeyedRequests(
            decider, make_forwarder(exchanger).forward, lambda: 0.0
        )
        refusal = keyed_requests.run(_REQUEST, 2.0, lambda r, d: _ANSWER)
        assert isinstance(refusal, OutcomeUnknown)
        assert exchanger.reached == []

    def test_own_zone_first_and_next_member_only_if_not_sent(self) -> None:
        exchanger = FakeExchanger(NotSent("refused"), None)
        assert make_forwarder(exchanger).forward(_REQUEST, 1.0) == _ANSWER
        assert exchanger.reached == ["192.0.2.2:1", "192.0.2.1:1"]

    @pytest.mark.parametrize(
        "outcome", [Interrupted("reset"), AnswerTimeout("late")]
    )
    def test_no_other_member_is_tried_after_one_was_reached(
        self, outcome: ExchangeOutcome
    ) -> None:
        exchanger = FakeExchanger(outcome)
        refusal = make_forwarder(exchanger).forward(_REQUEST, 1.0)
        assert isinstance(refusal, OutcomeUnknown)
        assert len(exchanger.reached) == 1

    def test_forwarded_request_is_not_forwarded_again(self) -> None:
        exchanger = FakeExchanger(None)
        decider = FakeDecider(MayHaveRun("not-on-roster"))
        keyed_requests = KeyedRequests(
            decider, make_forwarder(exchanger).forward, lambda: 0.0
        )
        forwarded = replace(_REQUEST, forwarded=True)
        refusal = keyed_requests.run(forwarded, 2.0, lambda r, d: _ANSWER)
        assert isinstance(refusal, OutcomeUnknown)
        assert exchanger.reached == []
