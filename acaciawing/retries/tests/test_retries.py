"""Tests of retries, hedges and refusals."""

from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.exchange.outcomes import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    ExchangeOutcome,
    Interrupted,
    NotSent,
)
from acaciawing.outcomes import NotRun, OutcomeUnknown, RanAndFailed
from acaciawing.retries import (
    Attempt,
    ClaimState,
    FailureDomain,
    HedgeRequest,
    NoAttempt,
    RetryBudget,
    RetryBudgets,
    RetryRequest,
    decide_hedge,
    decide_retry,
    refusal,
)
from acaciawing.retries.tests.baseline import (
    refusal_by_last,
    retries_without_budget,
)

_DOMAINS = tuple(FailureDomain(z, r) for z in "xyz" for r in "12")
_FAILURES: tuple[ExchangeOutcome, ...] = (
    NotSent(""),
    EndpointNotRun("", 3.0),
    Interrupted(""),
    BadAnswer(""),
    BadAnswer("", "response-too-large"),
    AnswerTimeout(""),
)

_REQUESTS = st.builds(
    RetryRequest,
    plan=st.just("gold"),
    idempotent=st.booleans(),
    outcome=st.sampled_from((*_FAILURES, Answer(503, (), b""))),
    deadline_left_s=st.sampled_from((0.0, 0.5, 1.0, 5.0)),
    expected_s=st.sampled_from((0.5, 1.0)),
    tried=st.lists(
        st.sampled_from(_DOMAINS), min_size=1, max_size=3, unique=True
    ).map(tuple),
    available=st.frozensets(st.sampled_from(_DOMAINS)),
)


def make_failed_request(
    outcome: ExchangeOutcome, idempotent: bool
) -> RetryRequest:
    return RetryRequest(
        "gold", idempotent, outcome, 9.0, 0.1, _DOMAINS[:1], frozenset(_DOMAINS)
    )


class TestRetryDecision:
    """Guards against retries of work that may have run."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(_REQUESTS)
    def test_decision_matches_the_baseline_with_a_full_budget(
        self, request: RetryRequest
    ) -> None:
        _, decision = decide_retry(RetryBudgets(), request)
        expected = retries_without_budget(request)
        assert isinstance(decision, Attempt) == expected

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_REQUESTS)
    def test_next_attempt_uses_an_untried_domain(
        self, request: RetryRequest
    ) -> None:
        _, decision = decide_retry(RetryBudgets(), request)
        if isinstance(decision, Attempt):
            assert decision.domain in request.available - set(request.tried)

    def test_non_idempotent_work_that_may_have_run_is_not_retried(
        self,
    ) -> None:
        for outcome in (Interrupted(""), BadAnswer(""), AnswerTimeout("")):
            _, decision = decide_retry(
                RetryBudgets(), make_failed_request(outcome, False)
            )
            assert decision == NoAttempt("may-have-run")

    def test_empty_budget_prevents_retries(self) -> None:
        budgets = RetryBudgets()
        for _ in range(5):
            budgets, decision = decide_retry(
                budgets, make_failed_request(NotSent(""), True)
            )
            assert isinstance(decision, Attempt)
        _, decision = decide_retry(
            budgets, make_failed_request(NotSent(""), True)
        )
        assert decision == NoAttempt("budget")

    def test_retries_do_not_use_the_budget_of_other_plans(self) -> None:
        budgets = RetryBudgets()
        for _ in range(5):
            budgets, _ = decide_retry(
                budgets, make_failed_request(NotSent(""), True)
            )
        assert budgets.budget_of("silver") == RetryBudget()


class TestHedge:
    """Guards against hedges that run work twice or overload a pool."""

    def test_only_short_idempotent_work_is_hedged(self) -> None:
        def decide(idempotent: bool, short: bool, waited_s: float) -> object:
            request = HedgeRequest(
                "gold",
                idempotent,
                short,
                waited_s,
                0.2,
                9.0,
                0.1,
                _DOMAINS[:1],
                frozenset(_DOMAINS),
            )
            return decide_hedge(RetryBudgets(), request)[1]

        assert decide(True, True, 0.3) == Attempt(FailureDomain("x", "2"))
        assert decide(False, True, 0.3) == NoAttempt("not-idempotent")
        assert decide(True, False, 0.3) == NoAttempt("long-work")
        assert decide(True, True, 0.1) == NoAttempt("too-early")


def simulate_attempts(script: list[int], budgeted: bool) -> list[bool]:
    """Returns all attempts in order, True for the first one of each request.

    Each number of the script is the number of failures to queue up before their
    retries are decided, so that retries arrive in bursts.
    """
    budgets, sent = RetryBudgets(), []
    waiting: deque[RetryRequest] = deque()
    for queued in script:
        budgets = budgets.add_request("gold")
        sent.append(True)
        waiting.append(make_failed_request(NotSent(""), True))
        while len(waiting) > queued:
            request = waiting.popleft()
            if budgeted:
                budgets, decision = decide_retry(budgets, request)
                retry = isinstance(decision, Attempt)
            else:
                retry = retries_without_budget(request)
            if retry:
                sent.append(False)
                domain = _DOMAINS[len(request.tried)]
                if len(request.tried) < 2:
                    tried = (*request.tried, domain)
                    next_request = RetryRequest(
                        "gold",
                        True,
                        NotSent(""),
                        9.0,
                        0.1,
                        tried,
                        frozenset(_DOMAINS),
                    )
                    waiting.append(next_request)
    return sent


def max_amplification(sent: list[bool], window: int) -> float:
    """Returns the highest ratio of attempts to requests in any window.

    A window includes all retries up to the adjacent requests outside it.
    """
    starts = [i for i, first in enumerate(sent) if first]
    starts = [0, *starts[1:], len(sent)]
    ends = [*starts[1:], len(sent)]
    highest = 0.0
    for first in range(len(starts) - window):
        begin = starts[first - 1] + 1 if first else 0
        highest = max(highest, (ends[first + window - 1] - begin) / window)
    return highest


class TestLoadAmplification:
    """Guards against retries that overload a pool that fails all requests."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from((0, 3, 40)), min_size=1, max_size=8),
        st.integers(1, 120),
    )
    def test_amplification_stays_below_1_1_over_250_requests(
        self, queued: list[int], repeat: int
    ) -> None:
        script = [h for h in queued for _ in range(repeat)] * 10
        sent = simulate_attempts(script[:1500], True)
        for window in (250, 251, 400):
            assert max_amplification(sent, window) < 1.1

    def test_baseline_without_budget_triples_the_load(self) -> None:
        assert max_amplification(simulate_attempts([0] * 600, False), 250) > 2.9


class TestRefusal:
    """Guards against "not run" for a request that may have run."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(_FAILURES), min_size=1, max_size=3),
        st.sampled_from(ClaimState),
    )
    def test_refusal_is_consistent_with_all_attempts(
        self, outcomes: list[ExchangeOutcome], claim: ClaimState
    ) -> None:
        returned = refusal(tuple(outcomes), claim)
        not_run = all(isinstance(o, NotSent | EndpointNotRun) for o in outcomes)
        if isinstance(returned, NotRun):
            assert not_run and claim is not ClaimState.HELD
        if isinstance(returned, RanAndFailed):
            assert any(isinstance(o, BadAnswer) for o in outcomes)
        if not_run and claim is not ClaimState.HELD:
            assert isinstance(returned, NotRun)

    def test_first_attempt_counts_unlike_in_the_baseline(self) -> None:
        outcomes = (Interrupted("reset"), NotSent("refused"))
        assert isinstance(refusal_by_last(outcomes), NotRun)
        assert isinstance(refusal(outcomes, ClaimState.NONE), OutcomeUnknown)

    def test_retry_after_of_the_endpoint_is_passed_on(self) -> None:
        returned = refusal((EndpointNotRun("", 3.0),), ClaimState.RELEASED)
        assert isinstance(returned, NotRun) and returned.retry_after_s == 3.0
