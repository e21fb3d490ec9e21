"""Tests of the truth of final answers."""

import pytest

from acaciawing.entry.dispatcher import final, may_retry, truthful
from acaciawing.exchange import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    ExchangeOutcome,
    Interrupted,
    NotSent,
)
from acaciawing.outcomes import NotRun, OutcomeUnknown, RanAndFailed

_SENT: tuple[ExchangeOutcome, ...] = (
    Answer(500, (), b""),
    Interrupted("reset"),
    BadAnswer("short"),
    AnswerTimeout("late"),
)
_UNSENT: tuple[ExchangeOutcome, ...] = (
    NotSent("refused"),
    EndpointNotRun("no slot"),
)


class TestNotRun:
    """Guards against "not run" for a request that may have run."""

    @pytest.mark.parametrize("outcome", _SENT)
    def test_sent_request_is_never_reported_as_not_run(
        self, outcome: ExchangeOutcome
    ) -> None:
        assert not isinstance(final(outcome), NotRun)

    @pytest.mark.parametrize("first", _SENT)
    @pytest.mark.parametrize("second", _UNSENT)
    def test_earlier_attempt_counts(
        self, first: ExchangeOutcome, second: ExchangeOutcome
    ) -> None:
        joined = truthful(final(first), final(second))
        assert joined == final(first)

    def test_refusal_in_the_queue_of_a_retry_counts_as_the_first(self) -> None:
        first = final(Interrupted("reset"))
        joined = truthful(first, NotRun("deadline-passed", ""))
        assert isinstance(joined, OutcomeUnknown)

    def test_three_outcomes_are_told_apart(self) -> None:
        kinds = [type(final(o)) for o in (*_UNSENT, *_SENT[1:])]
        assert kinds == [
            NotRun,
            NotRun,
            OutcomeUnknown,
            RanAndFailed,
            OutcomeUnknown,
        ]


class TestRetry:
    """Guards against a second run of a request that is not idempotent."""

    @pytest.mark.parametrize("outcome", _SENT)
    def test_sent_booking_is_never_repeated(
        self, outcome: ExchangeOutcome
    ) -> None:
        assert not may_retry(outcome, idempotent=False)

    @pytest.mark.parametrize("outcome", _UNSENT)
    def test_unsent_booking_may_be_tried_again(
        self, outcome: ExchangeOutcome
    ) -> None:
        assert may_retry(outcome, idempotent=False)
