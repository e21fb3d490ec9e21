"""Tests of the collection of demand for lending."""

import msgspec

from acaciawing.control import DemandObserved
from acaciawing.entry.demand import DemandTask


class TestDemand:
    """Guards against loans decided on a part of the demand."""

    def _task(self, answers: dict[str, bytes | None]) -> list[DemandObserved]:
        reported: list[DemandObserved] = []
        task = DemandTask(
            "entry-1",
            lambda: True,
            lambda: {"visits": 1.0},
            lambda member: answers[member],
            reported.append,
        )
        vars(task)["_live"] = ("entry-1", *answers)
        task.collect()
        return reported

    def test_sum_over_all_members(self) -> None:
        answer = msgspec.json.encode({"visits": 2.0, "portal": 4.0})
        (seen,) = self._task({"entry-2": answer, "entry-3": answer})
        assert seen.pools == {"visits": 5.0, "portal": 8.0}

    def test_nothing_without_a_member(self) -> None:
        assert not self._task({"entry-2": None})
        assert not self._task({"entry-2": b"garbled"})

    def test_answer_of_a_peer(self) -> None:
        task = DemandTask(
            "entry-1",
            lambda: False,
            lambda: {"visits": 1.0},
            lambda member: None,
            lambda seen: None,
        )
        assert msgspec.json.decode(task.answer_peer(b"{}")) == {"visits": 1.0}
