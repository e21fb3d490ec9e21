"""Tests of the membership that entitles an instance to hold cells."""

import pytest

from acaciawing.jobs.holding import JoinAnswer, Membership

_TTL_S = 1.0
_PARTITIONS = 8


def _join(generation: int, requested_at: float) -> JoinAnswer:
    return JoinAnswer(generation, (1, 2), requested_at)


class TestMembership:
    """Guards against a returning member that is taken for the holder since."""

    def test_member_silent_for_its_lifetime_begins_a_new_membership(
        self,
    ) -> None:
        joined = Membership().renew(_join(14, 33.9), _TTL_S)
        returned = joined.renew(_join(24, 40.2), _TTL_S)
        assert joined.first_generation == 14
        assert returned.first_generation == 24

    def test_change_of_another_member_interrupts_no_membership(self) -> None:
        joined = Membership().renew(_join(14, 33.9), _TTL_S)
        renewed = joined.renew(_join(15, 34.1), _TTL_S)
        assert renewed.first_generation == 14
        assert renewed.generation == 15

    def test_outage_that_changes_nothing_interrupts_no_membership(
        self,
    ) -> None:
        joined = Membership().renew(_join(14, 33.9), _TTL_S)
        renewed = joined.renew(_join(14, 40.2), _TTL_S)
        assert renewed.first_generation == 14
        assert renewed.confirmed_at == 40.2


class TestFaultyAnswers:
    """Guards against orders that rest on an impossible answer of the store."""

    def test_sound_answer_has_no_fault(self) -> None:
        joined = Membership().renew(_join(14, 33.9), _TTL_S)
        assert joined.find_fault(_join(14, 34.0), _PARTITIONS) is None

    @pytest.mark.parametrize(
        ("answer", "fault"),
        [
            (JoinAnswer(13, (1,), 34.0), "generation 13 after generation 14"),
            (JoinAnswer(15, (1, 1), 34.0), "a partition is assigned twice"),
            (JoinAnswer(15, (1, 8), 34.0), "partition 8 of 8"),
            (JoinAnswer(15, (-1,), 34.0), "partition -1 of 8"),
        ],
    )
    def test_impossible_answer_names_its_fault(
        self, answer: JoinAnswer, fault: str
    ) -> None:
        joined = Membership().renew(_join(14, 33.9), _TTL_S)
        assert joined.find_fault(answer, _PARTITIONS) == fault
