"""Tests of final answers over all attempts of a request."""

import pytest

from acaciawing.entry.dispatcher import result_of
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
from acaciawing.retries import final_result
from acaciawing.routing import Result

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
        assert not isinstance(final_result((outcome,)), NotRun)

    @pytest.mark.parametrize("first", _SENT)
    @pytest.mark.parametrize("second", _UNSENT)
    def test_unsent_retry_keeps_the_outcome_of_the_first_attempt(
        self, first: ExchangeOutcome, second: ExchangeOutcome
    ) -> None:
        final_outcome = final_result((first, second))
        assert final_outcome == final_result((first,))

    def test_outcomes_map_to_distinct_refusals(self) -> None:
        kinds = [type(final_result((o,))) for o in (*_UNSENT, *_SENT[1:])]
        assert kinds == [
            NotRun,
            NotRun,
            OutcomeUnknown,
            RanAndFailed,
            OutcomeUnknown,
        ]


class TestResults:
    """Guards against "not run" of an endpoint that counts as its failure."""

    def test_not_run_of_an_endpoint_is_no_failure(self) -> None:
        assert result_of(EndpointNotRun("no slot")) is Result.NOT_RUN
        assert result_of(Answer(404, (), b"")) is Result.SUCCESS
        assert result_of(Answer(503, (), b"")) is Result.FAILURE
        assert result_of(NotSent("refused")) is Result.FAILURE
